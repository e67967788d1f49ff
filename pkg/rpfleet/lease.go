package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// leaseDuration is how long the lease lasts from the start of the call that
	// acquired or renewed it.
	leaseDuration = 1400 * time.Millisecond
	// leaseRenewalInterval is the time between two renewals. Two may fail
	// before the lease ends.
	leaseRenewalInterval = 400 * time.Millisecond
	// clockDriftMargin is added to the end of another instance's lease.
	clockDriftMargin = 50 * time.Millisecond
	// unchangedRowExpiry is how long a row without an end time must stay
	// unchanged before another instance takes the lease.
	unchangedRowExpiry = 1900 * time.Millisecond
	// maxFailedRenewals is the number of failed renewals in a row after which a
	// holder drops its lease if other instances reach the store.
	maxFailedRenewals = 2
	// outageMargin is the minimum time by which another instance's call to the
	// store must be later than the first failed renewal. It covers the time
	// that calls are on their way.
	outageMargin = 100 * time.Millisecond
	// holderReservationTime is how long other instances leave a lease that has
	// ended to its last holder while that holder still answers. The last holder
	// can go on at once; any other has to wait for the gap between orders.
	holderReservationTime = time.Second
	// maxOrderDelay is the maximum time between the decision on an order and
	// its arrival at the engine: the time of a connection.
	maxOrderDelay = 400 * time.Millisecond
	// storeProbeInstances is the average number of instances that are asked to
	// try the store while renewals fail.
	storeProbeInstances = 4.0
	// maxAcquisitionsPerSecond bounds the attempts to take a lease that has
	// ended. The instances of a large deployment spread theirs over time.
	// startAcquisitionSpread applies while their number is not known: the instances
	// of a deployment start within 0.3 s of each other.
	maxAcquisitionsPerSecond = 100.0
	startAcquisitionSpread   = 300 * time.Millisecond
	// largePlannerCPUShare is the number of cores from which an instance can plan
	// for several hundred instances. On a fifth of a core, half of the orders to
	// 83 endpoints for 195 instances are not answered in time. Instances with
	// less wait for up to cpuDelayShare of the spread, so that those with more
	// take the lease first.
	largePlannerCPUShare = 0.8
	cpuDelayShare        = 0.7
	// defaultCPUShare is assumed if the settings give none.
	defaultCPUShare = 0.4
	// leaseReadInterval is the time between two reads of the row while its
	// holder does not answer.
	leaseReadInterval = 400 * time.Millisecond
	// maxLeaseReadsPerSecond bounds the reads of all instances together, and
	// maxFailedLeaseReadsPerSecond those while the store fails.
	maxLeaseReadsPerSecond       = 60.0
	maxFailedLeaseReadsPerSecond = 25.0
	// leaseRetryDelay is the delay after a call to the store that failed.
	leaseRetryDelay = 200 * time.Millisecond
	// holderGapMargin is added to Policy.HolderGap for orders that are on their
	// way.
	holderGapMargin = 150 * time.Millisecond
)

// leaseState is this instance's view of the planner's lease. The holder of the
// lease is the planner.
type leaseState struct {
	row LeaseRow
	// rowSeenAt is when the row was first read with its present revision. It is
	// zero after an answer of the holder.
	rowSeenAt time.Time
	// held says that this instance holds the lease until validUntil.
	held       bool
	validUntil time.Time
	// ordersFrom is when this instance may send its first orders: HolderGap
	// after the last possible order of the previous holder.
	ordersFrom time.Time
	// engineOrdersFrom replaces ordersFrom if the previous holder listed the
	// engines that may have got an order lately. Engines that it does not
	// contain may get an order at once, or at the time under otherEngines. It is
	// nil without such a list.
	engineOrdersFrom map[rpcore.EndpointID]time.Time
	// lastOrderAt is the latest time at which this instance's last order to an
	// engine may have been sent. It is not part of the engine's entry, because
	// the entry may be removed and return.
	lastOrderAt map[rpcore.EndpointID]time.Time
	// earlierProcessUntil is the latest time at which an earlier process of this
	// instance may have sent an order.
	earlierProcessUntil time.Time
	// peerRecentOrders are the recent orders in the answer that contained
	// peerReleasedEpoch. Their ages are as of peerRecentOrdersAt.
	peerRecentOrders   []RecentOrder
	peerRecentOrdersAt time.Time
	reading            bool
	// answered says that a read of the row has ended, even if it failed.
	answered bool
	writing  bool
	// writeBeganAt is when the write in flight was emitted.
	writeBeganAt time.Time
	// readScheduled says that an alarm will read the row.
	readScheduled bool
	// holderUnavailable says that the holder did not answer the last demand, or
	// answered that it does not hold the lease.
	holderUnavailable bool
	// storeClock is the store's clock in its last answer, and storeClockAt when
	// that call began. The clock showed at most storeClock at that time.
	storeClock   StoreTime
	storeClockAt time.Time
	// failedRenewals counts the failed renewals in a row. The first of them
	// began at renewalsFailingSince.
	failedRenewals       int
	renewalsFailingSince time.Time
	// holderAnsweredAt is when the holder last answered a demand, and endSeenAt
	// when its lease was first seen to have ended.
	holderAnsweredAt time.Time
	endSeenAt        time.Time
	// acquireAt is when this instance tries to take the lease that ended with
	// the row revision acquireRevision.
	acquireAt       time.Time
	acquireRevision Revision
	// releasedEpoch is the epoch of the last lease that this instance stopped
	// using. peerReleasedEpoch is the same for the holder, from its last answer
	// to a demand.
	releasedEpoch     uint64
	peerReleasedEpoch uint64
}

