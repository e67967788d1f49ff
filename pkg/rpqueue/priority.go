package rpqueue

import "time"

const (
	// maxPriority is the least urgent priority that engines know.
	maxPriority = 9
	// prioritiesPerRank is how many priorities each of the ranks 0 to 2 has:
	// pressing, relaxed and late. Further ranks share maxPriority.
	prioritiesPerRank = 3
)

// Priority returns the priority from 0 (first) to 9 that an engine gets with a
// request which is sent now. Ranks keep their order, except that an expiring
// request gets the priority of the rank before its own: otherwise it would miss
// its deadline. An expiring request of rank 0 goes before the late ones of its
// rank.
func (o *Order) Priority(now time.Time, r *Request) int {
	first := max(0, r.Rank) * prioritiesPerRank
	switch o.Urgency(now, r) {
	case Pressing:
		return min(first, maxPriority)
	case Late:
		return min(first+2, maxPriority)
	case Expiring:
		return min(max(first+2-prioritiesPerRank, 1), maxPriority-1)
	}
	return min(first+1, maxPriority)
}
