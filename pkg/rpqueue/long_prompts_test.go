package rpqueue_test

import (
	"flag"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpqueue"
)

// unevenLoad is the load of the uneven deployment. Its ranks are not known; those of
// the accounts deployment are assumed.
func unevenLoad(seed uint64) playerLoad {
	ms := time.Millisecond
	return playerLoad{
		kinds: []playerKind{
			{name: "short", rank: 0, rate: 375, shared: 155, own: 491, maxTokens: 2660, spread: 0.6, target: 300 * ms, deadline: 5000 * ms, gap: 300 * ms},
			{name: "relaxed", rank: 2, rate: 47, shared: 155, own: 491, maxTokens: 2660, spread: 0.6, target: 2500 * ms, deadline: 15000 * ms, gap: 300 * ms},
			{name: "long", rank: 1, rate: 16.6, shared: 6300, own: 2890, maxTokens: 39600, spread: 0.9, target: 600 * ms, deadline: 4000 * ms, gap: 300 * ms, long: true},
		},
		instances: 58, engines: 89, slots: 12, step: 5470 * time.Microsecond, prefillRate: 38.7, slowest: 0.55, fastest: 1.2,
		eventTokens: 7, events: 10, models: 271, places: 4, zipf: 0.9, duration: 20 * time.Second, seed: seed,
	}
}

// accountsLoad is the load of the accounts deployment.
func accountsLoad(seed uint64) playerLoad {
	ms := time.Millisecond
	return playerLoad{
		kinds: []playerKind{
			{name: "short", rank: 0, rate: 299, shared: 155, own: 491, maxTokens: 2660, spread: 0.6, target: 400 * ms, deadline: 5000 * ms, gap: 600 * ms},
			{name: "relaxed", rank: 2, rate: 34, shared: 155, own: 491, maxTokens: 2660, spread: 0.6, target: 6000 * ms, deadline: 17000 * ms, gap: 600 * ms},
			{name: "long", rank: 1, rate: 8.8, shared: 6300, own: 2890, maxTokens: 39600, spread: 0.9, target: 600 * ms, deadline: 4000 * ms, gap: 600 * ms, long: true},
		},
		instances: 75, engines: 60, slots: 24, step: 4430 * time.Microsecond, prefillRate: 38.1, slowest: 1, fastest: 1.3,
		eventTokens: 8, events: 10, models: 150, places: 3, zipf: 0.9, duration: 20 * time.Second, seed: seed,
	}
}

func rankThenArrival(_ time.Duration, a, b *playerRequest) int {
	if a.entry.Rank != b.entry.Rank {
		return a.entry.Rank - b.entry.Rank
	}
	return int(a.arrived - b.arrived)
}

func priorityIsRank(_ *player, _ *playerInstance, r *playerRequest) int { return r.entry.Rank }

func priorityFromSlack(p *player, i *playerInstance, r *playerRequest) int {
	return i.order.Priority(p.clock(p.now), &r.entry.Request)
}

func unchangedPolicy() playerPolicy {
	return playerPolicy{less: rankThenArrival, priority: priorityIsRank}
}

func slackPolicy() playerPolicy { return playerPolicy{priority: priorityFromSlack} }

// isLong reports whether a prompt takes more than half of the shortest target.
func (p *player) isLong(r *playerRequest) bool {
	return rpqueue.IsLong(p.prefillTime(r.tokens), p.shortestTarget())
}

// knownUnread is the time for the prompts that an instance knows to be unread.
func (p *player) knownUnread(i *playerInstance, e int, ofOthers bool) time.Duration {
	_, others := p.elsewhere(i, e)
	if !ofOthers {
		others = 0
	}
	return p.prefillTime(i.prefill[e] + others)
}

// boundPolicy lets a long prompt wait while another one is known to be read at the
// engine, until it has no more slack than a new short one.
func boundPolicy() playerPolicy {
	policy := slackPolicy()
	policy.allowed = func(p *player, i *playerInstance, r *playerRequest, e int) bool {
		return !p.isLong(r) || i.order.Urgency(p.clock(p.now), &r.entry.Request) != rpqueue.Relaxed ||
			!rpqueue.IsLong(p.knownUnread(i, e, true), p.shortestTarget())
	}
	return policy
}

// subsetPolicy sends long prompts to a part of the replicas of a model only, at
// least one. With fastest set, it is that of the fastest replicas.
func subsetPolicy(share float64, fastest bool) playerPolicy {
	policy := slackPolicy()
	policy.allowed = func(p *player, _ *playerInstance, r *playerRequest, e int) bool {
		before := 0
		for _, other := range p.replicas[r.model] {
			if fastest && p.engines[other].speed > p.engines[e].speed || !fastest && p.affinity(r, other) > p.affinity(r, e) {
				before++
			}
		}
		return !p.isLong(r) || before < int(math.Ceil(share*float64(len(p.replicas[r.model]))))
	}
	return policy
}

