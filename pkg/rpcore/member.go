package rpcore

import (
	"cmp"
	"slices"
)

// memberView holds the instance list, the peers and the endpoints.
type memberView struct {
	endpoints map[EndpointID]*endpoint
	listed    map[string]Member
	known     map[Identity]bool
	heard     map[InstanceID]bool
}

func (s *State) startMembers() {
	s.members = memberView{
		endpoints: make(map[EndpointID]*endpoint),
		known:     make(map[Identity]bool),
		heard:     make(map[InstanceID]bool),
	}
}

func (s *State) membersListed(members []Member) {
	s.members.listed = make(map[string]Member)
	for _, m := range members {
		s.members.listed[m.ID] = m
		if m.Kind != MemberEngine {
			continue
		}
		e := s.members.endpoints[EndpointID(m.ID)]
		if e == nil || e.Incarnation != m.Incarnation {
			s.members.endpoints[EndpointID(m.ID)] = &endpoint{Member: m, id: EndpointID(m.ID), leaving: m.Leaving}
		}
	}
	for _, id := range endpointIDs(s.members.endpoints) {
		if _, ok := s.members.listed[string(id)]; !ok {
			delete(s.members.endpoints, id)
		}
	}
	for id := range s.members.known {
		s.members.known[id] = true
	}
	s.replicaMembersChanged()
}

func (s *State) listUnavailable() {}

// engineReported takes in a report; own says that this instance polled it.
func (s *State) engineReported(report EngineReport, _ bool) {
	e := s.members.endpoints[report.Endpoint]
	if e == nil || e.Incarnation != report.Incarnation || report.Sequence <= e.report.Sequence {
		return
	}
	e.report = report
	e.reportedAt = s.now
	s.replicaReportChanged(e)
}

func (s *State) engineUnreachable(_ EngineUnreachable) {}

func (s *State) peerReceived(ev PeerReceived) {
	switch m := ev.Message; {
	case m.Heartbeat != nil:
		s.members.heard[ev.From] = true
		s.replicaMembersChanged()
	case m.Demand != nil:
		s.demandReceived(ev.From, *m.Demand)
	case m.DemandAnswer != nil:
		s.demandAnswerReceived(ev.From, *m.DemandAnswer)
	case m.TicketRequest != nil:
		s.ticketRequestReceived(ev.From, *m.TicketRequest)
	case m.TicketGrant != nil:
		s.ticketGrantReceived(ev.From, *m.TicketGrant)
	case m.TicketRelease != nil:
		s.ticketReleaseReceived(ev.From, *m.TicketRelease)
	}
}

func (s *State) peerLost(id InstanceID) {
	delete(s.members.heard, id)
	s.replicaMembersChanged()
}

// endpointByID returns an endpoint, or nil.
func (s *State) endpointByID(id EndpointID) *endpoint { return s.members.endpoints[id] }

// serviceEndpoints returns the endpoints of a plain service that are not
// leaving, ordered by id.
func (s *State) serviceEndpoints(_ string) []*endpoint { return nil }

// serviceEngines returns the engines that may hold models of a service and
// are not leaving, ordered by id.
func (s *State) serviceEngines(_ string) []*endpoint {
	var engines []*endpoint
	for _, e := range s.members.endpoints {
		if !e.leaving {
			engines = append(engines, e)
		}
	}
	slices.SortFunc(engines, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	return engines
}

// endpointLeaving takes in evidence that an incarnation of an endpoint is
// leaving or gone.
func (s *State) endpointLeaving(_ EndpointID, _ Incarnation) {}

// incarnationGone reports whether the instance list has shown that this
// lifetime of a member is over: the list was read at least once after the
// member was known, and names the member with another incarnation or not at
// all. A member that is merely silent is not gone.
func (s *State) incarnationGone(id string, incarnation Incarnation) bool {
	key := Identity{Instance: InstanceID(id), Incarnation: incarnation}
	if _, known := s.members.known[key]; !known {
		s.members.known[key] = false
	}
	return s.members.known[key] && s.members.listed[id].Incarnation != incarnation
}

// liveInstances returns this instance and the peers that it hears from,
// ordered by id.
func (s *State) liveInstances() []InstanceID {
	live := []InstanceID{s.self.Instance}
	for id := range s.members.heard {
		if id != s.self.Instance {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// homeOf returns the live instance that is the home of a key.
func (s *State) homeOf(key string) InstanceID { return rendezvous(key, s.liveInstances()) }

// sendPeer sends a message to a peer; unknown peers are passed over.
func (s *State) sendPeer(id InstanceID, message PeerMessage) {
	s.emit(SendPeer{To: id, Address: s.members.listed[string(id)].Address, Message: message})
}
