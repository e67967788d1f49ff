package rpfleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// eraStore is a store with the row of the lease, which loses what was written since a
// copy of it.
type eraStore struct {
	era, number uint64
	row         LeaseRow
	away        bool
	copies      []eraCopy
}

type eraCopy struct {
	at     time.Time
	number uint64
	row    LeaseRow
}

// restore brings the store back with what it had at a time.
func (s *eraStore) restore(at time.Time) {
	found := eraCopy{}
	for _, c := range s.copies {
		if !c.at.After(at) {
			found = c
		}
	}
	s.era++
	s.number, s.row, s.copies = found.number, found.row, nil
}

func (s *eraStore) current() LeaseRow {
	row := s.row
	row.Revision = inEra(s.era, row.Revision)
	return row
}

// eraInstance is an instance with its client of the store.
type eraInstance struct {
	name     rpcore.InstanceID
	state    *State
	knownEra uint64
	alarm    time.Time
	started  bool
	downTo   time.Time
	cutTo    time.Time
	later    []eraStep
}

type eraStep struct {
	at  time.Time
	run func()
}

// eraFleet plays instances that want to be the planner all the time, and records when
// each one may send orders.
type eraFleet struct {
	t         *rapid.T
	rng       *rand.Rand
	now       time.Time
	began     time.Time
	store     *eraStore
	instances []*eraInstance
	lostShare float64
	last      struct {
		name  rpcore.InstanceID
		epoch uint64
		at    time.Time
	}
	handovers int
}

// eraEngine is the engine that the planners want to order.
var eraEngine = &endpoint{Endpoint: Endpoint{ID: "e1"}}

const (
	eraStepTime   = 10 * time.Millisecond
	eraPlayedTime = 40 * time.Second
)

func (f *eraFleet) storeNow() StoreTime { return StoreTime(f.now.Sub(f.began)) + StoreTime(time.Hour) }

func (f *eraFleet) start(i *eraInstance) {
	i.state, i.knownEra, i.alarm, i.later = &State{}, 0, time.Time{}, nil
	f.apply(i, Start{
		Stamp: Stamp{At: f.now}, Self: rpcore.Identity{Instance: i.name, FailureDomain: "a"},
		PeerAddress: netip.MustParseAddrPort("10.0.0.1:7000"), Seed: f.rng.Uint64(),
		Policy: Policy{FirstStart: !i.started},
	})
	i.started = true
}

func (f *eraFleet) apply(i *eraInstance, ev Event) {
	for _, effect := range append([]Effect(nil), i.state.Reduce(ev)...) {
		switch effect := effect.(type) {
		case SetAlarm:
			i.alarm = effect.At
		case ReadLease:
			asked := f.now
			f.call(i, func(ok bool) {
				ev := LeaseRead{Stamp: Stamp{At: f.now}, AskedAt: asked, Failed: !ok}
				if ok {
					ev.Row, ev.StoreNow = f.store.current(), f.storeNow()
				}
				f.apply(i, ev)
			})
		case WriteLease:
			f.write(i, effect)
		case SendDemand:
			asked := f.now
			i.later = append(i.later, eraStep{f.now.Add(20 * time.Millisecond), func() { f.deliverDemand(i, asked) }})
		}
	}
}

// call calls the store. The answer comes later, or not at all.
func (f *eraFleet) call(i *eraInstance, answer func(ok bool)) {
	delay := time.Duration(5+f.rng.IntN(60)) * time.Millisecond
	i.later = append(i.later, eraStep{f.now.Add(delay), func() {
		ok := !f.store.away && !f.now.Before(i.cutTo)
		if ok && f.store.era > i.knownEra {
			i.knownEra = f.store.era
			f.apply(i, StoreEraBegan{Stamp: Stamp{At: f.now}, Era: f.store.era})
		}
		answer(ok)
	}})
}

// write plays the client of the lease: a condition of an earlier era is not sent, and the
// row is read instead.
func (f *eraFleet) write(i *eraInstance, cmd WriteLease) {
	asked := f.now
	end := func(outcome rpcore.WriteOutcome, row LeaseRow) {
		f.apply(i, LeaseWritten{Stamp: Stamp{At: f.now}, AskedAt: asked, Outcome: outcome, Row: row, StoreNow: f.storeNow()})
	}
	earlier := cmd.Expected != 0 && cmd.Expected.Era() < i.knownEra
	f.call(i, func(ok bool) {
		switch {
		case !ok:
			end(rpcore.WriteUnknown, LeaseRow{})
			return
		case earlier:
			end(rpcore.WriteConflict, f.store.current())
			return
		case cmd.Expected.Number() != f.store.row.Revision.Number():
			end(rpcore.WriteConflict, f.store.current())
			return
		}
		f.store.number++
		f.store.row = cmd.Row
		f.store.row.Revision = Revision(f.store.number)
		f.store.copies = append(f.store.copies, eraCopy{f.now, f.store.number, f.store.row})
		switch {
		case f.rng.Float64() < f.lostShare:
			end(rpcore.WriteUnknown, LeaseRow{})
		case cmd.Row.Era != f.store.era:
			end(rpcore.WriteConflict, f.store.current())
		default:
			end(rpcore.WriteApplied, f.store.current())
		}
	})
}

