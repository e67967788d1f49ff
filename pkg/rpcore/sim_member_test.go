package rpcore

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leavingPropagationLimit is the time after the first evidence within which
// every reachable instance must stop sending new work to the endpoint.
const leavingPropagationLimit = 3 * time.Second

// withMemberSim returns a running system with random faults and one engine in
// the first domain.
func withMemberSim(rt *rapid.T) (*sim, *simEngine) {
	d := rapid.IntRange(1, 4).Draw(rt, "domains")
	s := withSim(rt, rapid.Uint64().Draw(rt, "seed"), d*rapid.IntRange(1, 4).Draw(rt, "per domain"), d)
	e := s.addEngine("engine-1", "A", "e1")
	s.startAll().advance(10 * time.Second)
	s.list.maxLag = rapid.SampledFrom([]time.Duration{0, 5 * time.Second, 60 * time.Second}).Draw(rt, "lag")
	s.net.loss, s.net.maxConsecutiveLosses = 0.1, 1
	for range rapid.IntRange(0, 2).Draw(rt, "cuts") {
		s.net.setCut(domainName(rapid.IntRange(0, d-1).Draw(rt, "cut")), domainName(rapid.IntRange(0, d-1).Draw(rt, "cut")), true)
	}
	s.advance(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms before")) * time.Millisecond)
	return s, e
}

// giveLeavingEvidence makes evidence of the given kind that the engine is
// leaving. It returns the instance that learned of it first.
func (s *sim) giveLeavingEvidence(rt *rapid.T, e *simEngine, kind string) *simNode {
	var first *simNode
	s.onStep = append(s.onStep, func(n *simNode, _ Event, _ []Effect) {
		if known := n.state.endpointByID(EndpointID(e.ID)); first == nil && known != nil && known.leaving {
			first = n
		}
	})
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "first instance")]
	notice := LeavingNotice{Endpoint: EndpointID(e.ID), Incarnation: e.Incarnation}
	switch kind {
	case "list":
		e.Leaving = true
		s.list.put(s, e.Member)
	case "report":
		e.reportsLeaving = true
	case "refused":
		e.refusing = true
	case "refused attempt":
		e.refusing = true
		n.reduce(func(at Stamp) Event { return EngineUnreachable{at, notice.Endpoint, true} })
	case "peer":
		n.reduce(func(at Stamp) Event { return PeerReceived{at, "other", PeerMessage{LeavingNotice: &notice}} })
	}
	for range 10000 {
		if first != nil {
			return first
		}
		s.advance(10 * time.Millisecond)
	}
	rt.Fatalf("no instance learned of the evidence")
	return nil
}

// expectLeaving checks whether the nodes consider the engine's incarnation as
// leaving.
func (s *sim) expectLeaving(nodes []*simNode, e *simEngine, leaving bool) {
	s.t.Helper()
	for _, n := range nodes {
		known := n.state.endpointByID(EndpointID(e.ID))
		if known == nil || known.Incarnation != e.Incarnation {
			continue
		}
		if known.leaving != leaving {
			s.t.Fatalf("at %v: %s (%s): leaving is %v", s.now.Sub(s.start), n.self.Incarnation, n.self.FailureDomain, known.leaving)
		}
	}
}

// Guards against new work for a leaving endpoint after leavingPropagationLimit,
// and against evidence that outlives the incarnation. It covers every kind of
// first evidence, lost messages, cuts and a list that lags.
func TestLeavingSpreads(t *testing.T) {
	checkProperty(t, func(rt *rapid.T) {
		s, e := withMemberSim(rt)
		kind := rapid.SampledFrom([]string{"list", "report", "refused", "refused attempt", "peer"}).Draw(rt, "evidence")
		first := s.giveLeavingEvidence(rt, e, kind)
		reachable := s.reachableFrom(first)
		s.advance(leavingPropagationLimit)
		s.expectLeaving(reachable, e, true)
		s.advance(s.delay(0, time.Minute))
		s.expectLeaving(reachable, e, true)
		e.Incarnation, e.Leaving, e.reportsLeaving, e.refusing, e.sequence = "e2", false, false, false, 0
		s.list.put(s, e.Member)
		s.advance(63 * time.Second)
		s.expectLeaving(s.nodes, e, false)
		for _, n := range s.nodes {
			if known := n.state.endpointByID("engine-1"); known == nil || known.Incarnation != "e2" {
				rt.Fatalf("%s does not know the new incarnation", n.self.Incarnation)
			}
		}
	})
}

