package rpfleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// crashFleet plays instances that share engines and a store. Each engine crashes when
// it begins to answer a request with one of the deadly parts, and is back later as a
// new incarnation.
type crashFleet struct {
	t         *testing.T
	now       time.Time
	instances []*harness
	names     []rpcore.InstanceID
	// seen is the number of effects of each instance that were handled.
	seen    []int
	rng     *rand.Rand
	planner int
	// plannerDown says that the planner answers nothing and reads nothing.
	plannerDown bool
	deadly      map[string]bool
	engines     map[rpcore.EndpointID]*crashEngine
	later       []delayedStep
	evidence    []rpfleet.CrashEvidence
	// quarantined is what a planner last wrote to the store.
	quarantined []rpfleet.PartTime
	crashes     []time.Time
	// reached are the times at which requests with a deadly part reached engines.
	reached []time.Time
	// soundSent and soundServed count sound requests since the last reset.
	soundSent, soundServed int
	lastRequest            int
}

type crashEngine struct {
	entry rpfleet.Endpoint
	down  bool
	born  int
}

// delayedStep is a step at a later time.
type delayedStep struct {
	at  time.Time
	run func()
}

const (
	fleetStep = 10 * time.Millisecond
	// engineDelay is the time from the send of a request to its first event or to
	// the crash, engineDownTime the time until an engine is back.
	engineDelay    = 60 * time.Millisecond
	engineDownTime = 3 * time.Second
	// fleetContact is the time after the fifth crash from which deadly requests
	// must not reach engines.
	fleetContact = 3 * time.Second
)

func withCrashFleet(t *testing.T, instances, engines int, deadly ...string) *crashFleet {
	t.Helper()
	f := &crashFleet{t: t, now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(1, 2)), deadly: map[string]bool{}, engines: map[rpcore.EndpointID]*crashEngine{}}
	for _, part := range deadly {
		f.deadly[part] = true
	}
	for _, entry := range manyEngines(engines) {
		f.engines[entry.ID] = &crashEngine{entry: entry}
	}
	for i := range instances {
		h := &harness{t: t, now: f.now}
		name := rpcore.InstanceID(fmt.Sprintf("front-%d", i))
		h.apply(rpfleet.Start{
			Stamp: h.stamp(), Self: rpcore.Identity{Instance: name, FailureDomain: homeDomain},
			PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i)), Seed: uint64(i + 1),
		})
		f.instances, f.names, f.seen = append(f.instances, h), append(f.names, name), append(f.seen, 0)
	}
	defer func() { f.now = f.instances[f.planner].now }()
	for i, h := range f.instances {
		h.apply(rpfleet.EvidenceRead{Stamp: h.stamp(), Complete: true})
		h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: testConfig(1)})
		h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Complete: true, Entries: f.list()})
		if i == f.planner {
			h.becomePlanner()
			f.seen[i] = len(h.effects)
		} else {
			h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: f.leaseRow(1)})
		}
	}
	return f
}

func (f *crashFleet) leaseRow(epoch uint64) rpfleet.LeaseRow {
	return rpfleet.LeaseRow{
		Revision: rpfleet.Revision(10 * epoch), Holder: f.names[f.planner], Epoch: epoch, Renewals: 1,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+f.planner)),
	}
}

func (f *crashFleet) list() []rpfleet.Endpoint {
	var entries []rpfleet.Endpoint
	for _, e := range f.engines {
		if !e.down {
			entries = append(entries, e.entry)
		}
	}
	return entries
}

func (f *crashFleet) after(d time.Duration, run func()) {
	f.later = append(f.later, delayedStep{at: f.now.Add(d), run: run})
}

// play lets time pass with a load: each step, a request with a deadly part with the
// given probability, and several sound ones.
func (f *crashFleet) play(d time.Duration, deadlyShare float64) {
	parts := sortedNames(f.deadly)
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		if len(parts) > 0 && f.rng.Float64() < deadlyShare {
			f.send("head", parts[f.rng.IntN(len(parts))], fmt.Sprint("rare ", f.lastRequest))
		}
		for range 2 {
			f.send("head", fmt.Sprint("used ", f.rng.IntN(20)))
		}
		f.runLater()
		for i, h := range f.instances {
			if f.isDown(i) {
				continue
			}
			h.advance(f.now.Sub(h.now))
			f.handleEffects(i)
		}
	}
}

func sortedNames(set map[string]bool) []string {
	var names []string
	for name := range set {
		names = append(names, name)
	}
	if len(names) == 2 && names[0] > names[1] {
		names[0], names[1] = names[1], names[0]
	}
	return names
}