// recordStoreClock stores the store's clock from the answer to a call.
func (s *State) recordStoreClock(now StoreTime, askedAt time.Time) {
	if now > 0 {
		s.lease.storeClock, s.lease.storeClockAt = now, askedAt
	}
}

// latestStoreTime returns the latest time that the store's clock can show at a
// local time, or 0 if it is not known.
func (s *State) latestStoreTime(at time.Time) StoreTime {
	if s.lease.storeClock == 0 {
		return 0
	}
	return s.lease.storeClock + StoreTime(at.Sub(s.lease.storeClockAt))
}

func (s *State) initLease() {
	s.lease.lastOrderAt = map[rpcore.EndpointID]time.Time{}
	s.readLease()
}

// isPlanner reports whether this instance is the planner now.
func (s *State) isPlanner() bool { return s.lease.held && s.now.Before(s.lease.validUntil) }

// IsPlanner reports whether this instance was the planner at the last event.
func (s *State) IsPlanner() bool { return s.isPlanner() }

// HoldsLease reports whether this instance held the lease with the given epoch
// at the last event.
func (s *State) HoldsLease(epoch uint64) bool { return s.lease.held && s.lease.row.Epoch == epoch }

func (s *State) readLease() {
	l := &s.lease
	if l.reading || l.writing || s.draining || s.isPlanner() {
		return
	}
	l.reading = true
	s.emit(ReadLease{})
}

// scheduleLeaseRead reads the row after d plus a random time. The random time
// keeps instances from reading at the same time, and all of them within calls
// per second.
func (s *State) scheduleLeaseRead(d time.Duration, calls float64) {
	if s.lease.readScheduled {
		return
	}
	s.lease.readScheduled = true
	spread := max(d, 2*(s.scaleInterval(0, calls)-d))
	s.runAfter(d+time.Duration(s.rng.Int64N(int64(spread))), func(s *State) {
		s.lease.readScheduled = false
		s.readLease()
	})
}

func (s *State) handleLeaseRead(ev LeaseRead) {
	s.lease.reading = false
	s.lease.answered = true
	s.updateReadiness()
	if ev.Failed {
		s.scheduleLeaseRead(leaseReadInterval, maxFailedLeaseReadsPerSecond)
		s.acceptStoredQuarantine()
		return
	}
	s.demand.leaseReadAt = s.now
	s.recordStoreClock(ev.StoreNow, ev.AskedAt)
	s.handleLeaseRow(ev.Row, ev.StoreNow)
	s.acceptStoredQuarantine()
}

func (s *State) renewLease() {
	l := &s.lease
	if !l.held || l.writing {
		return
	}
	if !s.isPlanner() {
		s.dropLease("the lease was not renewed in time")
		return
	}
	l.writing = true
	l.writeBeganAt = s.now
	s.postQuarantine()
	row := l.row
	row.Renewals++
	row.Era = s.era.number
	row.ValidUntil = s.latestStoreTime(s.now) + StoreTime(leaseDuration)
	row.Instances = s.instanceCountForLease()
	s.emit(WriteLease{Expected: l.row.Revision, Row: row})
}

func (s *State) handleLeaseWritten(ev LeaseWritten) {
	l := &s.lease
	l.writing = false
	s.recordStoreClock(ev.StoreNow, ev.AskedAt)
	switch ev.Outcome {
	case rpcore.WriteApplied:
		s.handleLeaseWriteApplied(ev)
	case rpcore.WriteConflict:
		s.handleLeaseWriteConflict(ev)
	default:
		s.handleLeaseWriteUnknown()
	}
}

func (s *State) handleLeaseWriteApplied(ev LeaseWritten) {
	l := &s.lease
	before := l.row
	l.row = ev.Row
	l.failedRenewals = 0
	if ev.Row.Holder != s.self.Instance || ev.Row.Epoch == l.releasedEpoch {
		// The lease was given up, perhaps while its renewal was in flight.
		l.held = false
		return
	}
	l.validUntil = l.writeBeganAt.Add(leaseDuration)
	if !l.held {
		l.held = true
		l.holderUnavailable = false
		s.note("replicas", "this instance is now the planner", Field{"epoch", ev.Row.Epoch}, Field{"holder_before", string(before.Holder)},
			Field{"orders_in", max(0, l.ordersFrom.Sub(s.now))})
		s.adoptQuotas()
		s.adoptSpeeds()
		s.beginPlanning()
	}
	if s.draining {
		s.releaseLease()
		return
	}
	s.runAt(l.writeBeganAt.Add(leaseRenewalInterval), (*State).renewLease)
}

