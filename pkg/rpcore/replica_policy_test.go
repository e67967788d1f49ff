package rpcore

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// setDocument replaces the document of all instances.
func (w *world) setDocument(edit func(*rpdocument.Document)) {
	doc := replicaTestDocument()
	edit(doc)
	w.doc = doc
	w.forEachNode(func(n *fakeNode) {
		n.doc = doc
		w.runInEvent(n, func(s *State) { s.applyDocumentToReplicas("svc") })
	})
}

// keepInUse makes an instance report that it uses a model.
func (w *world) keepInUse(n *fakeNode, key ModelKey) {
	n.use[key] = modelUse{InFlight: 1, LastArrival: w.now, ArrivalsPerHour: 1000}
}

// loadAndUse loads a model through a demand and marks it as in use.
func (w *world) loadAndUse(n *fakeNode, key ModelKey) {
	w.demand(n, key, 1)
	w.run(4 * time.Second)
	w.keepInUse(n, key)
}

// Guards against excess replicas that stay after the replica limit was lowered,
// and against replicas of a model that is no longer declared.
func TestLowerLimitUnloadsExcess(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(2, 3, false)
	w.setDocument(func(d *rpdocument.Document) { d.Models[0].WarmReplicas = 2 })
	w.run(10 * time.Second)
	g.Expect(w.countLoaded(keyA)).To(Equal(2))
	w.setDocument(func(d *rpdocument.Document) { d.Models[0].MaxReplicas = 1 })
	w.run(5 * time.Second)
	g.Expect(w.countLoaded(keyA)).To(Equal(1))
	w.setDocument(func(d *rpdocument.Document) { d.Models = d.Models[1:] })
	w.run(5 * time.Second)
	g.Expect(w.countLoaded(keyA)).To(Equal(0))
	g.Expect(w.tableSlots(keyA)).To(BeEmpty())
}

// Guards against replicas of an old version that are not replaced. If the
// replica limit leaves room, also guards against a moment without any replica
// during the rollout.
func TestVersionRollout(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(2, 3, true)
	warm := func(d *rpdocument.Document) { d.Models[0].WarmReplicas = 2 }
	w.setDocument(warm)
	w.run(10 * time.Second)
	w.setDocument(func(d *rpdocument.Document) {
		warm(d)
		d.Models[0].Version = "2"
	})
	for range 60 {
		w.run(500 * time.Millisecond)
		g.Expect(w.countLoaded(keyA)).To(BeNumerically(">=", 1))
	}
	g.Expect(w.countLoaded(keyA)).To(Equal(2))
	g.Expect(w.tableSlots(keyA)).To(HaveEach(HaveField("Version", "2")))
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against lagging reports that hide a model that was just loaded or show
// one that was just unloaded, and against models of an earlier incarnation of
// an engine.
func TestServingFollowsAnswersAndReports(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 1, true)
	n, e := w.nodes["i1"], w.engines["e1"]
	served := func() int { return len(n.state.servingEndpoints(keyA)) }
	empty := e.report(w.now)
	w.loadAndUse(n, keyA)
	g.Expect(served()).To(Equal(1))
	empty.Sequence = e.sequence + 1
	e.sequence++
	w.deliver(n, EngineReported{Report: empty})
	g.Expect(served()).To(Equal(1), "an older report must not hide the model")
	w.advance(w.now.Add(answerPrecedence))
	empty.Sequence = e.sequence + 1
	e.sequence++
	w.deliver(n, EngineReported{Report: empty})
	g.Expect(served()).To(Equal(0), "the engine lost the model")

	w.deliver(n, EngineReported{Report: e.report(w.now)})
	g.Expect(served()).To(Equal(1))
	w.runInEvent(n, func(s *State) { s.markModelNotLoaded("e1", keyA) })
	w.deliver(n, EngineReported{Report: e.report(w.now)})
	g.Expect(served()).To(Equal(0), "a report must not outweigh a newer refusal")

	w.advance(w.now.Add(answerPrecedence))
	w.deliver(n, EngineReported{Report: e.report(w.now)})
	g.Expect(served()).To(Equal(1))
	e.member.Incarnation = "e1/2"
	w.deliver(n, MembersListed{Members: w.members()})
	g.Expect(served()).To(Equal(0))
}

