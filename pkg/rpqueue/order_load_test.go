package rpqueue_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// overload is the load of the uneven deployment on 20 engines with enough replicas,
// at a multiple of its rate for each engine.
func overload(seed uint64, factor float64) playerLoad {
	load := unevenLoad(seed)
	for k := range load.kinds {
		load.kinds[k].rate *= 20.0 / 89 * factor
	}
	load.engines, load.models, load.zipf = 20, 20, 0.2
	load.duration, load.countUntil = 36*time.Second, 20*time.Second
	return load
}

// earliestTarget is the policy of the earliest deadline first, whatever the rank.
func earliestTarget() playerPolicy {
	return playerPolicy{
		less: func(_ time.Duration, a, b *playerRequest) int { return a.entry.Target.Compare(b.entry.Target) },
		priority: func(p *player, _ *playerInstance, r *playerRequest) int {
			slack := r.entry.Target.Sub(p.clock(p.now))
			return min(9, max(0, int(slack/(100*time.Millisecond))))
		},
	}
}

// valueDensity is the policy of the most value for each token first.
func valueDensity(values ...float64) playerPolicy {
	density := func(r *playerRequest) float64 { return values[r.kind] / float64(r.tokens) }
	return playerPolicy{
		less: func(_ time.Duration, a, b *playerRequest) int { return cmp.Compare(density(b), density(a)) },
		priority: func(_ *player, _ *playerInstance, r *playerRequest) int {
			return min(9, max(0, 9-int(density(r)*1000)))
		},
	}
}

// fairKinds is stochastic fair queueing over tokens between the kinds.
func fairKinds() playerPolicy {
	return playerPolicy{
		less:     func(_ time.Duration, a, b *playerRequest) int { return cmp.Compare(a.entry.Tag, b.entry.Tag) },
		priority: func(*player, *playerInstance, *playerRequest) int { return 5 },
		tagged:   true,
	}
}

// Prints the figures of docs/design/request-order.md.
func TestCompareOrders(t *testing.T) {
	if !*compareOptions {
		t.Skip("run with -queue.compare")
	}
	options := []struct {
		name   string
		policy playerPolicy
	}{
		{"rank, arrival", unchangedPolicy()},
		{"earliest target", earliestTarget()},
		{"value density", valueDensity(2, 45, 3)},
		{"fair between kinds", fairKinds()},
		{"rpqueue, no room", slackPolicy()},
		{"rpqueue", orderPolicy()},
	}
	for _, factor := range []float64{2, 3, 4, 6, 8} {
		for _, o := range options {
			load := func(seed uint64) playerLoad { return overload(seed, factor) }
			v := playSeeds(load, 4, 1, false, false, o.policy)
			worth := 0.0
			for k, values := range [][2]float64{{2, 0.61}, {45, 6.75}, {3, 0.89}} {
				worth += values[0]*float64(v[k].inTime) + values[1]*float64(v[k].served-v[k].inTime)
			}
			t.Logf("x%.0f %-20s in time/served: short %.3f %.3f relaxed %.3f %.3f long %.3f %.3f worth %.0f", factor, o.name,
				v[0].share(v[0].inTime), v[0].share(v[0].served), v[1].share(v[1].inTime), v[1].share(v[1].served),
				v[2].share(v[2].inTime), v[2].share(v[2].served), worth)
		}
	}
}

// orderPolicy is the order of this package with the room for starved requests.
func orderPolicy() playerPolicy {
	policy := slackPolicy()
	policy.starvedQueue = true
	return policy
}

// Guards against kinds, and among the long prompts the longest, that get almost
// nothing under a load far above the capacity, and against an order that serves
// fewer requests in time than rank and arrival.
func TestOverloadStarvesNoKind(t *testing.T) {
	g := NewWithT(t)
	for _, factor := range []float64{4, 6} {
		load := overload(1, factor)
		load.duration, load.countUntil = 26*time.Second, 20*time.Second
		before := newPlayer(load, unchangedPolicy())
		before.play()
		after := newPlayer(load, orderPolicy())
		after.play()
		overall, inTime := playResult{}, 0
		for k, v := range after.results() {
			overall.count += v.count
			overall.served += v.served
			inTime += v.inTime - before.results()[k].inTime
		}
		share := overall.share(overall.served)
		t.Logf("x%.0f before %v after %v", factor, before.results(), after.results())
		g.Expect(inTime).To(BeNumerically(">=", 0))
		for _, v := range after.results() {
			g.Expect(v.share(v.served)).To(BeNumerically(">=", share/4))
		}
		for kind := range load.kinds {
			largest, next := after.sharesBySize(kind)
			t.Logf("x%.0f kind %d largest tenth %.3f, fifth below %.3f", factor, kind, largest, next)
			// There are too few long prompts in a play to compare tenths of them.
			if v := after.results()[kind]; !load.kinds[kind].long {
				g.Expect(min(largest, next)).To(BeNumerically(">=", v.share(v.served)/2))
			}
		}
	}
}

// sharesBySize returns the served shares of the largest tenth of the prompts of a
// kind and of the fifth below it.
func (p *player) sharesBySize(kind int) (largest, next float64) {
	var requests []*playerRequest
	for _, r := range p.requests {
		if r.kind == kind && r.arrived >= playWarmup && r.arrived <= p.countUntil {
			requests = append(requests, r)
		}
	}
	slices.SortFunc(requests, func(a, b *playerRequest) int { return b.tokens - a.tokens })
	share := func(part []*playerRequest) float64 {
		served := 0
		for _, r := range part {
			if r.first > 0 && !r.gone {
				served++
			}
		}
		return float64(served) / float64(max(1, len(part)))
	}
	n := len(requests)
	return share(requests[:n/10]), share(requests[n/10 : 3*n/10])
}

// playResult is what the callers of one kind got.
type playResult struct {
	count, served, inTime, smooth int
}

func (v playResult) share(n int) float64 { return float64(n) / float64(max(1, v.count)) }

// results counts the requests of each kind: served, in time, and in time with no
// gap above the limit of the kind.
func (p *player) results() []playResult {
	results := make([]playResult, len(p.kinds))
	for _, r := range p.requests {
		if r.arrived < playWarmup || p.countUntil > 0 && r.arrived > p.countUntil {
			continue
		}
		v, k := &results[r.kind], p.kinds[r.kind]
		v.count++
		if r.first > 0 && !r.gone {
			v.served++
		}
		if r.first > 0 && r.first-r.arrived <= k.target {
			v.inTime++
			if r.longestGap <= k.gap {
				v.smooth++
			}
		}
	}
	return results
}
