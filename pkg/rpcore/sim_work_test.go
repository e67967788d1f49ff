package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// simWork simulates the work of an engine or a plain service. It runs up to
// concurrency attempts at once and queues the others.
type simWork struct {
	loadTime, runTime time.Duration
	concurrency       int
	highestFence      uint64
	loads             map[ModelKey]*simLoad
	running, waiting  []*simAttempt
	// answersToLose is the number of coming attempts whose answer is lost after
	// they ran.
	answersToLose int
	// attemptsRun counts the attempts that were started.
	attemptsRun int
}

type simLoad struct {
	order  SendOrder
	loaded bool
}

type simAttempt struct {
	StartAttempt
	node *simNode
}

func newSimWork() simWork {
	return simWork{loadTime: 3 * time.Second, runTime: 200 * time.Millisecond, concurrency: 2, loads: make(map[ModelKey]*simLoad)}
}

// addPlainService adds an endpoint of a plain service to the simulation and to
// the instance list.
func (s *sim) addPlainService(id, service string, domain FailureDomain) *simEngine {
	e := &simEngine{
		Member:  Member{ID: id, Kind: MemberService, Service: service, FailureDomain: domain, Incarnation: "e1"},
		simWork: newSimWork(),
	}
	s.engines[EndpointID(id)] = e
	s.list.put(s, e.Member)
	return e
}

// sendOrder delivers an order to an engine and the answer back to the node.
func (n *simNode) sendOrder(effect SendOrder) {
	s := n.sim
	s.schedule(s.delay(s.net.minDelay, s.net.maxDelay), func() {
		e := s.engines[effect.Endpoint]
		result, wait := e.executeOrder(s, effect)
		n.schedule(wait+s.delay(s.net.minDelay, s.net.maxDelay), func() {
			n.reduce(func(at Stamp) Event {
				return OrderAnswered{Stamp: at, Order: effect.Order, Endpoint: effect.Endpoint, Result: result}
			})
		})
	})
}

func (e *simEngine) executeOrder(s *sim, order SendOrder) (OrderResult, time.Duration) {
	if e.EnforcesFencing && (order.Fence < e.highestFence || order.Incarnation != e.Incarnation) {
		return OrderFenced, 0
	}
	e.highestFence = max(e.highestFence, order.Fence)
	if order.Kind == OrderUnloadModel {
		delete(e.loads, order.Model)
		return OrderDone, 0
	}
	if e.loads[order.Model] == nil {
		load := &simLoad{order: order}
		e.loads[order.Model] = load
		s.schedule(e.loadTime, func() { load.loaded = true })
	}
	return OrderDone, e.loadTime
}

func (e *simEngine) loadedModels() []LoadedModel {
	var models []LoadedModel
	for _, key := range sortedModels(e.loads) {
		if load := e.loads[key]; load.loaded {
			models = append(models, LoadedModel{Key: key, Version: load.order.Version, Memory: load.order.Memory})
		}
	}
	return models
}

// sendAttempt delivers an attempt to its endpoint.
func (n *simNode) sendAttempt(effect StartAttempt) {
	s := n.sim
	s.schedule(s.delay(s.net.minDelay, s.net.maxDelay), func() {
		e := s.engines[effect.Endpoint]
		e.waiting = append(e.waiting, &simAttempt{effect, n})
		e.runNext(s)
	})
}

func (e *simEngine) runNext(s *sim) {
	for len(e.waiting) > 0 && len(e.running) < e.concurrency {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, a)
		e.attemptsRun++
		s.schedule(e.runTime, func() {
			if i := slices.Index(e.running, a); i >= 0 {
				e.running = slices.Delete(e.running, i, i+1)
				e.finishAttempt(s, a)
				e.runNext(s)
			}
		})
	}
}

func (e *simEngine) finishAttempt(s *sim, a *simAttempt) {
	ended := AttemptEnded{Attempt: a.Attempt, Request: a.Request, Reason: AttemptComplete, Verdict: rpverdict.Ran}
	if e.answersToLose > 0 {
		e.answersToLose--
		ended.Reason, ended.Verdict = AttemptBroken, rpverdict.MayHaveRun
	} else if a.Record {
		ended.Outcome = &Outcome{Status: 200, Body: []byte("charged")}
	}
	a.node.deliverAttemptEnded(s, ended)
}

func (n *simNode) deliverAttemptEnded(s *sim, ended AttemptEnded) {
	n.schedule(s.delay(s.net.minDelay, s.net.maxDelay), func() {
		n.reduce(func(at Stamp) Event { ended.Stamp = at; return ended })
	})
}

// cancelAttempt ends an attempt that is running or queued.
func (n *simNode) cancelAttempt(id AttemptID) {
	for _, key := range sortedKeys(n.sim.engines) {
		e := n.sim.engines[key]
		for _, list := range []*[]*simAttempt{&e.running, &e.waiting} {
			i := slices.IndexFunc(*list, func(a *simAttempt) bool { return a.Attempt == id })
			if i < 0 {
				continue
			}
			a := (*list)[i]
			*list = slices.Delete(*list, i, i+1)
			n.deliverAttemptEnded(n.sim, AttemptEnded{Attempt: id, Request: a.Request, Reason: AttemptCanceled, Verdict: rpverdict.MayHaveRun})
			e.runNext(n.sim)
		}
	}
}

// sendRequest delivers a caller's request to an instance after a delay.
func (n *simNode) sendRequest(after time.Duration, request Request) {
	n.schedule(after, func() {
		n.reduce(func(at Stamp) Event { return RequestArrived{Stamp: at, Request: request} })
	})
}