// Guards against a load on another engine than the one with the nearest
// checkpoint. If no checkpoint is near, the load must go to the failure domain
// with the demand.
func TestPlacementPrefersNearCheckpoints(t *testing.T) {
	for place, engine := range map[CheckpointPlace]EndpointID{PlaceMemory: "e3", PlaceDisk: "e3", PlaceRemote: "e1"} {
		g := NewWithT(t)
		w := withWorld(1, 3, true)
		w.engines["e2"].cached = []CachedCheckpoint{{Checkpoint: "other", Place: PlaceMemory}}
		w.engines["e3"].cached = []CachedCheckpoint{{Checkpoint: "ck-a", Place: place}}
		w.run(time.Second)
		w.loadAndUse(w.nodes["i1"], keyA)
		g.Expect(w.engines[engine].loads).To(HaveKey(keyA), "checkpoint in %s", place)
	}
}

// Guards against the eviction of a replica that is in use while another one is
// idle.
func TestEvictionPicksIdleReplica(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 2, true)
	n := w.nodes["i1"]
	keyC := ModelKey{Service: "svc", Name: "c"}
	w.loadAndUse(n, keyA)
	w.loadAndUse(n, keyB)
	delete(n.use, keyB)
	w.run(6 * time.Second)
	w.keepInUse(n, keyA)
	w.loadAndUse(n, keyC)
	g.Expect([]int{w.countLoaded(keyA), w.countLoaded(keyB), w.countLoaded(keyC)}).To(Equal([]int{1, 0, 1}))
	g.Expect(w.violations).To(BeEmpty())
}

// Guards against loads of several models that together exceed the accelerators
// of their service.
func TestSpendLimitsLoads(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 3, true)
	w.setDocument(func(d *rpdocument.Document) {
		d.Spend = rpdocument.Spend{Accelerators: 1, AcceleratorHoursPerDay: rpdocument.HoursPerDay}
	})
	n := w.nodes["i1"]
	w.loadAndUse(n, keyA)
	w.demand(n, keyB, 1)
	w.run(4 * time.Second)
	g.Expect([]int{w.countLoaded(keyA), w.countLoaded(keyB)}).To(Equal([]int{1, 0}))
	delete(n.use, keyA)
	w.run(15 * time.Second)
	g.Expect([]int{w.countLoaded(keyA), w.countLoaded(keyB)}).To(Equal([]int{0, 1}))
}

// Guards against idle replicas that stay loaded, and against the unloading of
// replicas that are warm, in use on this or another instance, or within the
// fixed keep-alive time of the baseline.
func TestIdleUnloading(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*world)
		kept    int
	}{
		"idle": {func(*world) {}, 0},
		"in use at the home": {func(w *world) {
			w.forEachNode(func(n *fakeNode) {
				if n.state.isHomeOfModel(keyA) {
					w.keepInUse(n, keyA)
				}
			})
		}, 1},
		"in use elsewhere": {func(w *world) {
			w.forEachNode(func(n *fakeNode) {
				if !n.state.isHomeOfModel(keyA) {
					w.keepInUse(n, keyA)
				}
			})
		}, 1},
		"running on the engine": {func(w *world) {
			for _, e := range w.engines {
				e.running = 1
			}
		}, 1},
		"warm": {func(w *world) {
			w.setDocument(func(d *rpdocument.Document) { d.Models[0].WarmReplicas = 1 })
		}, 1},
		"fixed time": {func(w *world) {
			w.forEachNode(func(n *fakeNode) { n.state.policy.FixedKeepAlive = time.Hour })
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := withWorld(2, 1, true)
			w.loadAndUse(w.nodes["i1"], keyA)
			w.forEachNode(func(n *fakeNode) { clear(n.use) })
			c.prepare(w)
			w.run(5 * time.Minute)
			g.Expect(w.countLoaded(keyA)).To(Equal(c.kept))
		})
	}
}

