package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// leaseHold is how long the lease lasts from the start of the call that
	// acquired or renewed it.
	leaseHold = 1400 * time.Millisecond
	// leaseRenewal is the time between two renewals: two may fail.
	leaseRenewal = 400 * time.Millisecond
	// leaseMargin is added to the end of a lease for the drift of clocks.
	leaseMargin = 50 * time.Millisecond
	// leaseExpiry is how long a row without a time must stay the same before
	// another instance takes the lease.
	leaseExpiry = 1900 * time.Millisecond
	// cutOffRenewals is the number of renewals in a row that fail before a
	// holder gives up because others reach the store.
	cutOffRenewals = 2
	// outageMargin covers the time on the way of calls to the store that fail for
	// one instance and succeed for another.
	outageMargin = 100 * time.Millisecond
	// holderPreference is how long a lease that has ended is left to its holder
	// where that still answers: it needs no gap between its orders.
	holderPreference = time.Second
	// orderFlight is the time that an order may take until its engine has it,
	// after it was decided on: that of a connection.
	orderFlight = 400 * time.Millisecond
	// storeWitnesses is the number of instances that are asked to try the store
	// while renewals fail.
	storeWitnesses = 4.0
	// candidates is the number of instances a second that try to take a lease
	// which has ended, so that a large deployment does not try all at once.
	candidates = 100.0
	// usualCPU is the part of a core from which an instance can plan for any
	// deployment that is known. Smaller ones let the others go first by
	// smallDelay.
	usualCPU   = 0.4
	smallDelay = 500 * time.Millisecond
	// leaseReadInterval is the time between two readings of the row while its
	// holder does not answer.
	leaseReadInterval = 400 * time.Millisecond
	// leaseReads bounds these readings a second of all instances, and
	// failedLeaseReads those while the store fails.
	leaseReads       = 60.0
	failedLeaseReads = 25.0
	// leaseRetry is the pause after a call to the store that failed.
	leaseRetry = 200 * time.Millisecond
	// holderMargin is added to Policy.HolderGap for orders on their way.
	holderMargin = 150 * time.Millisecond
)

// leaseState is this instance's view of the lease of the planner.
type leaseState struct {
	row LeaseRow
	// seenAt is when the row was first read with its present revision. It is
	// zero where the holder has shown since that it lives.
	seenAt time.Time
	// held says that this instance holds the lease until validUntil.
	held       bool
	validUntil time.Time
	// ordersFrom is when orders of the holder before can't be near any more.
	ordersFrom time.Time
	// engineFrom replaces ordersFrom where the holder before told its last
	// orders: engines that it does not name may get one at once.
	engineFrom map[rpcore.EndpointID]time.Time
	// peerOrders are the last orders that go with peerGaveUp, as of
	// peerOrdersAt.
	peerOrders   []LastOrder
	peerOrdersAt time.Time
	reading      bool
	writing      bool
	// writtenAt is when the write in flight was decided on.
	writtenAt time.Time
	// readDue says that an alarm will read the row.
	readDue bool
	// silent says that the holder did not answer for its lease.
	silent bool
	// storeNow is the clock of the store as it answered a call that began at
	// storeAsked, so the store's clock was at most that then.
	storeNow   StoreTime
	storeAsked time.Time
	// failures counts the renewals in a row that failed, the first of which
	// began at failingSince.
	failures     int
	failingSince time.Time
	// holderAnsweredAt is when the holder last answered a demand, and vacantAt
	// when its lease was first seen to have ended.
	holderAnsweredAt time.Time
	vacantAt         time.Time
	// standAt is when this instance tries to take the lease that ended with the
	// revision standingFor.
	standAt     time.Time
	standingFor uint64
	// gaveUp is the epoch of the last lease that this instance has stopped to
	// use, and peerGaveUp that of which the holder has said so.
	gaveUp     uint64
	peerGaveUp uint64
}

// observeStore takes in the clock of the store from the answer to a call.
func (s *State) observeStore(now StoreTime, askedAt time.Time) {
	if now > 0 {
		s.lease.storeNow, s.lease.storeAsked = now, askedAt
	}
}

// storeTime returns the latest time that the clock of the store can show at a
// local time, or 0 where it is not known.
func (s *State) storeTime(at time.Time) StoreTime {
	if s.lease.storeNow == 0 {
		return 0
	}
	return s.lease.storeNow + StoreTime(at.Sub(s.lease.storeAsked))
}

func (s *State) startLease() { s.readLease() }

// leading reports whether this instance is the planner.
func (s *State) leading() bool { return s.lease.held && s.now.Before(s.lease.validUntil) }

// Leading reports whether this instance gave orders at the last event.
func (s *State) Leading() bool { return s.leading() }

// Holds reports whether this instance held the lease with the given epoch at the
// last event.
func (s *State) Holds(epoch uint64) bool { return s.lease.held && s.lease.row.Epoch == epoch }

func (s *State) readLease() {
	l := &s.lease
	if l.reading || l.writing || s.draining || s.leading() {
		return
	}
	l.reading = true
	s.emit(ReadLease{})
}

// readLeaseLater reads the row after d and a random time, which keeps instances
// from asking at the same time and all of them within the given calls a second.
func (s *State) readLeaseLater(d time.Duration, calls float64) {
	if s.lease.readDue {
		return
	}
	s.lease.readDue = true
	spread := max(d, 2*(s.scaled(0, calls)-d))
	s.after(d+time.Duration(s.rng.Int64N(int64(spread))), func(s *State) {
		s.lease.readDue = false
		s.readLease()
	})
}

