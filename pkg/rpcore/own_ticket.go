package rpcore

import "time"

// ownTicket is the ticket of one load of this instance.
type ownTicket struct {
	request TicketRequest
	// unansweredSince is the time of the first unanswered request, or zero if
	// all were answered.
	unansweredSince time.Time
	predictedWait   time.Duration
	// loadStarted is set once the load was started, with a grant or without.
	loadStarted bool
	// hasLease is set once the scheduler has granted a lease.
	hasLease bool
}

const (
	// ticketAnswerTimeout is the time without an answer after which the
	// scheduler counts as lost.
	ticketAnswerTimeout = 250 * time.Millisecond
	// ticketRepeatInterval is the time between two requests while the load is
	// queued.
	ticketRepeatInterval = time.Second
	// ticketRenewalInterval is the time between two renewals of a lease.
	ticketRenewalInterval = 10 * time.Second
)

// requiredTicket returns the kind of ticket that a load needs, if any. Loads
// from the weight store and loads of adapters share limits of the platform.
func (s *State) requiredTicket(load *ownLoad) (TicketKind, bool) {
	switch {
	case s.policy.LoadPerInstance:
		return "", false
	case load.spec.isAdapter():
		return TicketAdapter, true
	default:
		return TicketWeights, load.place == PlaceRemote
	}
}

func (s *State) requestTicket(load *ownLoad, kind TicketKind) {
	nonce := load.slot.Nonce
	s.tickets.ownTickets[nonce] = &ownTicket{request: TicketRequest{
		Nonce: nonce, Kind: kind, Rank: load.rank, Waiting: load.waitingRequests,
	}}
	s.sendOrRenewTicket(nonce)
}

// sendOrRenewTicket sends the request, or renews the lease, repeatedly until
// the load ends.
func (s *State) sendOrRenewTicket(nonce Nonce) {
	ticket := s.tickets.ownTickets[nonce]
	if ticket == nil {
		return
	}
	if ticket.unansweredSince.IsZero() {
		ticket.unansweredSince = s.now
	}
	s.sendTicketRequest(ticket)
	ticket = s.tickets.ownTickets[nonce]
	switch {
	case ticket == nil:
	case ticket.loadStarted:
		s.runAfter(ticketRenewalInterval, func(s *State) { s.sendOrRenewTicket(nonce) })
	default:
		s.runAfter(ticketAnswerTimeout, func(s *State) { s.checkTicketAnswer(nonce) })
	}
}

func (s *State) sendTicketRequest(ticket *ownTicket) {
	home := s.cachedHomeOf(ticketHomeKey)
	if home == s.self.Instance || home == "" {
		s.ticketRequestReceived(s.self.Instance, ticket.request)
		return
	}
	s.sendPeer(home, PeerMessage{TicketRequest: &ticket.request})
}

// checkTicketAnswer starts the load without a grant if the scheduler did not
// answer at all. A queued request is repeated.
func (s *State) checkTicketAnswer(nonce Nonce) {
	ticket := s.tickets.ownTickets[nonce]
	switch {
	case ticket == nil:
	case ticket.loadStarted:
		s.runAfter(ticketRenewalInterval, func(s *State) { s.sendOrRenewTicket(nonce) })
	case !ticket.unansweredSince.IsZero():
		s.runAfter(s.jitter(ticketAnswerTimeout), func(s *State) { s.startWithoutTicket(nonce) })
	default:
		s.runAfter(ticketRepeatInterval-ticketAnswerTimeout, func(s *State) { s.sendOrRenewTicket(nonce) })
	}
}

// startWithoutTicket starts a load whose scheduler is lost, unless an answer
// came during the delay. Exceeding the limits of the weight store only slows
// loads down.
func (s *State) startWithoutTicket(nonce Nonce) {
	ticket := s.tickets.ownTickets[nonce]
	switch {
	case ticket == nil:
	case !ticket.loadStarted && ticket.unansweredSince.IsZero():
		s.sendOrRenewTicket(nonce)
	default:
		s.startTicketedLoad(ticket)
		s.runAfter(ticketRenewalInterval, func(s *State) { s.sendOrRenewTicket(nonce) })
	}
}

func (s *State) ticketGrantReceived(from InstanceID, grant TicketGrant) {
	ticket := s.tickets.ownTickets[grant.Nonce]
	if ticket == nil {
		// The load has ended, so the lease is no longer needed.
		if grant.Lease > 0 {
			s.sendTicketRelease(from, grant.Nonce)
		}
		return
	}
	ticket.unansweredSince = time.Time{}
	ticket.predictedWait = grant.Wait
	if grant.Lease > 0 {
		ticket.hasLease = true
		s.startTicketedLoad(ticket)
	}
}

func (s *State) startTicketedLoad(ticket *ownTicket) {
	if ticket.loadStarted {
		return
	}
	ticket.loadStarted = true
	if load := s.replicas.loads[ticket.request.Nonce]; load != nil {
		s.sendLoadOrder(load)
	}
}

// predictedTicketWait returns the predicted wait for a ticket.
func (s *State) predictedTicketWait(nonce Nonce) time.Duration {
	if ticket := s.tickets.ownTickets[nonce]; ticket != nil && !ticket.loadStarted {
		return ticket.predictedWait
	}
	return 0
}

// releaseTicket releases the ticket of a load that has ended.
func (s *State) releaseTicket(nonce Nonce) {
	if s.tickets.ownTickets[nonce] == nil {
		return
	}
	delete(s.tickets.ownTickets, nonce)
	s.sendTicketRelease(s.cachedHomeOf(ticketHomeKey), nonce)
}

func (s *State) sendTicketRelease(to InstanceID, nonce Nonce) {
	if to == s.self.Instance || to == "" {
		s.ticketReleaseReceived(s.self.Instance, TicketRelease{Nonce: nonce})
		return
	}
	s.sendPeer(to, PeerMessage{TicketRelease: &TicketRelease{Nonce: nonce}})
}
