package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// otherEngines stands in lists of recent orders for all engines that the list does
// not contain. The sender may not know them, because their entries were removed and
// may return. Earlier versions of the program ignore it.
const otherEngines = rpcore.EndpointID("")

// holderGap returns the time between the last order that one holder may have sent to
// an engine and the first order of the next holder.
func (s *State) holderGap() time.Duration { return s.policy.HolderGap + holderGapMargin }

// recordOrderTime records that an order to an engine may have been sent as late as at.
func (s *State) recordOrderTime(id rpcore.EndpointID, at time.Time) {
	last := s.lease.lastOrderAt
	for other, otherAt := range last {
		if s.now.Sub(otherAt) >= s.holderGap() {
			delete(last, other)
		}
	}
	last[id] = maxTime(last[id], at)
}

// recordEarlierProcess records until when an earlier process of this instance, which
// held the lease of the given row, may have sent orders. It counts as the same holder,
// but the next holder has to wait for its orders too.
func (s *State) recordEarlierProcess(before LeaseRow, storeNow StoreTime) {
	l := &s.lease
	if before.Holder != s.self.Instance || before.Epoch == l.releasedEpoch {
		return
	}
	until := s.now
	if before.ValidUntil > 0 && storeNow > 0 {
		until = until.Add(min(0, time.Duration(before.ValidUntil-storeNow)))
	}
	l.earlierProcessUntil = maxTime(l.earlierProcessUntil, until)
}

// holderGapElapsed reports whether HolderGap has passed since the last order
// that the previous holder may have sent to an engine.
func (s *State) holderGapElapsed(e *endpoint) bool {
	from := s.lease.ordersFrom
	if s.lease.engineOrdersFrom != nil {
		from = maxTime(s.lease.engineOrdersFrom[e.ID], s.lease.engineOrdersFrom[otherEngines])
	}
	return !s.now.Before(from)
}

// recentOrders returns the engines that may have got an order within HolderGap,
// from this instance or from the previous holder.
func (s *State) recentOrders() []RecentOrder {
	l := &s.lease
	last := map[rpcore.EndpointID]time.Time{otherEngines: l.earlierProcessUntil}
	for _, e := range s.sortedEndpoints() {
		last[e.ID] = l.earlierProcessUntil
	}
	if l.engineOrdersFrom == nil {
		for id, at := range last {
			last[id] = maxTime(at, l.ordersFrom.Add(-s.holderGap()))
		}
	}
	for id, from := range l.engineOrdersFrom {
		last[id] = maxTime(last[id], from.Add(-s.holderGap()))
	}
	for id, at := range l.lastOrderAt {
		last[id] = maxTime(last[id], at)
	}
	for _, o := range s.plan.orders {
		last[o.engine.ID] = s.now.Add(maxOrderDelay)
	}
	var orders []RecentOrder
	for _, id := range sortedKeys(last) {
		// The orders that stand for all engines are also those of the listed ones,
		// for earlier versions of the program.
		if age := s.now.Sub(maxTime(last[id], last[otherEngines])); age < s.holderGap() {
			orders = append(orders, RecentOrder{Endpoint: id, Age: age})
		}
	}
	return orders
}
