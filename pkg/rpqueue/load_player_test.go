package rpqueue_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpqueue"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// playerKind is a kind of requests of the played load.
type playerKind struct {
	name             string
	rank             int
	rate             float64
	shared, own      int
	maxTokens        int
	spread           float64
	target, deadline time.Duration
	gap              time.Duration
	long             bool
}

// playerLoad describes the engines and the arrivals that a player plays. The
// popularity of the models (zipf), the spread of the prompts, the growth of a step
// with the batch and the order of prefills inside an engine are guesses.
type playerLoad struct {
	kinds               []playerKind
	instances, engines  int
	slots               int
	step                time.Duration
	prefillRate         float64 // Tokens per ms.
	slowest, fastest    float64
	eventTokens, events int
	models, places      int
	zipf                float64
	duration            time.Duration
	// countUntil is the end of the arrivals that count, or 0 for all.
	countUntil time.Duration
	seed       uint64
	// prefillByPriority makes engines prefill admitted prompts by priority
	// instead of in the order of their admission.
	prefillByPriority bool
}

// playerPolicy is what the instances do. Its functions are called with the time
// since the start of the play.
type playerPolicy struct {
	// less orders waiting requests if set; otherwise rpqueue.Sort does.
	less func(now time.Duration, a, b *playerRequest) int
	// priority returns the number that an engine gets.
	priority func(p *player, i *playerInstance, r *playerRequest) int
	// allowed is the rule for long prompts; nil allows all.
	allowed func(p *player, i *playerInstance, r *playerRequest, e int) bool
	// starvedQueue allows starved requests the room at engines that those of rank 0
	// have.
	starvedQueue bool
	// tagged sets the tags of fair queueing between kinds.
	tagged bool
}

type playerRequest struct {
	entry                  rpqueue.Entry
	kind                   int
	model                  int
	tokens, shared         int
	arrived                time.Duration
	instance               *playerInstance
	engine                 int
	unread, output         int
	priority               int
	admitted               int
	started, first, lastAt time.Duration
	longestGap             time.Duration
	done                   bool
	gone                   bool
}

type playerInstance struct {
	index             int
	inFlight, prefill []int
	virtual           float64
	finished          []float64
	waiting           []*playerRequest
	order             rpqueue.Order
}

// playerEvent is a point in time at which something happens.
type playerEvent struct {
	at  time.Duration
	seq int
	run func()
}

type playerEvents []playerEvent

