package rpcore

import "time"

// ticketAsk is the ticket of one load of this instance.
type ticketAsk struct {
	request TicketRequest
	// askedAt is the time of the first request without an answer, zero where
	// all are answered.
	askedAt time.Time
	wait    time.Duration
	// started says that the load went ahead, with a grant or without.
	started bool
	// granted says that a lease is to be renewed and released.
	granted bool
}

const (
	// ticketAnswerLimit is the time without an answer after which the
	// scheduler counts as lost.
	ticketAnswerLimit = 250 * time.Millisecond
	// ticketRepeat is the time between two requests while the load is queued.
	ticketRepeat = time.Second
	// ticketRenewal is the time between two renewals of a lease.
	ticketRenewal = 10 * time.Second
)

// ticketNeeded returns the kind of ticket that a load needs: loads from the
// weight store and adapter loads share limits of the platform.
func (s *State) ticketNeeded(load *ownLoad) (TicketKind, bool) {
	switch {
	case s.policy.LoadPerInstance:
		return "", false
	case load.spec.adapter():
		return TicketAdapter, true
	default:
		return TicketWeights, load.place == PlaceRemote
	}
}

func (s *State) askTicket(load *ownLoad, kind TicketKind) {
	nonce := load.slot.Nonce
	s.tickets.asks[nonce] = &ticketAsk{request: TicketRequest{
		Nonce: nonce, Kind: kind, Rank: load.rank, Waiting: load.waiting,
	}}
	s.repeatTicket(nonce)
}

// repeatTicket sends the request, or renews the lease, until the load ends.
func (s *State) repeatTicket(nonce Nonce) {
	ask := s.tickets.asks[nonce]
	if ask == nil {
		return
	}
	if ask.askedAt.IsZero() {
		ask.askedAt = s.now
	}
	s.sendTicketRequest(ask)
	ask = s.tickets.asks[nonce]
	switch {
	case ask == nil:
	case ask.started:
		s.runAfter(ticketRenewal, func(s *State) { s.repeatTicket(nonce) })
	default:
		s.runAfter(ticketAnswerLimit, func(s *State) { s.checkTicket(nonce) })
	}
}

func (s *State) sendTicketRequest(ask *ticketAsk) {
	home := s.replicaHome(ticketHome)
	if home == s.self.Instance || home == "" {
		s.ticketRequestReceived(s.self.Instance, ask.request)
		return
	}
	s.sendPeer(home, PeerMessage{TicketRequest: &ask.request})
}

// checkTicket goes ahead without a grant where the scheduler gave no answer at
// all; a queued request is repeated.
func (s *State) checkTicket(nonce Nonce) {
	ask := s.tickets.asks[nonce]
	switch {
	case ask == nil:
	case ask.started:
		s.runAfter(ticketRenewal, func(s *State) { s.repeatTicket(nonce) })
	case !ask.askedAt.IsZero():
		s.runAfter(s.jitter(ticketAnswerLimit), func(s *State) { s.goAhead(nonce) })
	default:
		s.runAfter(ticketRepeat-ticketAnswerLimit, func(s *State) { s.repeatTicket(nonce) })
	}
}

// goAhead starts a load whose scheduler is lost. An overrun of the weight
// store costs speed only. An answer that came during the delay counts.
func (s *State) goAhead(nonce Nonce) {
	ask := s.tickets.asks[nonce]
	switch {
	case ask == nil:
	case !ask.started && ask.askedAt.IsZero():
		s.repeatTicket(nonce)
	default:
		s.startTicketLoad(ask)
		s.runAfter(ticketRenewal, func(s *State) { s.repeatTicket(nonce) })
	}
}

func (s *State) ticketGrantReceived(from InstanceID, grant TicketGrant) {
	ask := s.tickets.asks[grant.Nonce]
	if ask == nil {
		// The load has ended; the lease is of no more use.
		if grant.Lease > 0 {
			s.sendTicketRelease(from, grant.Nonce)
		}
		return
	}
	ask.askedAt = time.Time{}
	ask.wait = grant.Wait
	if grant.Lease > 0 {
		ask.granted = true
		s.startTicketLoad(ask)
	}
}

func (s *State) startTicketLoad(ask *ticketAsk) {
	if ask.started {
		return
	}
	ask.started = true
	if load := s.replicas.loads[ask.request.Nonce]; load != nil {
		s.sendLoad(load)
	}
}

// ticketWait returns the predicted wait for a ticket.
func (s *State) ticketWait(nonce Nonce) time.Duration {
	if ask := s.tickets.asks[nonce]; ask != nil && !ask.started {
		return ask.wait
	}
	return 0
}

// endTicket releases the ticket of a load that has ended.
func (s *State) endTicket(nonce Nonce) {
	if s.tickets.asks[nonce] == nil {
		return
	}
	delete(s.tickets.asks, nonce)
	s.sendTicketRelease(s.replicaHome(ticketHome), nonce)
}

func (s *State) sendTicketRelease(to InstanceID, nonce Nonce) {
	if to == s.self.Instance || to == "" {
		s.ticketReleaseReceived(s.self.Instance, TicketRelease{Nonce: nonce})
		return
	}
	s.sendPeer(to, PeerMessage{TicketRelease: &TicketRelease{Nonce: nonce}})
}
