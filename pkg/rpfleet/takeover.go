package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// considerRow takes the lease where nobody can hold it any more, or learns who
// holds it.
func (s *State) considerRow(row LeaseRow, storeNow StoreTime) {
	l := &s.lease
	changed := row.Revision != l.row.Revision || l.seenAt.IsZero()
	holderBefore := l.row.Holder
	l.row = row
	if changed {
		l.seenAt = s.now
	}
	left := s.leaseLeft(storeNow)
	switch {
	case s.draining:
		return
	case row.Holder == s.self.Instance:
		s.acquire(storeNow)
	case left <= 0 && l.peerGaveUp != row.Epoch && s.leftToHolder():
		s.readLeaseLater(leaseRetry, leaseReads)
	case row.Holder == "" || l.peerGaveUp == row.Epoch || left <= 0:
		s.stand(row, storeNow)
	default:
		if row.Holder != holderBefore {
			s.note("replicas", "another instance plans", Field{"holder", string(row.Holder)}, Field{"epoch", row.Epoch})
		}
		if changed {
			s.after(time.Duration(s.rng.Float64()*float64(s.scaled(0, needCalls))), (*State).demandFirst)
		}
		if l.silent {
			s.readLeaseLater(min(left, leaseReadInterval), leaseReads)
		}
	}
}

// stand takes a lease that is free, after a random time in a large deployment.
func (s *State) stand(row LeaseRow, storeNow StoreTime) {
	l := &s.lease
	if l.standingFor != row.Revision || l.standAt.IsZero() {
		l.standingFor = row.Revision
		longest := float64(s.demand.instances) / candidates
		l.standAt = s.now.Add(time.Duration(s.rng.Float64() * longest * float64(time.Second)))
		if s.policy.CPUShare < usualCPU && s.demand.instances > 0 {
			l.standAt = l.standAt.Add(smallDelay)
		}
		s.note("replicas", "the planner's lease has ended", Field{"holder", string(row.Holder)}, Field{"epoch", row.Epoch},
			Field{"given_up", l.peerGaveUp == row.Epoch}, Field{"unchanged_for", s.now.Sub(l.seenAt)},
			Field{"stands_in", l.standAt.Sub(s.now)})
	}
	if s.now.Before(l.standAt) {
		s.at(l.standAt, (*State).readLease)
		return
	}
	s.acquire(storeNow)
}

// leftToHolder reports whether a lease that has ended is left to its holder for
// now.
func (s *State) leftToHolder() bool {
	l := &s.lease
	if l.vacantAt.Before(l.seenAt) {
		l.vacantAt = s.now
	}
	return s.now.Sub(l.holderAnsweredAt) < holderPreference && s.now.Sub(l.vacantAt) < holderPreference
}

// demandFirst sends the first demand to a planner.
func (s *State) demandFirst() {
	if !s.demand.asking {
		s.sendDemand()
	}
}

// leaseLeft returns how long the holder of the row may still use its lease.
func (s *State) leaseLeft(storeNow StoreTime) time.Duration {
	l := &s.lease
	if l.row.ValidUntil > 0 && storeNow > 0 {
		return time.Duration(l.row.ValidUntil-storeNow) + leaseMargin
	}
	return leaseExpiry - s.now.Sub(l.seenAt)
}

func (s *State) acquire(storeNow StoreTime) {
	l := &s.lease
	if l.writing {
		return
	}
	l.writing = true
	l.writtenAt = s.now
	l.ordersFrom = s.firstOrder(l.row, storeNow)
	l.engineFrom = s.firstOrders(l.row, storeNow)
	row := LeaseRow{
		Holder: s.self.Instance, Address: s.peerAddress, Epoch: l.row.Epoch + 1, Renewals: 1,
		ValidUntil: s.storeTime(s.now) + StoreTime(leaseHold), OrdersFrom: s.storeTime(s.latestFirstOrder()),
	}
	s.emit(WriteLease{Expected: l.row.Revision, Row: row})
}

// holderApart reports whether an order to an engine is far enough from those of
// the holder before.
func (s *State) holderApart(e *endpoint) bool {
	if s.lease.engineFrom != nil {
		return !s.now.Before(s.lease.engineFrom[e.ID])
	}
	return !s.now.Before(s.lease.ordersFrom)
}

// firstOrders returns when each engine may get its first order, or nil where the
// holder before did not tell.
func (s *State) firstOrders(before LeaseRow, storeNow StoreTime) map[rpcore.EndpointID]time.Time {
	l := &s.lease
	orders, asOf := before.Orders, s.now.Add(time.Duration(before.ValidUntil-storeNow))
	switch {
	case before.Holder != "" && l.peerGaveUp == before.Epoch:
		orders, asOf = l.peerOrders, l.peerOrdersAt
	case before.Holder != "" || !before.Given || storeNow == 0:
		return nil
	}
	from := make(map[rpcore.EndpointID]time.Time, len(orders))
	for _, order := range orders {
		from[order.Endpoint] = asOf.Add(s.policy.HolderGap + holderMargin - order.Age)
	}
	return from
}

// latestFirstOrder returns when the last of the engines may get its first order.
func (s *State) latestFirstOrder() time.Time {
	if s.lease.engineFrom == nil {
		return s.lease.ordersFrom
	}
	latest := s.now
	for _, from := range s.lease.engineFrom {
		latest = maxTime(latest, from)
	}
	return latest
}

// lastOrders returns the engines that may have got an order within the time that
// holders keep apart, from this instance or from the holder before.
func (s *State) lastOrders() []LastOrder {
	gap := s.policy.HolderGap + holderMargin
	var orders []LastOrder
	for _, e := range s.sortedEndpoints() {
		g := &e.engine
		last := maxTime(g.sentAt, s.lease.ordersFrom.Add(-gap))
		if s.lease.engineFrom != nil {
			last = maxTime(g.sentAt, s.lease.engineFrom[e.ID].Add(-gap))
		}
		if g.order != nil {
			last = s.now.Add(orderFlight)
		}
		if age := s.now.Sub(last); age < gap {
			orders = append(orders, LastOrder{Endpoint: e.ID, Age: age})
		}
	}
	return orders
}

// firstOrder returns when no order of the holder before can be near any more.
// An earlier process of this instance is the same holder.
func (s *State) firstOrder(before LeaseRow, storeNow StoreTime) time.Time {
	gap := s.policy.HolderGap + holderMargin
	switch {
	case before.Revision == 0:
		return s.now
	case before.Holder == s.self.Instance:
		return s.now.Add(max(0, time.Duration(before.OrdersFrom-storeNow)))
	case s.lease.peerGaveUp == before.Epoch && before.Holder != "":
		return s.now.Add(gap)
	case before.ValidUntil > 0 && storeNow > 0:
		return s.now.Add(time.Duration(before.ValidUntil-storeNow) + gap)
	case before.Holder == "":
		return s.now.Add(gap)
	}
	return s.lease.seenAt.Add(leaseHold + gap)
}