// Guards against an endpoint that never gets work again after a single refused
// connection, from the instance whose connection was refused or from one that
// was told of it.
func TestRefusalEndsWithReport(t *testing.T) {
	checkProperty(t, func(rt *rapid.T) {
		s, e := withMemberSim(rt)
		clear(s.net.cuts)
		s.advance(20 * time.Second)
		s.giveLeavingEvidence(rt, e, "refused attempt")
		s.advance(s.delay(0, 2*time.Second))
		e.refusing = false
		// The next report comes within one polling interval. From then on
		// leavingPropagationLimit applies to the notice that refutes the
		// refusal.
		s.advance(minPollInterval + 50*time.Millisecond + leavingPropagationLimit)
		s.expectLeaving(s.nodes, e, false)
		s.advance(2 * time.Minute)
		s.expectLeaving(s.nodes, e, false)
	})
}

// Guards against new work for a leaving endpoint from an instance whose list
// was behind when the notice arrived, or fell behind afterwards.
func TestLeavingOutlastsListLag(t *testing.T) {
	checkProperty(t, func(rt *rapid.T) {
		s, e := withMemberSim(rt)
		clear(s.net.cuts)
		s.list.maxLag = 0
		e.Incarnation, e.sequence = "e2", 0
		s.list.put(s, e.Member)
		s.list.maxLag = 50 * time.Second
		s.advance(s.delay(0, 5*time.Second))
		s.giveLeavingEvidence(rt, e, "report")
		s.advance(leavingPropagationLimit)
		for range 90 {
			s.expectLeaving(s.nodes, e, true)
			s.advance(500 * time.Millisecond)
		}
	})
}

// Guards against slots and claims that are released while their owner is still
// running, and against stopped owners that are never detected. The faults are
// any lag of the list, pauses, outages of the list and restarts.
func TestIncarnationGone(t *testing.T) {
	checkProperty(t, func(rt *rapid.T) {
		s := withSim(rt, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "instances"), 2)
		s.list.maxLag = rapid.SampledFrom([]time.Duration{0, 3 * time.Second, 60 * time.Second}).Draw(rt, "lag")
		if rapid.Bool().Draw(rt, "constant lag") {
			s.list.minLag = s.list.maxLag
		}
		alive := make(map[lifetime]bool)
		s.onStep = append(s.onStep, func(n *simNode, _ Event, _ []Effect) {
			if n.state.selfListed() {
				alive[lifetime{string(n.self.Instance), n.self.Incarnation}] = true
			}
		})
		s.startAll()
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			s.injectMemberFault()
			s.advance(s.delay(0, 3*time.Second))
			s.checkIncarnationGone(rt, alive)
		}
		s.list.down = false
		s.advance(3 * time.Minute)
		s.checkIncarnationGone(rt, alive)
		s.advance(3 * time.Minute)
		for _, n := range s.nodes {
			for life := range alive {
				if s.lifetimeEnded(life) && !n.down && !n.state.incarnationGone(life.id, life.incarnation) {
					rt.Fatalf("%s does not detect that %v is gone", n.self.Incarnation, life)
				}
			}
		}
	})
}

func (s *sim) injectMemberFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(12) {
	case 0:
		n.restart()
	case 1:
		if !n.paused && !n.down {
			n.pause(s.delay(time.Second, 100*time.Second))
		}
	case 2:
		s.list.down = !s.list.down
	}
}

