package rpcore

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

// ticketView holds the load tickets that this instance requested or granted.
// The home of ticketHomeKey grants them as the scheduler. In a partition each
// side has its own scheduler, which only affects the speed of loads.
type ticketView struct {
	// ownTickets are the tickets of this instance's own loads.
	ownTickets map[Nonce]*ownTicket
	// queue and leases are the waiting requests and the granted tickets of the
	// scheduler.
	queue  []*queuedTicket
	leases map[Nonce]*ticketLease
	// startTokens is the number of loads from the weight store that may start
	// now. It grows by WeightLoadsPerSecond, up to WeightLoads, and was last
	// updated at startTokensAt.
	startTokens   float64
	startTokensAt time.Time
	grantAlarm    rpreducer.AlarmID
}

// queuedTicket is a request that was not granted yet.
type queuedTicket struct {
	TicketRequest
	from        InstanceID
	requestedAt time.Time
	queuedAt    time.Time
}

// ticketLease is a granted ticket.
type ticketLease struct {
	kind    TicketKind
	expires time.Time
}

const (
	ticketHomeKey = "weight_store"
	// ticketLeaseTime is the duration of a lease, which is renewed while the
	// load lasts.
	ticketLeaseTime = 30 * time.Second
	// queuedTicketLifetime is the time after which a request that is not
	// repeated is dropped.
	queuedTicketLifetime = 3 * time.Second
)

// ticketRequestReceived queues a request, or renews its lease if it was
// granted, and answers it.
func (s *State) ticketRequestReceived(from InstanceID, req TicketRequest) {
	if lease := s.tickets.leases[req.Nonce]; lease != nil {
		lease.expires = s.now.Add(ticketLeaseTime)
		s.sendTicketGrant(from, TicketGrant{Nonce: req.Nonce, Lease: ticketLeaseTime})
		return
	}
	queued := s.findQueuedTicket(req.Nonce)
	if queued == nil {
		queued = &queuedTicket{queuedAt: s.now}
		s.tickets.queue = append(s.tickets.queue, queued)
	}
	queued.TicketRequest, queued.from, queued.requestedAt = req, from, s.now
	s.grantTickets()
	if queued = s.findQueuedTicket(req.Nonce); queued != nil {
		s.sendTicketGrant(from, TicketGrant{Nonce: req.Nonce, Wait: s.predictTicketWait(queued)})
	}
}

func (s *State) findQueuedTicket(nonce Nonce) *queuedTicket {
	for _, queued := range s.tickets.queue {
		if queued.Nonce == nonce {
			return queued
		}
	}
	return nil
}

func (s *State) ticketReleaseReceived(_ InstanceID, release TicketRelease) {
	delete(s.tickets.leases, release.Nonce)
	s.tickets.queue = slices.DeleteFunc(s.tickets.queue, func(queued *queuedTicket) bool {
		return queued.Nonce == release.Nonce
	})
	s.grantTickets()
}

// grantTickets grants as many queued requests as the limits allow: the most
// urgent rank first, then the most waiting requests.
func (s *State) grantTickets() {
	s.expireTickets()
	s.refillStartTokens()
	slices.SortStableFunc(s.tickets.queue, func(a, b *queuedTicket) int {
		return cmp.Or(cmp.Compare(urgencyOrder(a.Rank), urgencyOrder(b.Rank)), cmp.Compare(b.Waiting, a.Waiting),
			a.queuedAt.Compare(b.queuedAt), cmp.Compare(a.Nonce, b.Nonce))
	})
	var rest []*queuedTicket
	var granted []*queuedTicket
	for _, queued := range s.tickets.queue {
		if s.tryGrantTicket(queued) {
			granted = append(granted, queued)
		} else {
			rest = append(rest, queued)
		}
	}
	s.tickets.queue = rest
	s.scheduleNextGrant()
	for _, queued := range granted {
		s.sendTicketGrant(queued.from, TicketGrant{Nonce: queued.Nonce, Lease: ticketLeaseTime})
	}
}

func (s *State) expireTickets() {
	for nonce, lease := range s.tickets.leases {
		if !lease.expires.After(s.now) {
			delete(s.tickets.leases, nonce)
		}
	}
	s.tickets.queue = slices.DeleteFunc(s.tickets.queue, func(queued *queuedTicket) bool {
		return s.now.Sub(queued.requestedAt) > queuedTicketLifetime
	})
}

func (s *State) refillStartTokens() {
	burst := float64(s.limits.WeightLoads)
	if s.tickets.startTokensAt.IsZero() {
		s.tickets.startTokens = burst
	} else {
		grown := s.now.Sub(s.tickets.startTokensAt).Seconds() * s.limits.WeightLoadsPerSecond
		s.tickets.startTokens = min(s.tickets.startTokens+grown, burst)
	}
	s.tickets.startTokensAt = s.now
}

// tryGrantTicket grants a request if the limits allow it.
func (s *State) tryGrantTicket(queued *queuedTicket) bool {
	limit := s.limits.WeightLoads
	if queued.Kind == TicketAdapter {
		limit = s.limits.AdapterLoads
	}
	if s.countLeases(queued.Kind) >= limit || queued.Kind != TicketAdapter && s.tickets.startTokens < 1 {
		return false
	}
	if queued.Kind != TicketAdapter {
		s.tickets.startTokens--
	}
	s.tickets.leases[queued.Nonce] = &ticketLease{kind: queued.Kind, expires: s.now.Add(ticketLeaseTime)}
	return true
}

func (s *State) countLeases(kind TicketKind) int {
	n := 0
	for _, lease := range s.tickets.leases {
		if lease.kind == kind {
			n++
		}
	}
	return n
}

// scheduleNextGrant sets the alarm for the next time at which a grant may
// become possible without a release.
func (s *State) scheduleNextGrant() {
	s.alarms.Stop(s.tickets.grantAlarm)
	if len(s.tickets.queue) == 0 {
		return
	}
	next := s.now.Add(queuedTicketLifetime)
	if missing := 1 - s.tickets.startTokens; missing > 0 {
		next = s.now.Add(time.Duration(missing/s.limits.WeightLoadsPerSecond*float64(time.Second)) + time.Millisecond)
	}
	for _, lease := range s.tickets.leases {
		if lease.expires.Before(next) {
			next = lease.expires
		}
	}
	s.tickets.grantAlarm = s.runAt(next, (*State).grantTickets)
}

// predictTicketWait estimates the wait for a grant from the position in the
// queue, the load time and the number of concurrent loads.
func (s *State) predictTicketWait(queued *queuedTicket) time.Duration {
	position := slices.Index(s.tickets.queue, queued) + 1
	limit, load := s.limits.WeightLoads, s.limits.ColdStartEstimate
	if queued.Kind == TicketAdapter {
		limit, load = s.limits.AdapterLoads, adapterLoadEstimate
	}
	return load * time.Duration(position) / time.Duration(limit)
}

func (s *State) sendTicketGrant(to InstanceID, grant TicketGrant) {
	if to == s.self.Instance {
		s.ticketGrantReceived(to, grant)
		return
	}
	s.sendPeer(to, PeerMessage{TicketGrant: &grant})
}