func (f *crashFleet) isDown(instance int) bool { return f.plannerDown && instance == f.planner }

func (f *crashFleet) runLater() {
	due := f.later
	f.later = nil
	for _, step := range due {
		if step.at.After(f.now) {
			f.later = append(f.later, step)
			continue
		}
		step.run()
	}
}

func (f *crashFleet) send(shared ...string) {
	i := f.rng.IntN(len(f.instances))
	if f.isDown(i) {
		return
	}
	f.lastRequest++
	h := f.instances[i]
	h.now = f.now
	id := fmt.Sprintf("r%d", f.lastRequest)
	if !f.isDeadly(shared) {
		f.soundSent++
	}
	h.arrivePrompt(id, shared...)
	f.handleEffects(i)
}

func (f *crashFleet) isDeadly(shared []string) bool {
	for _, part := range shared {
		if f.deadly[part] {
			return true
		}
	}
	return false
}

// handleEffects plays the runtime of an instance.
func (f *crashFleet) handleEffects(i int) {
	h := f.instances[i]
	for f.seen[i] < len(h.effects) {
		effect := h.effects[f.seen[i]]
		f.seen[i]++
		switch effect := effect.(type) {
		case rpfleet.StartAttempt:
			f.startAttempt(i, effect)
		case rpfleet.CheckEngine:
			e := f.engines[effect.Endpoint]
			alive := !e.down && e.entry.Incarnation == effect.Incarnation
			f.after(2*time.Millisecond, f.event(i, func(h *harness) {
				h.apply(rpfleet.EngineChecked{Stamp: h.stamp(), Endpoint: effect.Endpoint, Incarnation: effect.Incarnation, Alive: alive})
			}))
		case rpfleet.SendDemand:
			f.sendDemand(i, effect.Demand)
		case rpfleet.PostEvidence:
			f.evidence = append(f.evidence, effect.Evidence)
			f.after(20*time.Millisecond, func() { f.readEvidence(rpfleet.EvidenceRead{Evidence: []rpfleet.CrashEvidence{effect.Evidence}}) })
		case rpfleet.PostQuarantine:
			f.quarantined = effect.Parts
			f.after(20*time.Millisecond, func() { f.readEvidence(rpfleet.EvidenceRead{Quarantined: effect.Parts}) })
		case rpfleet.WriteLease:
			f.after(5*time.Millisecond, f.event(i, func(h *harness) {
				row := effect.Row
				row.Revision = effect.Expected + 1
				h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: h.now, Outcome: rpcore.WriteApplied, Row: row})
			}))
		}
	}
}

// event returns a step that applies an event to an instance that is not down.
func (f *crashFleet) event(i int, apply func(*harness)) func() {
	return func() {
		if f.isDown(i) {
			return
		}
		h := f.instances[i]
		h.now = f.now
		apply(h)
		f.handleEffects(i)
	}
}

// readEvidence delivers what was written to the store to all instances that follow
// it.
func (f *crashFleet) readEvidence(ev rpfleet.EvidenceRead) {
	for i := range f.instances {
		f.event(i, func(h *harness) {
			if h.state.FollowsEvidence() {
				ev.Stamp = h.stamp()
				h.apply(ev)
			}
		})()
	}
}

func (f *crashFleet) startAttempt(i int, a rpfleet.StartAttempt) {
	e := f.engines[a.Endpoint]
	if e.down || e.entry.Incarnation != a.Incarnation {
		f.after(time.Millisecond, f.event(i, func(h *harness) { h.endAttempt(a, rpcore.AttemptRefusedConnection, rpverdict.NotRun) }))
		return
	}
	deadly := f.isDeadly(f.promptOf(i, a.Request))
	if deadly {
		f.reached = append(f.reached, f.now)
	}
	f.after(engineDelay, func() {
		alive := !e.down && e.entry.Incarnation == a.Incarnation
		if deadly && alive {
			f.crash(e)
		}
		f.event(i, func(h *harness) {
			switch {
			case deadly && alive:
				h.stopAtStart(a)
			case !alive:
				h.endAttempt(a, rpcore.AttemptBroken, rpverdict.MayHaveRun)
			default:
				f.soundServed++
				h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: a.Request, Attempt: a.Attempt})
				h.endAttempt(a, rpcore.AttemptComplete, rpverdict.Ran)
			}
		})()
	})
}

func (f *crashFleet) promptOf(i int, id rpcore.RequestID) []string { return f.instances[i].prompts[id] }

