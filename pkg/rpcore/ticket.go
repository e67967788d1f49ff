package rpcore

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// ticketView holds the load tickets that this instance asked for or granted.
// The scheduler is the home of ticketHome; in a partition each side has one,
// which costs speed only.
type ticketView struct {
	// asks are the tickets of this instance's own loads.
	asks map[Nonce]*ticketAsk
	// waiting and held are the scheduler's requests and leases.
	waiting []*ticketWaiter
	held    map[Nonce]*ticketLease
	// starts is the number of loads from the weight store that may start now;
	// it grows with WeightLoadsPerSecond up to WeightLoads.
	starts   float64
	startsAt time.Time
	pumpAt   rpreducer.AlarmID
}

// ticketWaiter is a request without a grant.
type ticketWaiter struct {
	TicketRequest
	from     InstanceID
	askedAt  time.Time
	queuedAt time.Time
}

// ticketLease is a grant.
type ticketLease struct {
	kind    TicketKind
	expires time.Time
}

const (
	ticketHome = "weight_store"
	// ticketLife is the lease of a grant, renewed while the load lasts.
	ticketLife = 30 * time.Second
	// ticketWaiterLife is the time after which a request that is not repeated
	// is dropped.
	ticketWaiterLife = 3 * time.Second
)

// ticketRequestReceived queues a request, or renews the lease of its grant,
// and answers it.
func (s *State) ticketRequestReceived(from InstanceID, req TicketRequest) {
	if lease := s.tickets.held[req.Nonce]; lease != nil {
		lease.expires = s.now.Add(ticketLife)
		s.answerTicket(from, TicketGrant{Nonce: req.Nonce, Lease: ticketLife})
		return
	}
	w := s.ticketWaiter(req.Nonce)
	if w == nil {
		w = &ticketWaiter{queuedAt: s.now}
		s.tickets.waiting = append(s.tickets.waiting, w)
	}
	w.TicketRequest, w.from, w.askedAt = req, from, s.now
	s.pumpTickets()
	if w = s.ticketWaiter(req.Nonce); w != nil {
		s.answerTicket(from, TicketGrant{Nonce: req.Nonce, Wait: s.predictTicket(w)})
	}
}

func (s *State) ticketWaiter(nonce Nonce) *ticketWaiter {
	for _, w := range s.tickets.waiting {
		if w.Nonce == nonce {
			return w
		}
	}
	return nil
}

func (s *State) ticketReleaseReceived(_ InstanceID, release TicketRelease) {
	delete(s.tickets.held, release.Nonce)
	s.tickets.waiting = slices.DeleteFunc(s.tickets.waiting, func(w *ticketWaiter) bool {
		return w.Nonce == release.Nonce
	})
	s.pumpTickets()
}

// pumpTickets grants what the limits allow: urgent first, then most waiting.
func (s *State) pumpTickets() {
	s.expireTickets()
	s.fillStarts()
	slices.SortStableFunc(s.tickets.waiting, func(a, b *ticketWaiter) int {
		return cmp.Or(cmp.Compare(rankOrder(a.Rank), rankOrder(b.Rank)), cmp.Compare(b.Waiting, a.Waiting),
			a.queuedAt.Compare(b.queuedAt), cmp.Compare(a.Nonce, b.Nonce))
	})
	var rest []*ticketWaiter
	var granted []*ticketWaiter
	for _, w := range s.tickets.waiting {
		if s.grantTicket(w) {
			granted = append(granted, w)
		} else {
			rest = append(rest, w)
		}
	}
	s.tickets.waiting = rest
	s.schedulePump()
	for _, w := range granted {
		s.answerTicket(w.from, TicketGrant{Nonce: w.Nonce, Lease: ticketLife})
	}
}

func (s *State) expireTickets() {
	for nonce, lease := range s.tickets.held {
		if !lease.expires.After(s.now) {
			delete(s.tickets.held, nonce)
		}
	}
	s.tickets.waiting = slices.DeleteFunc(s.tickets.waiting, func(w *ticketWaiter) bool {
		return s.now.Sub(w.askedAt) > ticketWaiterLife
	})
}

func (s *State) fillStarts() {
	burst := float64(s.limits.WeightLoads)
	if s.tickets.startsAt.IsZero() {
		s.tickets.starts = burst
	} else {
		grown := s.now.Sub(s.tickets.startsAt).Seconds() * s.limits.WeightLoadsPerSecond
		s.tickets.starts = min(s.tickets.starts+grown, burst)
	}
	s.tickets.startsAt = s.now
}

// grantTicket takes a place for a request where there is one.
func (s *State) grantTicket(w *ticketWaiter) bool {
	limit := s.limits.WeightLoads
	if w.Kind == TicketAdapter {
		limit = s.limits.AdapterLoads
	}
	if s.ticketsHeld(w.Kind) >= limit || w.Kind != TicketAdapter && s.tickets.starts < 1 {
		return false
	}
	if w.Kind != TicketAdapter {
		s.tickets.starts--
	}
	s.tickets.held[w.Nonce] = &ticketLease{kind: w.Kind, expires: s.now.Add(ticketLife)}
	return true
}

func (s *State) ticketsHeld(kind TicketKind) int {
	n := 0
	for _, lease := range s.tickets.held {
		if lease.kind == kind {
			n++
		}
	}
	return n
}

// schedulePump sets the alarm for the next time at which a grant may become
// possible without a release.
func (s *State) schedulePump() {
	s.alarms.Stop(s.tickets.pumpAt)
	if len(s.tickets.waiting) == 0 {
		return
	}
	next := s.now.Add(ticketWaiterLife)
	if missing := 1 - s.tickets.starts; missing > 0 {
		next = s.now.Add(time.Duration(missing/s.limits.WeightLoadsPerSecond*float64(time.Second)) + time.Millisecond)
	}
	for _, lease := range s.tickets.held {
		if lease.expires.Before(next) {
			next = lease.expires
		}
	}
	s.tickets.pumpAt = s.runAt(next, (*State).pumpTickets)
}

// predictTicket returns the wait for a grant: each place in the queue waits
// for a share of the loads in flight, and for its start.
func (s *State) predictTicket(w *ticketWaiter) time.Duration {
	place := slices.Index(s.tickets.waiting, w) + 1
	limit, load := s.limits.WeightLoads, s.limits.ColdStartEstimate
	if w.Kind == TicketAdapter {
		limit, load = s.limits.AdapterLoads, adapterLoadEstimate
	}
	return load * time.Duration(place) / time.Duration(limit)
}

func (s *State) answerTicket(to InstanceID, grant TicketGrant) {
	if to == s.self.Instance {
		s.ticketGrantReceived(to, grant)
		return
	}
	s.sendPeer(to, PeerMessage{TicketGrant: &grant})
}
