package rpqueue_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// playerEngine is an engine that batches continuously and reads prompts in chunks.
type playerEngine struct {
	speed    float64
	waiting  []*playerRequest
	running  []*playerRequest
	stepping bool
	cache    []int // Models whose shared part is cached, the latest last.
	admitted int
}

// step admits requests and runs one step of an engine's batch.
func (p *player) step(e *playerEngine) {
	for len(e.running) < p.slots && len(e.waiting) > 0 {
		next := slices.MinFunc(e.waiting, func(a, b *playerRequest) int { return a.priority - b.priority })
		e.waiting = slices.DeleteFunc(e.waiting, func(w *playerRequest) bool { return w == next })
		e.admitted++
		next.admitted = e.admitted
		p.useCache(e, next)
		e.running = append(e.running, next)
	}
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	read := p.prefill(e)
	ms := float64(p.playerLoad.step)/float64(time.Millisecond)*(1+batchCost*float64(len(e.running))) + float64(read)/p.prefillRate
	p.at(p.now+time.Duration(ms/e.speed*float64(time.Millisecond)), func() {
		p.finishStep(e)
		p.step(e)
	})
}

// useCache lets a request skip the shared part of its prompt if the engine has it.
func (p *player) useCache(e *playerEngine, r *playerRequest) {
	key := r.model*len(p.kinds) + r.kind
	if at := slices.Index(e.cache, key); at >= 0 {
		r.unread -= r.shared
		e.cache = slices.Delete(e.cache, at, at+1)
	}
	e.cache = append(e.cache, key)
	if len(e.cache) > cachedPrefixes {
		e.cache = e.cache[1:]
	}
}

// prefill assigns the chunk of a step and returns its tokens. A request whose
// prompt is read gets its first token with this step.
func (p *player) prefill(e *playerEngine) int {
	batch := slices.Clone(e.running)
	slices.SortStableFunc(batch, func(a, b *playerRequest) int {
		if p.prefillByPriority && a.priority != b.priority {
			return a.priority - b.priority
		}
		return cmp.Compare(a.admitted, b.admitted)
	})
	left := chunkTokens
	for _, r := range batch {
		n := min(left, r.unread)
		r.unread -= n
		left -= n
	}
	return chunkTokens - left
}

func (p *player) finishStep(e *playerEngine) {
	for _, r := range slices.Clone(e.running) {
		if r.unread > 0 || r.done {
			continue
		}
		if r.first == 0 {
			r.first, r.lastAt = p.now, p.now
			r.instance.prefill[r.engine] -= r.unread0()
			r.instance.order.RecordServed(p.clock(p.now), &r.entry.Request)
			p.dispatch(r.instance)
		} else if r.output%p.eventTokens == 0 {
			r.longestGap = max(r.longestGap, p.now-r.lastAt)
			r.lastAt = p.now
		}
		r.output--
		if r.output <= 0 {
			e.running = slices.DeleteFunc(e.running, func(w *playerRequest) bool { return w == r })
			p.end(r)
		}
	}
}

func (p *player) addEngine(speed float64) { p.engines = append(p.engines, &playerEngine{speed: speed}) }

// placeModels gives each model one replica and the others to the models with the
// most requests for each replica.
func (p *player) placeModels() {
	p.replicas = make([][]int, p.models)
	free := make([]int, p.playerLoad.engines)
	for i := range free {
		free[i] = p.places
	}
	place := func(model int) bool {
		best := -1
		for _, e := range p.rng.Perm(len(free)) {
			if free[e] > 0 && !slices.Contains(p.replicas[model], e) && (best < 0 || free[e] > free[best]) {
				best = e
			}
		}
		if best >= 0 {
			free[best]--
			p.replicas[model] = append(p.replicas[model], best)
		}
		return best >= 0
	}
	for m := range p.models {
		p.weights = append(p.weights, math.Pow(float64(m+1), -p.zipf))
		place(m)
	}
	for range p.playerLoad.engines*p.places - p.models {
		busiest := 0
		for m := range p.models {
			if p.weights[m]/float64(len(p.replicas[m])) > p.weights[busiest]/float64(len(p.replicas[busiest])) {
				busiest = m
			}
		}
		if !place(busiest) {
			break
		}
	}
}

func (p *player) drawModel(rng *rand.Rand) int {
	total := 0.0
	for _, w := range p.weights {
		total += w
	}
	point := rng.Float64() * total
	for m, w := range p.weights {
		if point < w {
			return m
		}
		point -= w
	}
	return 0
}