// Guards against a predicted time until a replica serves that does not shrink
// during a load or does not use measured load times.
func TestExpectedReplica(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 1, true)
	n := w.nodes["i1"]
	expected := func() time.Duration {
		d, ok := n.state.expectedReplicaWait(keyA)
		g.Expect(ok).To(BeTrue())
		return d
	}
	g.Expect(expected()).To(Equal(DefaultColdStartEstimate))
	w.engines["e1"].loadTime = 2 * time.Second
	w.demand(n, keyA, 1)
	w.run(time.Second)
	g.Expect(expected()).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
	w.run(2 * time.Second)
	g.Expect(expected()).To(BeZero())
	g.Expect(n.state.loadTime(keyA, PlaceRemote)).To(Equal(2 * time.Second))
	_, ok := n.state.expectedReplicaWait(ModelKey{Service: "svc", Name: "none"})
	g.Expect(ok).To(BeFalse())
}

// withScheduler returns a State that is the scheduler of load tickets, and a
// function that sends it a message of another instance and returns the granted
// tickets.
func withScheduler() (*State, func(at time.Duration, ev PeerMessage) []Nonce) {
	w := withWorld(1, 1, true)
	s := w.nodes["i1"].state
	other := Member{ID: "other", Kind: MemberInstance, Incarnation: "1"}
	w.deliver(w.nodes["i1"], MembersListed{Members: append(w.members(), other)})
	s.limits.WeightLoads, s.limits.WeightLoadsPerSecond = 2, 1
	start := w.now
	return s, func(at time.Duration, m PeerMessage) []Nonce {
		var granted []Nonce
		for _, effect := range s.Reduce(PeerReceived{Stamp: Stamp{At: start.Add(at)}, From: "other", Message: m}) {
			if p, ok := effect.(SendPeer); ok && p.Message.TicketGrant != nil && p.Message.TicketGrant.Lease > 0 {
				granted = append(granted, p.Message.TicketGrant.Nonce)
			}
		}
		return granted
	}
}

// Guards against concurrent loads or starts per second beyond the limits of the
// weight store, and against grants that don't prefer urgent ranks, then long
// queues.
func TestTicketOrderAndLimits(t *testing.T) {
	g := NewWithT(t)
	_, send := withScheduler()
	ticketRequest := func(nonce Nonce, rank rpdocument.Rank, waiting int) PeerMessage {
		return PeerMessage{TicketRequest: &TicketRequest{Nonce: nonce, Kind: TicketWeights, Rank: rank, Waiting: waiting}}
	}
	release := func(nonce Nonce) PeerMessage {
		return PeerMessage{TicketRelease: &TicketRelease{Nonce: nonce}}
	}
	g.Expect(send(0, ticketRequest("a", rpdocument.RankBackground, 1))).To(Equal([]Nonce{"a"}))
	g.Expect(send(0, ticketRequest("b", rpdocument.RankBackground, 1))).To(Equal([]Nonce{"b"}))
	for i, rank := range []rpdocument.Rank{rpdocument.RankBackground, rpdocument.RankNormal, rpdocument.RankUrgent, rpdocument.RankUrgent} {
		g.Expect(send(time.Millisecond, ticketRequest(Nonce(fmt.Sprint(i)), rank, 10-i))).To(BeEmpty())
	}
	g.Expect(send(500*time.Millisecond, release("a"))).To(BeEmpty(), "another start would exceed the rate")
	g.Expect(send(2*time.Second, release("none"))).To(Equal([]Nonce{"2"}), "only one lease is free")
	g.Expect(send(3*time.Second, release("b"))).To(Equal([]Nonce{"3"}))
	g.Expect(send(4*time.Second, release("none"))).To(BeEmpty(), "two loads are in flight")
}

// Guards against a load that waits for a lost scheduler, and against a lease
// that is not renewed and holds up other loads.
func TestTicketSchedulerLoss(t *testing.T) {
	g := NewWithT(t)
	w := withWorld(1, 1, true)
	n := w.nodes["i1"]
	n.state.replicas.homeCache[ticketHomeKey] = "lost"
	w.demand(n, keyA, 1)
	w.run(5 * time.Second)
	g.Expect(w.countLoaded(keyA)).To(Equal(1))

	s, send := withScheduler()
	for _, nonce := range []Nonce{"a", "b"} {
		send(0, PeerMessage{TicketRequest: &TicketRequest{Nonce: nonce, Kind: TicketWeights}})
	}
	g.Expect(s.tickets.leases).To(HaveLen(2))
	g.Expect(send(ticketLeaseTime+time.Second, PeerMessage{TicketRequest: &TicketRequest{Nonce: "c", Kind: TicketWeights}})).
		To(Equal([]Nonce{"c"}))
}