func (h playerEvents) Len() int { return len(h) }
func (h playerEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h playerEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *playerEvents) Push(x any)   { *h = append(*h, x.(playerEvent)) }
func (h *playerEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// player plays a load on engines. It knows nothing of the platform.
type player struct {
	playerLoad
	policy playerPolicy
	rng    *rand.Rand
	// arrivals are random numbers for each kind, so that policies get the same
	// arrivals.
	arrivals  []*rand.Rand
	now       time.Duration
	events    playerEvents
	seq       int
	engines   []*playerEngine
	instances []*playerInstance
	replicas  [][]int
	weights   []float64
	requests  []*playerRequest
	// reports are the loads of the instances at past times; the instances know of
	// each other what is reportAge old.
	reports []playerReport
}

type playerReport struct {
	at                time.Duration
	inFlight, prefill []int
	own               []*playerInstance
}

const (
	// reportAge is the age of what instances know of each other.
	reportAge      = 600 * time.Millisecond
	reportInterval = 50 * time.Millisecond
	chunkTokens    = 1024
	// cachedPrefixes is how many shared parts of 6,300 tokens an engine keeps
	// beside its batch of 177,328 tokens; a guess.
	cachedPrefixes = 8
	// batchCost is the growth of a step for each request in the batch; a guess.
	batchCost = 0.02
	// playDomains is the number of failure domains of the instances and engines.
	playDomains = 3
	// playWarmup is the time whose arrivals don't count.
	playWarmup = 2 * time.Second
)

func newPlayer(load playerLoad, policy playerPolicy) *player {
	p := &player{playerLoad: load, policy: policy, rng: rand.New(rand.NewPCG(load.seed, 7))}
	for i := range load.engines {
		share := float64(i) / float64(max(1, load.engines-1))
		p.addEngine(load.slowest + share*(load.fastest-load.slowest))
	}
	p.rng.Shuffle(len(p.engines), func(i, j int) { p.engines[i], p.engines[j] = p.engines[j], p.engines[i] })
	for index := range load.instances {
		p.instances = append(p.instances, &playerInstance{
			index: index, finished: make([]float64, len(load.kinds)), inFlight: make([]int, load.engines), prefill: make([]int, load.engines), order: rpqueue.Order{Margin: p.shortestTarget()},
		})
	}
	p.placeModels()
	for kind := range load.kinds {
		p.arrivals = append(p.arrivals, rand.New(rand.NewPCG(load.seed, uint64(100+kind))))
	}
	return p
}

func (p *player) shortestTarget() time.Duration {
	shortest := p.kinds[0].target
	for _, kind := range p.kinds {
		shortest = min(shortest, kind.target)
	}
	return shortest
}

func (p *player) at(at time.Duration, run func()) {
	p.seq++
	heap.Push(&p.events, playerEvent{at: at, seq: p.seq, run: run})
}

func (p *player) play() {
	for kind := range p.kinds {
		p.scheduleArrival(kind)
	}
	p.at(0, p.report)
	for len(p.events) > 0 {
		ev := heap.Pop(&p.events).(playerEvent)
		p.now = ev.at
		ev.run()
	}
}

func (p *player) scheduleArrival(kind int) {
	at := p.now + time.Duration(p.arrivals[kind].ExpFloat64()/p.kinds[kind].rate*float64(time.Second))
	if at > p.duration {
		return
	}
	p.at(at, func() {
		p.arrive(kind)
		p.scheduleArrival(kind)
	})
}

func (p *player) arrive(kind int) {
	k, rng := p.kinds[kind], p.arrivals[kind]
	factor := math.Exp(k.spread*rng.NormFloat64() - k.spread*k.spread/2)
	tokens := min(k.shared+max(16, int(float64(k.own)*factor)), k.maxTokens)
	r := &playerRequest{
		kind: kind, model: p.drawModel(rng), tokens: tokens, shared: k.shared, arrived: p.now,
		instance: p.instances[rng.IntN(len(p.instances))], output: p.eventTokens * p.playerLoad.events,
	}
	r.entry.Request = rpqueue.Request{
		ID: fmt.Sprintf("r%07d", len(p.requests)), Rank: k.rank, Kind: k.name, Arrived: p.clock(p.now), Target: p.clock(p.now + k.target),
		Deadline: p.clock(p.now + k.deadline), Work: p.prefillTime(tokens),
	}
	if p.policy.tagged {
		i := r.instance
		r.entry.Tag = max(i.virtual, i.finished[kind])
		i.finished[kind] = r.entry.Tag + float64(tokens)
	}
	p.requests = append(p.requests, r)
	i := r.instance
	i.order.RecordArrival(p.clock(p.now), &r.entry.Request)
	i.waiting = append(i.waiting, r)
	p.at(p.now+k.deadline, func() { p.leave(r) })
	p.dispatch(i)
}

func (p *player) clock(at time.Duration) time.Time { return testStart.Add(at) }

func (p *player) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / 35 * float64(time.Millisecond))
}

// leave ends a request whose caller leaves.
func (p *player) leave(r *playerRequest) {
	if r.done {
		return
	}
	r.gone = true
	if i := r.instance; slices.Contains(i.waiting, r) {
		i.waiting = slices.DeleteFunc(i.waiting, func(w *playerRequest) bool { return w == r })
		r.done = true
		return
	}
	e := p.engines[r.engine]
	e.waiting = slices.DeleteFunc(e.waiting, func(w *playerRequest) bool { return w == r })
	e.running = slices.DeleteFunc(e.running, func(w *playerRequest) bool { return w == r })
	p.end(r)
}

func (p *player) end(r *playerRequest) {
	r.done = true
	i := r.instance
	i.inFlight[r.engine]--
	if r.first == 0 {
		i.prefill[r.engine] -= r.unread0()
	}
	p.dispatch(i)
}