func (s *State) leaseRead(ev LeaseRead) {
	s.lease.reading = false
	if ev.Failed {
		s.readLeaseLater(leaseReadInterval, failedLeaseReads)
		return
	}
	s.demand.storeReadAt = s.now
	s.observeStore(ev.StoreNow, ev.AskedAt)
	s.considerRow(ev.Row, ev.StoreNow)
}

func (s *State) renewLease() {
	l := &s.lease
	if !l.held || l.writing {
		return
	}
	if !s.leading() {
		s.loseLease("it was not renewed in time")
		return
	}
	l.writing = true
	l.writtenAt = s.now
	row := l.row
	row.Renewals++
	row.ValidUntil = s.storeTime(s.now) + StoreTime(leaseHold)
	s.emit(WriteLease{Expected: l.row.Revision, Row: row})
}

func (s *State) leaseWritten(ev LeaseWritten) {
	l := &s.lease
	l.writing = false
	s.observeStore(ev.StoreNow, ev.AskedAt)
	switch ev.Outcome {
	case rpcore.WriteApplied:
		s.leaseApplied(ev)
	case rpcore.WriteConflict:
		s.leaseConflict(ev)
	default:
		s.leaseUnanswered()
	}
}

func (s *State) leaseApplied(ev LeaseWritten) {
	l := &s.lease
	before := l.row
	l.row = ev.Row
	l.failures = 0
	if ev.Row.Holder != s.self.Instance || ev.Row.Epoch == l.gaveUp {
		// The lease was given up, perhaps while its renewal was under way.
		l.held = false
		return
	}
	l.validUntil = l.writtenAt.Add(leaseHold)
	if !l.held {
		l.held = true
		l.silent = false
		s.note("replicas", "this instance plans", Field{"epoch", ev.Row.Epoch}, Field{"holder_before", string(before.Holder)},
			Field{"orders_in", max(0, l.ordersFrom.Sub(s.now))})
		s.planBegins()
	}
	if s.draining {
		s.releaseLease()
		return
	}
	s.at(l.writtenAt.Add(leaseRenewal), (*State).renewLease)
}

func (s *State) leaseConflict(ev LeaseWritten) {
	l := &s.lease
	mine := ev.Row.Holder == s.self.Instance && ev.Row.Epoch == l.row.Epoch
	if l.held && mine {
		// The answer to an earlier renewal was lost.
		l.row = ev.Row
		s.after(leaseRetry, (*State).renewLease)
		return
	}
	if l.held {
		s.loseLease("another instance took it")
	}
	s.considerRow(ev.Row, ev.StoreNow)
}

func (s *State) leaseUnanswered() {
	if s.lease.held {
		if s.lease.failures++; s.lease.failures == 1 {
			s.lease.failingSince = s.lease.writtenAt
		}
		s.giveUpIfCutOff()
		s.after(leaseRetry, (*State).renewLease)
		return
	}
	s.readLeaseLater(leaseReadInterval, failedLeaseReads)
}

// giveUpIfCutOff ends the lease of a holder that can't renew it while another
// instance reaches the store: that one can take it at once. In an outage for all
// the holder keeps it, since it can go on without a gap when the store is back.
func (s *State) giveUpIfCutOff() {
	if !s.leading() || s.lease.failures < cutOffRenewals {
		return
	}
	for name, d := range s.plan.demands {
		if name != s.self.Instance && d.at.Add(-d.StoreAge).After(s.lease.failingSince.Add(outageMargin)) {
			s.loseLease("it can't be renewed while others reach the store")
			return
		}
	}
}

func (s *State) loseLease(why string) {
	s.lease.held = false
	s.lease.gaveUp = s.lease.row.Epoch
	s.lease.failures = 0
	s.lease.seenAt = time.Time{}
	s.note("replicas", "this instance plans no more", Field{"epoch", s.lease.row.Epoch}, Field{"reason", why})
	s.planEnds()
	s.readLeaseLater(leaseRetry, leaseReads)
}

// releaseLease gives the lease up on a planned stop, so that another instance
// need not wait for its end.
func (s *State) releaseLease() {
	l := &s.lease
	if !l.held || l.writing {
		return
	}
	l.held = false
	l.gaveUp = l.row.Epoch
	l.writing = true
	orders := s.lastOrders()
	s.planEnds()
	s.note("replicas", "this instance gives up planning", Field{"epoch", l.row.Epoch}, Field{"engines_ordered", len(orders)})
	s.emit(WriteLease{Expected: l.row.Revision, Row: LeaseRow{
		Epoch: l.row.Epoch, Renewals: l.row.Renewals + 1, ValidUntil: s.storeTime(s.now), Given: true, Orders: orders,
	}})
}

// holderAlive takes in that the holder answered and still holds the lease.
func (s *State) holderAlive() {
	if s.lease.silent {
		s.note("replicas", "the planner answers again", Field{"holder", string(s.lease.row.Holder)})
	}
	s.lease.silent = false
	s.lease.seenAt = time.Time{}
}

// holderSilent takes in that the holder did not answer or does not hold the
// lease any more.
func (s *State) holderSilent(ev *PlacementReceived) {
	l := &s.lease
	noAnswer, gaveUp := ev.Failed, ev.Placement.GaveUp
	news := gaveUp != l.peerGaveUp
	l.peerGaveUp = gaveUp
	if !noAnswer {
		l.holderAnsweredAt = s.now
		// The answer was made before now, so the ages are at least these.
		l.peerOrders, l.peerOrdersAt = ev.Placement.LastOrders, s.now
	}
	if !l.silent {
		s.note("replicas", "the planner does not answer for its lease", Field{"holder", string(l.row.Holder)},
			Field{"no_answer", noAnswer})
	}
	l.silent = true
	if news && gaveUp != 0 && gaveUp == l.row.Epoch {
		s.readLease()
		return
	}
	s.readLeaseLater(leaseRetry, leaseReads)
}