func (s *sim) lifetimeEnded(life lifetime) bool {
	n := s.node(InstanceID(life.id))
	return n.down || n.self.Incarnation != life.incarnation
}

// checkIncarnationGone asks each running instance about the given lifetimes and
// fails if it considers a running one as gone.
func (s *sim) checkIncarnationGone(rt *rapid.T, lives map[lifetime]bool) {
	for _, n := range s.nodes {
		if n.paused || n.down {
			continue
		}
		for _, other := range s.nodes {
			for i := 1; i <= other.lifetimes; i++ {
				life := lifetime{string(other.self.Instance), Incarnation(fmt.Sprintf("%s-%d", other.self.Instance, i))}
				if lives[life] && n.state.incarnationGone(life.id, life.incarnation) && !s.lifetimeEnded(life) {
					rt.Fatalf("at %v: %s considers %v gone, but it is running", s.now.Sub(s.start), n.self.Incarnation, life)
				}
			}
		}
	}
}

// Guards against instances that disagree about the home of a key once the
// system is stable, which would duplicate every load decision. Also guards
// against homes that move without need.
func TestHomesAgree(t *testing.T) {
	checkProperty(t, func(rt *rapid.T) {
		d := rapid.IntRange(1, 4).Draw(rt, "domains")
		s := withSim(rt, rapid.Uint64().Draw(rt, "seed"), d*rapid.IntRange(1, 4).Draw(rt, "per domain"), d)
		s.net.loss, s.net.maxConsecutiveLosses = 0.05, 1
		s.startAll()
		for range rapid.IntRange(0, 6).Draw(rt, "faults") {
			s.injectMemberFault()
			s.advance(s.delay(0, 10*time.Second))
		}
		isolated := rapid.IntRange(0, d).Draw(rt, "isolated domains")
		for a := range isolated {
			for b := isolated; b < d; b++ {
				s.net.setCut(domainName(a), domainName(b), true)
			}
		}
		s.list.down = false
		for s.anyPaused() {
			s.advance(time.Second)
		}
		s.list.dropHistory(s)
		s.net.loss = 0
		settleTime := 5 * time.Second
		if len(s.nodes) > fullMeshLimit && isolated > 0 {
			// Heartbeats to other domains are sent every 5 s, so a cut is
			// detected later.
			settleTime += peerSilenceTimeout + 2*remoteHeartbeatInterval
		}
		s.advance(settleTime)
		before := s.expectSameHomes(rt)
		gone := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "leaves")]
		gone.stop()
		s.advance(5 * time.Second)
		after := s.expectSameHomes(rt)
		for key, home := range before {
			if moved := after[key] != home; moved && key.at != gone.self.Instance && home.home != gone.self.Instance {
				rt.Fatalf("the home of %v moved from %s to %s when %s left", key, home, after[key], gone.self.Instance)
			}
		}
	})
}

func (s *sim) anyPaused() bool {
	for _, n := range s.nodes {
		if n.paused {
			return true
		}
	}
	return false
}

type homeKey struct {
	at  InstanceID
	key int
}

type homeResult struct{ home InstanceID }

// expectSameHomes checks that connected instances agree on the homes of some
// keys, and returns the homes by instance and key.
func (s *sim) expectSameHomes(rt *rapid.T) map[homeKey]homeResult {
	homes := make(map[homeKey]homeResult)
	for _, a := range s.nodes {
		if a.down {
			continue
		}
		for key := range 50 {
			home := a.state.homeOf(fmt.Sprintf("mixadvies/model-%d", key))
			homes[homeKey{a.self.Instance, key}] = homeResult{home}
			for _, b := range s.reachableFrom(a) {
				if other := b.state.homeOf(fmt.Sprintf("mixadvies/model-%d", key)); other != home {
					rt.Fatalf("at %v: home of %d is %s at %s and %s at %s", s.now.Sub(s.start), key, home, a.self.Instance, other, b.self.Instance)
				}
			}
		}
	}
	return homes
}