// unread0 is what the instance counts as unread while there is no first event.
func (r *playerRequest) unread0() int { return r.tokens }

func (p *player) report() {
	rep := playerReport{at: p.now, inFlight: make([]int, len(p.engines)), prefill: make([]int, len(p.engines))}
	for _, i := range p.instances {
		own := &playerInstance{inFlight: slices.Clone(i.inFlight), prefill: slices.Clone(i.prefill)}
		for e := range p.engines {
			rep.inFlight[e] += i.inFlight[e]
			rep.prefill[e] += i.prefill[e]
		}
		rep.own = append(rep.own, own)
	}
	p.reports = append(p.reports, rep)
	for len(p.reports) > 1 && p.reports[1].at <= p.now-reportAge {
		p.reports = p.reports[1:]
	}
	for _, i := range p.instances {
		p.dispatch(i)
	}
	if p.now < p.duration+5*time.Second {
		p.at(p.now+reportInterval, p.report)
	}
}

// elsewhere returns what an instance knows of the load of the others at an engine.
func (p *player) elsewhere(i *playerInstance, e int) (inFlight, prefill int) {
	rep := &p.reports[0]
	if rep.at > p.now-reportAge {
		return 0, 0
	}
	own := rep.own[i.index]
	return rep.inFlight[e] - own.inFlight[e], rep.prefill[e] - own.prefill[e]
}

func (p *player) dispatch(i *playerInstance) {
	if len(i.waiting) == 0 {
		return
	}
	if p.policy.less != nil {
		slices.SortStableFunc(i.waiting, func(a, b *playerRequest) int { return p.policy.less(p.now, a, b) })
	} else {
		rpqueue.Sort(&i.order, p.clock(p.now), i.waiting, func(r *playerRequest) *rpqueue.Entry { return &r.entry })
	}
	for _, r := range slices.Clone(i.waiting) {
		if e := p.choose(i, r); e >= 0 {
			i.waiting = slices.DeleteFunc(i.waiting, func(w *playerRequest) bool { return w == r })
			p.send(i, r, e)
		}
	}
}

// choose is the routing of pkg/rpfleet without failures.
func (p *player) choose(i *playerInstance, r *playerRequest) int {
	best, bestCost := -1, 0.0
	preferred := p.preferred(i, r)
	for _, e := range p.replicas[r.model] {
		others, _ := p.elsewhere(i, e)
		limit := float64(p.slots)
		now := p.clock(p.now)
		if r.entry.Rank == 0 || p.policy.starvedQueue && i.order.Starved(now, &r.entry.Request) {
			limit *= 1.5
		}
		if float64(i.inFlight[e]+others) >= limit || p.policy.allowed != nil && !p.policy.allowed(p, i, r, e) {
			continue
		}
		cost := float64(i.inFlight[e]+others+1) + float64(i.prefill[e])/500 + p.rng.Float64()/2
		if e%playDomains != i.index%playDomains {
			cost += 2
		}
		if e == preferred {
			cost -= min(1+float64(r.shared)/500, 10)
		}
		if best < 0 || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// preferred is the engine for the prefix of a prompt: one in the failure domain of
// the instance.
func (p *player) preferred(i *playerInstance, r *playerRequest) int {
	best := -1
	for _, e := range p.replicas[r.model] {
		if e%playDomains == i.index%playDomains && (best < 0 || p.affinity(r, e) > p.affinity(r, best)) {
			best = e
		}
	}
	return best
}

func (p *player) affinity(r *playerRequest, e int) uint64 {
	return rpreducer.Rendezvous(strconv.Itoa(r.model*len(p.kinds)+r.kind), strconv.Itoa(e))
}

func (p *player) send(i *playerInstance, r *playerRequest, e int) {
	i.virtual = max(i.virtual, r.entry.Tag)
	r.engine, r.started, r.unread = e, p.now, r.tokens
	r.priority = p.policy.priority(p, i, r)
	i.inFlight[e]++
	i.prefill[e] += r.tokens
	engine := p.engines[e]
	engine.waiting = append(engine.waiting, r)
	if !engine.stepping {
		p.step(engine)
	}
}