// deliverDemand plays the answer to a demand: whether the asked instance is the planner.
func (f *eraFleet) deliverDemand(i *eraInstance, asked time.Time) {
	ev := PlacementReceived{Stamp: Stamp{At: f.now}, AskedAt: asked, Failed: true}
	for _, other := range f.instances {
		if other.name == i.state.lease.row.Holder && other != i && other.state != nil && !f.now.Before(other.downTo) && !f.now.Before(other.cutTo) && !f.now.Before(i.cutTo) {
			ev.Failed = false
			ev.Placement = Placement{IsPlanner: other.state.isPlanner(), Epoch: other.state.lease.row.Epoch, Instances: len(f.instances), Store: other.state.storeState()}
			if !ev.Placement.IsPlanner {
				ev.Placement.ReleasedEpoch, ev.Placement.RecentOrders = other.state.lease.releasedEpoch, other.state.recentOrders()
			}
		}
	}
	f.apply(i, ev)
}

// step lets a step of time pass.
func (f *eraFleet) step() {
	f.now = f.now.Add(eraStepTime)
	for _, i := range f.instances {
		if f.now.Before(i.downTo) {
			continue
		}
		if i.state == nil {
			f.start(i)
		}
		due := i.later
		i.later = nil
		for _, step := range due {
			if step.at.After(f.now) {
				i.later = append(i.later, step)
				continue
			}
			step.run()
		}
		for !i.alarm.IsZero() && !i.alarm.After(f.now) {
			i.alarm = time.Time{}
			f.apply(i, Tick{Stamp: Stamp{At: f.now}})
		}
		f.checkOrders(i)
	}
}

// checkOrders verifies that an instance that may order now keeps the gap to the last one
// that might, and that fencing tokens don't fall.
func (f *eraFleet) checkOrders(i *eraInstance) {
	l := &i.state.lease
	if i.state.now = maxTime(i.state.now, f.now); !i.state.isPlanner() || !i.state.holderGapElapsed(eraEngine) {
		return
	}
	i.state.recordOrderTime(eraEngine.ID, f.now)
	if f.last.name != "" && f.last.name != i.name {
		f.handovers++
		if gap := f.now.Sub(f.last.at); gap < i.state.policy.HolderGap {
			f.t.Fatalf("%s may order at %s, %s after %s", i.name, f.now.Sub(f.began), gap, f.last.name)
		}
		if l.row.Epoch <= f.last.epoch {
			f.t.Fatalf("%s has the token %d at %s after %s had %d", i.name, l.row.Epoch, f.now.Sub(f.began), f.last.name, f.last.epoch)
		}
	}
	if l.row.Epoch < f.last.epoch {
		f.t.Fatalf("the token of %s falls from %d to %d at %s", i.name, f.last.epoch, l.row.Epoch, f.now.Sub(f.began))
	}
	f.last.name, f.last.epoch, f.last.at = i.name, l.row.Epoch, f.now
}

// play plays random drills of the store, cuts, restarts and lost answers.
func (f *eraFleet) play() {
	pick := func(ms int) time.Duration { return time.Duration(f.rng.IntN(ms)) * time.Millisecond }
	nextFault := f.now.Add(time.Second)
	var backAt, copyAt time.Time
	for f.now.Sub(f.began) < eraPlayedTime {
		if !f.now.Before(nextFault) {
			nextFault = f.now.Add(100*time.Millisecond + pick(3000))
			i := f.instances[f.rng.IntN(len(f.instances))]
			switch f.rng.IntN(5) {
			case 0, 1:
				if !f.store.away {
					copyAt = f.now.Add(-pick(5000))
					f.store.away, backAt = true, f.now.Add(pick(2500))
				}
			case 2:
				i.cutTo = f.now.Add(pick(4000))
			case 3:
				i.state, i.downTo = nil, f.now.Add(pick(3000))
			case 4:
				for _, i := range f.instances {
					if i.state.isHolder() {
						i.cutTo = f.now.Add(pick(4000))
					}
				}
			}
		}
		if f.store.away && !f.now.Before(backAt) {
			f.store.away = false
			f.store.restore(copyAt)
		}
		f.step()
	}
}

func (s *State) isHolder() bool { return s != nil && s.lease.held }

// Guards against two planners that order one engine within the gap of holders, and
// against fencing tokens that fall, when the store comes back from copies of any age
// beside cuts, restarts and lost answers.
func TestDrillsKeepPlannersApart(t *testing.T) {
	handovers, plays := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := &eraFleet{t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Unix(1_800_000_000, 0)}
		f.began, f.store = f.now, &eraStore{era: 1 + f.rng.Uint64N(3)}
		f.lostShare = []float64{0, 0.05, 0.3}[f.rng.IntN(3)]
		for n := range 2 + f.rng.IntN(4) {
			f.instances = append(f.instances, &eraInstance{name: rpcore.InstanceID(fmt.Sprint("front-", n))})
		}
		f.play()
		handovers += f.handovers
		plays++
	})
	t.Logf("%d changes of the planner in %d plays", handovers, plays)
	if handovers < plays/2 {
		t.Errorf("%d changes of the planner in %d plays", handovers, plays)
	}
}
