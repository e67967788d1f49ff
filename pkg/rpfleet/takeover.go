package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// handleLeaseRow takes the lease if nobody can hold it any more, and otherwise
// records who holds it.
func (s *State) handleLeaseRow(row LeaseRow, storeNow StoreTime) {
	l := &s.lease
	s.recordLeaseInstances(row.Instances)
	changed := row.Revision != l.row.Revision || l.rowSeenAt.IsZero()
	holderBefore := l.row.Holder
	l.row = row
	if changed {
		l.rowSeenAt = s.now
	}
	left := s.leaseRemaining(storeNow)
	predates := s.predatesEra(row)
	switch {
	case s.draining:
		return
	case predates && left > 0 && (row.Holder == "" || row.Holder == s.self.Instance):
		s.scheduleLeaseRead(min(left, leaseReadInterval), maxLeaseReadsPerSecond)
	case row.Holder == s.self.Instance:
		s.acquireLease(storeNow)
	case left <= 0 && l.peerReleasedEpoch != row.Epoch && s.leaseReservedForHolder():
		s.scheduleLeaseRead(leaseRetryDelay, maxLeaseReadsPerSecond)
	case row.Holder == "" || l.peerReleasedEpoch == row.Epoch && !predates || left <= 0:
		s.acquireLeaseAfterDelay(row, storeNow)
	default:
		if row.Holder != holderBefore {
			s.note("replicas", "another instance is the planner", Field{"holder", string(row.Holder)}, Field{"epoch", row.Epoch})
		}
		if changed {
			s.runAfter(time.Duration(s.rng.Float64()*float64(s.scaleInterval(0, maxWaitingDemandsPerSecond))), (*State).sendFirstDemand)
		}
		if l.holderUnavailable {
			s.scheduleLeaseRead(min(left, leaseReadInterval), maxLeaseReadsPerSecond)
		}
	}
}

// acquireLeaseAfterDelay takes a lease that is free, after a random time that grows
// with the number of instances.
func (s *State) acquireLeaseAfterDelay(row LeaseRow, storeNow StoreTime) {
	l := &s.lease
	if l.acquireRevision != row.Revision || l.acquireAt.IsZero() {
		l.acquireRevision = row.Revision
		l.acquireAt = s.now.Add(s.acquisitionDelay())
		s.note("replicas", "the planner's lease has ended", Field{"holder", string(row.Holder)}, Field{"epoch", row.Epoch},
			Field{"given_up", l.peerReleasedEpoch == row.Epoch}, Field{"unchanged_for", s.now.Sub(l.rowSeenAt)},
			Field{"stands_in", l.acquireAt.Sub(s.now)})
	}
	if s.now.Before(l.acquireAt) {
		s.runAt(l.acquireAt, (*State).readLease)
		return
	}
	s.acquireLease(storeNow)
}

// acquisitionDelay returns a random time that is longer for an instance with less
// CPU. A planner that is too small for the deployment delays the orders for all.
func (s *State) acquisitionDelay() time.Duration {
	lacking := 1 - min(1, s.policy.CPUShare/largePlannerCPUShare)
	if s.demand.instanceCount == 0 {
		return time.Duration(lacking * float64(startAcquisitionSpread))
	}
	spread := s.scaleInterval(0, maxAcquisitionsPerSecond)
	return time.Duration((cpuDelayShare*lacking + (1-cpuDelayShare)*s.rng.Float64()) * float64(spread))
}

// leaseReservedForHolder reports whether a lease that has ended is still left to its
// holder.
func (s *State) leaseReservedForHolder() bool {
	l := &s.lease
	if l.endSeenAt.Before(l.rowSeenAt) {
		l.endSeenAt = s.now
	}
	return s.now.Sub(l.holderAnsweredAt) < holderReservationTime && s.now.Sub(l.endSeenAt) < holderReservationTime
}

// sendFirstDemand sends a demand to a new planner.
func (s *State) sendFirstDemand() {
	if !s.demand.sending {
		s.sendDemand()
	}
}

// leaseRemaining returns how long the holder of the row may still use its
// lease.
func (s *State) leaseRemaining(storeNow StoreTime) time.Duration {
	l := &s.lease
	left := unchangedRowExpiry - s.now.Sub(l.rowSeenAt)
	if l.row.ValidUntil > 0 && storeNow > 0 {
		left = time.Duration(l.row.ValidUntil-storeNow) + clockDriftMargin
	}
	if s.predatesEra(l.row) {
		left = max(left, s.lostHolderUntil().Sub(s.now)+clockDriftMargin)
	}
	return left
}

func (s *State) acquireLease(storeNow StoreTime) {
	l := &s.lease
	if l.writing {
		return
	}
	l.writing = true
	l.writeBeganAt = s.now
	l.ordersFrom = s.firstOrderTime(l.row, storeNow)
	l.engineOrdersFrom = s.firstOrderTimes(l.row, storeNow)
	s.recordEarlierProcess(l.row, storeNow)
	row := LeaseRow{
		Era: s.era.number, Holder: s.self.Instance, Address: s.peerAddress, Epoch: s.nextEpoch(l.row), Renewals: 1,
		ValidUntil: s.latestStoreTime(s.now) + StoreTime(leaseDuration), OrdersFrom: s.latestStoreTime(s.latestFirstOrderTime()),
		Instances: s.instanceCountForLease(),
	}
	s.emit(WriteLease{Expected: l.row.Revision, Row: row})
}

// firstOrderTimes returns when each engine may get its first order, or nil if
// the previous holder did not list its recent orders. Engines that are not in
// the map may get an order at the time under otherEngines, or at once without it.
func (s *State) firstOrderTimes(before LeaseRow, storeNow StoreTime) map[rpcore.EndpointID]time.Time {
	l := &s.lease
	orders, asOf := before.RecentOrders, s.now.Add(time.Duration(before.ValidUntil-storeNow))
	switch {
	case s.predatesEra(before):
		return nil
	case before.Holder != "" && l.peerReleasedEpoch == before.Epoch:
		orders, asOf = l.peerRecentOrders, l.peerRecentOrdersAt
	case before.Holder != "" || !before.Released || storeNow == 0:
		return nil
	}
	from := make(map[rpcore.EndpointID]time.Time, len(orders))
	for _, order := range orders {
		from[order.Endpoint] = asOf.Add(s.holderGap() - order.Age)
	}
	return from
}

// latestFirstOrderTime returns the time from which all engines may get orders.
func (s *State) latestFirstOrderTime() time.Time {
	if s.lease.engineOrdersFrom == nil {
		return s.lease.ordersFrom
	}
	latest := s.now
	for _, from := range s.lease.engineOrdersFrom {
		latest = maxTime(latest, from)
	}
	return latest
}

// firstOrderTime returns the time from which engines may get orders, given the
// previous row of the lease. An earlier process of this instance counts as the same holder.
func (s *State) firstOrderTime(before LeaseRow, storeNow StoreTime) time.Time {
	gap := s.holderGap()
	switch {
	case s.predatesEra(before):
		return s.now.Add(gap)
	case before.Revision == 0:
		return s.now
	case before.Holder == s.self.Instance:
		return s.now.Add(max(0, time.Duration(before.OrdersFrom-storeNow)))
	case s.lease.peerReleasedEpoch == before.Epoch && before.Holder != "":
		return s.now.Add(gap)
	case before.ValidUntil > 0 && storeNow > 0:
		return s.now.Add(time.Duration(before.ValidUntil-storeNow) + gap)
	case before.Holder == "":
		return s.now.Add(gap)
	}
	return s.lease.rowSeenAt.Add(leaseDuration + gap)
}
