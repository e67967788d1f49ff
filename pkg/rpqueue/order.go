package rpqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPriority is the least urgent priority that engines know.
	maxPriority = 9
	// prioritiesPerRank is the distance between the priorities of two of the ranks 0
	// to 2. Late requests get the last of those of their rank. Further ranks share
	// maxPriority.
	prioritiesPerRank = 3
)

// Request is what the order takes into account of a waiting request.
type Request struct {
	// ID breaks ties. It must be unique among the waiting requests.
	ID string
	// Rank is 0 for the most urgent requests.
	Rank int
	// Kind groups requests that must not starve, for instance by route.
	Kind string
	// Account is the client account, or "". Tag is its virtual start time in
	// weighted fair queueing, in tokens; smaller tags go first within a rank.
	Account string
	Tag     float64
	Arrived time.Time
	// Target is when the first event is due, and zero if there is no target.
	// Deadline is when the caller leaves, and zero if it doesn't.
	Target   time.Time
	Deadline time.Time
	// Work is the expected time from the start of the request at an endpoint to
	// its first event.
	Work time.Duration
}

// Urgency says what waiting costs a request.
type Urgency uint8

// The values of Urgency.
const (
	// Relaxed requests meet their target even if they wait a while.
	Relaxed Urgency = iota
	// Pressing requests meet their target only if they start soon.
	Pressing
	// Late requests miss their target even if they start now.
	Late
	// Expiring requests are late and miss their deadline unless they start soon.
	Expiring
)

// Entry is the place of a request in a queue. Sort sets it.
type Entry struct {
	Request
	urgency Urgency
	group   group
}

// group is the first criterion of the order.
type group uint8

const (
	// groupStarved holds requests of kinds and accounts that got too little.
	groupStarved group = iota
	// groupInTime holds the pressing requests and those that rank and target
	// put between them.
	groupInTime
	// groupExpiring holds late requests whose deadline is near.
	groupExpiring
	// groupOther holds all others, late or relaxed.
	groupOther
)

// Order is the order of the waiting requests of one service. The zero value
// orders by rank, tag, target and arrival.
type Order struct {
	// Margin is the slack up to which a request counts as pressing. The shortest
	// target of the service is suitable: a request with no more slack than a new
	// request of the shortest route has can't yield to one without a loss.
	Margin time.Duration

	kinds, accounts shares
}

// Urgency returns the urgency of a request at the time now.
func (o *Order) Urgency(now time.Time, r *Request) Urgency {
	if r.Target.IsZero() {
		return Relaxed
	}
	done := now.Add(r.Work)
	switch slack := r.Target.Sub(done); {
	case slack > o.Margin:
		return Relaxed
	case slack >= 0:
		return Pressing
	}
	if !r.Deadline.IsZero() && r.Deadline.Sub(done) < o.Margin {
		return Expiring
	}
	return Late
}

// Sort sorts waiting requests, the first to start first. The cost is that of
// sorting a nearly sorted slice if little has changed since the last call. Late
// requests don't yield to those of a kind that already gets more than they do.
func Sort[T any](o *Order, now time.Time, waiting []T, entry func(T) *Entry) {
	var last *Entry
	for _, w := range waiting {
		e := entry(w)
		e.urgency = o.Urgency(now, &e.Request)
		if e.urgency == Pressing && !o.favored(now, &e.Request) && (last == nil || last.compareInGroup(e) < 0) {
			last = e
		}
	}
	for _, w := range waiting {
		e := entry(w)
		e.group = o.group(now, e, last)
	}
	slices.SortFunc(waiting, func(a, b T) int { return entry(a).compare(entry(b)) })
}

// group returns the group of an entry. lastPressing is the last pressing entry by
// rank, tag and target. A relaxed request before it must stay before it, since rank
// decides among requests that can meet their targets; late requests come after it.
func (o *Order) group(now time.Time, e, lastPressing *Entry) group {
	switch {
	case o.Starved(now, &e.Request):
		return groupStarved
	case e.urgency == Expiring && !o.favored(now, &e.Request):
		return groupExpiring
	case e.urgency < Late && lastPressing != nil && e.compareInGroup(lastPressing) <= 0:
		return groupInTime
	}
	return groupOther
}

func (e *Entry) compare(other *Entry) int {
	if e.group != other.group {
		return cmp.Compare(e.group, other.group)
	}
	return e.compareInGroup(other)
}

// compareInGroup compares by rank, tag, target, arrival and ID. A missing target
// is the zero time, so that requests without targets go by their arrival.
func (e *Entry) compareInGroup(other *Entry) int {
	if c := cmp.Compare(e.Rank, other.Rank); c != 0 {
		return c
	}
	if c := cmp.Compare(e.Tag, other.Tag); c != 0 {
		return c
	}
	if c := e.Target.Compare(other.Target); c != 0 {
		return c
	}
	if c := e.Arrived.Compare(other.Arrived); c != 0 {
		return c
	}
	return cmp.Compare(e.ID, other.ID)
}

// Priority returns the priority from 0 (first) to 9 that an engine gets with a
// request which is sent now. Ranks keep their order, except that an expiring
// request gets the priority of the rank before its own, and a starved one that of
// pressing requests of rank 0: otherwise they would miss their deadlines. An
// expiring request of rank 0 goes before the late ones of its rank. Relaxed requests
// get the same priority as pressing ones: it can't change while they are queued in the
// engine, and a lower one would keep them behind new requests past their own targets.
func (o *Order) Priority(now time.Time, r *Request) int {
	first := max(0, r.Rank) * prioritiesPerRank
	if o.Starved(now, r) {
		return 0
	}
	switch o.Urgency(now, r) {
	case Late:
		return min(first+2, maxPriority)
	case Expiring:
		if o.favored(now, r) {
			return min(first+2, maxPriority)
		}
		return min(max(first+2-prioritiesPerRank, 1), maxPriority-1)
	}
	return min(first, maxPriority)
}