// replicaPolicy is LongPromptReplica. Without known, instances know neither the
// speeds of the engines nor the prompts of others.
func replicaPolicy(known bool) playerPolicy {
	policy := slackPolicy()
	policy.allowed = func(p *player, i *playerInstance, r *playerRequest, e int) bool {
		if !p.isLong(r) {
			return true
		}
		var engines []int
		var replicas []rpqueue.Replica
		for _, e := range p.replicas[r.model] {
			if others, _ := p.elsewhere(i, e); i.inFlight[e]+others >= p.slots {
				continue
			}
			v := rpqueue.Replica{Near: e%playDomains == i.index%playDomains, Affinity: p.affinity(r, e), Unread: p.knownUnread(i, e, known)}
			if known {
				v.Speed = p.engines[e].speed
				v.Unread = time.Duration(float64(v.Unread) / v.Speed)
			}
			engines, replicas = append(engines, e), append(replicas, v)
		}
		chosen := rpqueue.LongPromptReplica(replicas, r.entry.Target.Sub(p.clock(p.now))-p.prefillTime(r.tokens))
		return chosen < 0 || engines[chosen] == e
	}
	return policy
}

// playSeeds plays a load with several seeds, without long prompts if asked.
func playSeeds(load func(uint64) playerLoad, seeds int, factor float64, byPriority, without bool, policy playerPolicy) []playResult {
	var sums []playResult
	for seed := range seeds {
		l := load(uint64(seed) + 1)
		l.prefillByPriority = byPriority
		for k := range l.kinds {
			l.kinds[k].rate *= factor
			if without && l.kinds[k].long {
				l.kinds[k].rate = 1e-9
			}
		}
		p := newPlayer(l, policy)
		p.play()
		if sums == nil {
			sums = make([]playResult, len(l.kinds))
		}
		addResults(sums, p.results())
	}
	return sums
}

var compareOptions = flag.Bool("queue.compare", false, "print how all options of docs/design do on the played loads")

// Prints the figures of docs/design/long-prompts.md.
func TestCompareLongPromptOptions(t *testing.T) {
	if !*compareOptions {
		t.Skip("run with -queue.compare")
	}
	options := []struct {
		name    string
		without bool
		policy  playerPolicy
	}{
		{"no long prompts", true, unchangedPolicy()},
		{"no change", false, unchangedPolicy()},
		{"priority from slack", false, slackPolicy()},
		{"bound of one known", false, boundPolicy()},
		{"half of the replicas", false, subsetPolicy(0.5, false)},
		{"half, the fastest", false, subsetPolicy(0.5, true)},
		{"one, the fastest", false, subsetPolicy(0.01, true)},
		{"first choice, own knowledge", false, replicaPolicy(false)},
		{"first choice, speeds known", false, replicaPolicy(true)},
	}
	for name, load := range map[string]func(uint64) playerLoad{"uneven": unevenLoad, "accounts": accountsLoad} {
		for _, factor := range []float64{1, 1.7} {
			for _, byPriority := range []bool{false, true} {
				for _, o := range options {
					v := playSeeds(load, 4, factor, byPriority, o.without, o.policy)
					t.Logf("%s x%.1f prefill by priority=%-5v %-28s short %.3f %.3f relaxed %.3f %.3f long %.3f %.3f served %.3f", name, factor, byPriority, o.name,
						v[0].share(v[0].inTime), v[0].share(v[0].smooth), v[1].share(v[1].inTime), v[1].share(v[1].smooth),
						v[2].share(v[2].inTime), v[2].share(v[2].smooth), v[2].share(v[2].served))
				}
			}
		}
	}
}

// Guards against a rule for long prompts that costs the short ones their targets, or
// that makes long prompts wait until they are late or refused. What the played load
// shows beside this is in docs/design/long-prompts.md.
func TestLongPromptsBesideShortOnes(t *testing.T) {
	g := NewWithT(t)
	small := func(seed uint64) playerLoad {
		load := unevenLoad(seed)
		load.engines, load.models, load.duration = load.engines/2, load.models/2, 12*time.Second
		return load
	}
	const seeds = 5
	before := make([]playResult, 3)
	after := map[bool][]playResult{false: make([]playResult, 3), true: make([]playResult, 3)}
	for _, factor := range []float64{0.5, 0.85} {
		addResults(before, playSeeds(small, seeds, factor, false, false, unchangedPolicy()))
		alone := playSeeds(small, seeds, factor, false, true, unchangedPolicy())
		for _, known := range []bool{false, true} {
			v := playSeeds(small, seeds, factor, false, false, replicaPolicy(known))
			addResults(after[known], v)
			t.Logf("x%.2f known=%v: short alone %v, %v; long %v", factor, known, alone[0], v[0], v[2])
			if factor == 0.5 {
				g.Expect(v[0].share(v[0].inTime)).To(BeNumerically(">=", alone[0].share(alone[0].inTime)-0.02))
			}
		}
	}
	for known, results := range after {
		t.Logf("known=%v: %v after %v", known, results, before)
		for k, v := range results {
			// The margin is the difference that other seeds make.
			const margin = 0.02
			g.Expect(v.share(v.inTime)).To(BeNumerically(">=", before[k].share(before[k].inTime)-margin))
			g.Expect(v.share(v.served)).To(BeNumerically(">=", 0.95))
		}
	}
}

func addResults(sums, added []playResult) {
	for k, v := range added {
		sums[k].count += v.count
		sums[k].served += v.served
		sums[k].inTime += v.inTime
		sums[k].smooth += v.smooth
	}
}