func (s *State) handleLeaseWriteConflict(ev LeaseWritten) {
	l := &s.lease
	mine := ev.Row.Holder == s.self.Instance && ev.Row.Epoch == l.row.Epoch
	if l.held && mine {
		// The answer to an earlier renewal was lost.
		l.row = ev.Row
		s.runAfter(leaseRetryDelay, (*State).renewLease)
		return
	}
	if s.isPlanner() && s.predatesEra(ev.Row) {
		// The renewals since are lost. Nobody else takes the lease before its end.
		s.note("replicas", "this instance writes its lost lease again", Field{"epoch", l.row.Epoch}, Field{"lost_to", string(ev.Row.Holder)})
		l.row.Revision = ev.Row.Revision
		s.renewLease()
		return
	}
	if l.held {
		s.dropLease("another instance acquired the lease")
	}
	s.handleLeaseRow(ev.Row, ev.StoreNow)
}

// handleLeaseWriteUnknown handles a write whose outcome is not known.
func (s *State) handleLeaseWriteUnknown() {
	if s.lease.held {
		if s.lease.failedRenewals++; s.lease.failedRenewals == 1 {
			s.lease.renewalsFailingSince = s.lease.writeBeganAt
		}
		s.dropLeaseIfCutOff()
		s.runAfter(leaseRetryDelay, (*State).renewLease)
		return
	}
	s.scheduleLeaseRead(leaseReadInterval, maxFailedLeaseReadsPerSecond)
}

// dropLeaseIfCutOff ends the lease of a holder that can't renew it while
// another instance reaches the store, because that instance can take over. In
// an outage for all instances the holder keeps the lease: it can go on without
// the gap between holders when the store is back.
func (s *State) dropLeaseIfCutOff() {
	if !s.isPlanner() || s.lease.failedRenewals < maxFailedRenewals {
		return
	}
	for name, d := range s.plan.demands {
		if name != s.self.Instance && d.at.Add(-d.StoreAge).After(s.lease.renewalsFailingSince.Add(outageMargin)) {
			s.dropLease("renewals fail while other instances reach the store")
			return
		}
	}
}

// dropLease stops planning without a write to the store.
func (s *State) dropLease(reason string) {
	s.lease.held = false
	s.lease.releasedEpoch = s.lease.row.Epoch
	s.lease.failedRenewals = 0
	s.lease.rowSeenAt = time.Time{}
	s.note("replicas", "this instance is no longer the planner", Field{"epoch", s.lease.row.Epoch}, Field{"reason", reason})
	s.endPlanning()
	s.scheduleLeaseRead(leaseRetryDelay, maxLeaseReadsPerSecond)
}

// releaseLease gives the lease up on a planned stop, so that another instance
// need not wait for its end.
func (s *State) releaseLease() {
	l := &s.lease
	if !l.held || l.writing {
		return
	}
	l.held = false
	l.releasedEpoch = l.row.Epoch
	l.writing = true
	orders, instances := s.recentOrders(), s.instanceCountForLease()
	s.endPlanning()
	s.note("replicas", "this instance releases the planner's lease", Field{"epoch", l.row.Epoch}, Field{"engines_ordered", len(orders)})
	s.emit(WriteLease{Expected: l.row.Revision, Row: LeaseRow{
		Era: s.era.number, Epoch: l.row.Epoch, Renewals: l.row.Renewals + 1, ValidUntil: s.latestStoreTime(s.now), Released: true, RecentOrders: orders,
		Instances: instances,
	}})
}

// recordHolderAnswer is called when the holder answered that it still holds the
// lease.
func (s *State) recordHolderAnswer() {
	if s.lease.holderUnavailable {
		s.note("replicas", "the planner answers again", Field{"holder", string(s.lease.row.Holder)})
	}
	s.lease.holderUnavailable = false
	s.lease.rowSeenAt = time.Time{}
}

// recordHolderUnavailable is called when the holder did not answer, or answered
// that it does not hold the lease.
func (s *State) recordHolderUnavailable(ev *PlacementReceived) {
	l := &s.lease
	noAnswer, releasedEpoch := ev.Failed, ev.Placement.ReleasedEpoch
	changed := releasedEpoch != l.peerReleasedEpoch
	l.peerReleasedEpoch = releasedEpoch
	if !noAnswer {
		l.holderAnsweredAt = s.now
		// The answer was made before now, so the orders are at least as old as
		// their ages as of now.
		l.peerRecentOrders, l.peerRecentOrdersAt = ev.Placement.RecentOrders, s.now
	}
	if !l.holderUnavailable {
		s.note("replicas", "the planner does not answer or no longer holds its lease", Field{"holder", string(l.row.Holder)},
			Field{"no_answer", noAnswer})
	}
	l.holderUnavailable = true
	if changed && releasedEpoch != 0 && releasedEpoch == l.row.Epoch {
		s.readLease()
		return
	}
	s.scheduleLeaseRead(leaseRetryDelay, maxLeaseReadsPerSecond)
}
