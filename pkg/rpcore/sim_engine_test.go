package rpcore

import "time"

// simEngine is a simulated model engine or endpoint of a plain service.
type simEngine struct {
	Member
	simWork
	sequence uint64
	// reportsLeaving is the Leaving field of its reports. refusing means that
	// no process listens at its address.
	reportsLeaving bool
	refusing       bool
}

// addEngine adds an engine to the simulation and to the instance list.
func (s *sim) addEngine(id string, domain FailureDomain, incarnation Incarnation) *simEngine {
	e := &simEngine{
		Member:  Member{ID: id, Kind: MemberEngine, Service: "mixadvies", FailureDomain: domain, Incarnation: incarnation},
		simWork: newSimWork(),
	}
	s.engines[EndpointID(id)] = e
	s.list.put(s, e.Member)
	return e
}

func (n *simNode) pollEngine(effect PollEngine) {
	n.polls[effect.Endpoint]++
	if effect.Interval > 0 {
		n.poll(effect, n.polls[effect.Endpoint])
	}
}

func (n *simNode) poll(effect PollEngine, poll int) {
	s := n.sim
	n.schedule(s.delay(time.Millisecond, 20*time.Millisecond), func() {
		if n.polls[effect.Endpoint] != poll {
			return
		}
		e := s.engines[effect.Endpoint]
		n.reduce(func(at Stamp) Event { return e.pollResult(at, effect.Endpoint) })
		n.schedule(effect.Interval, func() { n.poll(effect, poll) })
	})
}

func (e *simEngine) pollResult(at Stamp, id EndpointID) Event {
	if e == nil || e.refusing {
		return EngineUnreachable{at, id, true}
	}
	e.sequence++
	return EngineReported{at, EngineReport{
		Endpoint: id, Incarnation: e.Incarnation, Sequence: e.sequence, TakenAt: at.At, Leaving: e.reportsLeaving,
		Memory: e.Memory, Loaded: e.loadedModels(), Running: len(e.running), Waiting: len(e.waiting), HighestFence: e.highestFence,
	}}
}