func (f *crashFleet) crash(e *crashEngine) {
	e.down = true
	f.crashes = append(f.crashes, f.now)
	f.after(engineDownTime, func() {
		e.down = false
		e.born++
		e.entry.Incarnation = rpcore.Incarnation(fmt.Sprint("born ", e.born))
		for i := range f.instances {
			f.event(i, func(h *harness) {
				h.apply(rpfleet.EndpointsRead{Stamp: h.stamp(), Entries: []rpfleet.Endpoint{e.entry}})
			})()
		}
	})
}

func (f *crashFleet) sendDemand(i int, demand rpfleet.Demand) {
	asked := f.now
	failed := func() {
		f.after(450*time.Millisecond, f.event(i, func(h *harness) {
			h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: asked, Failed: true})
		}))
	}
	if f.plannerDown {
		failed()
		return
	}
	f.after(2*time.Millisecond, func() {
		if f.plannerDown {
			failed()
			return
		}
		planner := f.instances[f.planner]
		planner.now = f.now
		before := len(planner.effects)
		planner.apply(rpfleet.DemandReceived{Stamp: planner.stamp(), Call: 1, Demand: demand})
		for _, effect := range planner.effects[before:] {
			if answer, ok := effect.(rpfleet.AnswerDemand); ok {
				f.after(2*time.Millisecond, f.event(i, func(h *harness) {
					h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: asked, Placement: answer.Placement})
				}))
			}
		}
	})
}

// takeOver makes another instance the planner.
func (f *crashFleet) takeOver(next int) {
	f.planner, f.plannerDown = next, false
	f.instances[next].lease = rpfleet.LeaseRow{Revision: 20, Epoch: 1}
	f.instances[next].now = f.now
	f.instances[next].becomePlanner()
	f.seen[next] = len(f.instances[next].effects)
	f.now = f.instances[next].now
	for i, h := range f.instances {
		if i != next {
			h.now = f.now
			h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: f.leaseRow(2)})
		}
	}
}

// lateArrivals counts the deadly requests that reached engines later than
// fleetContact after the fifth crash.
func (f *crashFleet) lateArrivals() int {
	if len(f.crashes) < 5 {
		return 0
	}
	n := 0
	for _, at := range f.reached {
		if at.After(f.crashes[4].Add(fleetContact)) {
			n++
		}
	}
	return n
}

// Guards against requests that crash engine after engine although each instance sees
// only a few of them, with one and two deadly parts, and against sound requests of
// the same first part that are no longer served.
func TestFleetKeepsDeadlyPartsAway(t *testing.T) {
	for _, play := range []struct {
		instances, engines int
		deadly             []string
	}{{9, 9, []string{"deadly"}}, {9, 9, []string{"deadly", "second"}}, {9, 9, []string{"head 2"}}, {195, 78, []string{"deadly"}}} {
		t.Run(fmt.Sprint(play.instances, play.deadly), func(t *testing.T) {
			g := NewWithT(t)
			f := withCrashFleet(t, play.instances, play.engines, play.deadly...)
			f.play(2*time.Second, 0)
			g.Expect(f.crashes).To(BeEmpty())
			f.play(6*time.Second, 0.1)
			g.Expect(f.crashes).NotTo(BeEmpty())
			f.soundSent, f.soundServed = 0, 0
			before := len(f.reached)
			f.play(6*time.Second, 0.1)
			g.Expect(f.lateArrivals()).To(BeNumerically("<=", 3))
			g.Expect(len(f.reached) - before).To(BeNumerically("<=", 3))
			g.Expect(f.soundServed).To(BeNumerically(">", f.soundSent*9/10))
		})
	}
}

// Guards against deadly requests that reach engines while the planner is lost, before
// and after the first crash, and after another instance has taken over.
func TestFleetKeepsDeadlyPartsAwayWithoutPlanner(t *testing.T) {
	for name, lostAfter := range map[string]time.Duration{"before": 0, "after": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := withCrashFleet(t, 9, 9, "deadly")
			f.play(2*time.Second, 0)
			f.play(lostAfter, 0.1)
			f.plannerDown = true
			f.play(4*time.Second, 0.1)
			f.takeOver(1)
			f.play(8*time.Second, 0.1)
			g.Expect(f.crashes).NotTo(BeEmpty())
			g.Expect(f.lateArrivals()).To(BeNumerically("<=", 3))
			g.Expect(len(f.crashes)).To(BeNumerically("<", 9))
		})
	}
}
