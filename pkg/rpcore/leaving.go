package rpcore

import "time"

// leavingRecord is a notice that heartbeats repeat for leavingRepeat.
type leavingRecord struct {
	LeavingNotice
	at time.Time
}

const (
	// leavingRepeat outlasts a partition of seconds; after it the instance
	// list has caught up.
	leavingRepeat = 30 * time.Second
	// leavingRecordLimit bounds the notices in one heartbeat. A rack that
	// goes takes tens of endpoints with it.
	leavingRecordLimit = 64
)

// goneRecord is an instance that the list proved gone.
type goneRecord struct {
	Identity
	at time.Time
}

const (
	// goneRepeat covers a restart: an instance that starts never saw the
	// lifetimes listed that ended before, and would need listLagBound to prove
	// that one is gone.
	goneRepeat = 2 * time.Minute
	// goneRecordLimit bounds the records in one heartbeat. A failure domain
	// of the design size has 17 instances.
	goneRecordLimit = 32
)

// goneInstances returns the records for a heartbeat and forgets old ones.
func (s *State) goneInstances() []Identity {
	for len(s.members.gone) > 0 && s.now.Sub(s.members.gone[0].at) > goneRepeat {
		s.members.gone = s.members.gone[1:]
	}
	var identities []Identity
	for i := range s.members.gone {
		identities = append(identities, s.members.gone[i].Identity)
	}
	return identities
}

// goneInstanceReceived takes in a peer's proof that a lifetime is over. It is
// not repeated, so that a proof ends with the peer that made it.
func (s *State) goneInstanceReceived(identity Identity) {
	key := lifetime{string(identity.Instance), identity.Incarnation}
	if s.isSelf(key.id, key.incarnation) {
		return
	}
	record := s.members.absences[key]
	if record == nil {
		record = &absence{askedAt: s.now, instance: true}
		s.members.absences[key] = record
	}
	record.seen = true
	// More than absentReadings, so that recordGone does not take it for a
	// proof of this instance.
	record.missing = max(record.missing, absentReadings+1)
}

// endpointLeaving takes in evidence from any source that an incarnation of an
// endpoint is leaving, stops new work for it and tells the peers at once.
func (s *State) endpointLeaving(id EndpointID, incarnation Incarnation) {
	if !s.markLeaving(id, incarnation) {
		return
	}
	notice := LeavingNotice{Endpoint: id, Incarnation: incarnation}
	s.recordLeaving(notice)
	for _, peer := range s.peerIDs() {
		s.sendPeer(peer, PeerMessage{LeavingNotice: &notice})
	}
}

// markLeaving reports whether the evidence is new.
func (s *State) markLeaving(id EndpointID, incarnation Incarnation) bool {
	e := s.members.endpoints[id]
	if e == nil || e.Incarnation != incarnation || e.leaving {
		return false
	}
	e.leaving = true
	s.emit(Note{Part: "members", Text: "endpoint is leaving; it gets no new work", Endpoint: id})
	s.endpointsChanged()
	s.replicaMembersChanged()
	return true
}

// leavingNoticeReceived takes in the evidence of a peer. It is not sent on at
// once, since the peer has told all of its own peers; heartbeats repeat it.
func (s *State) leavingNoticeReceived(notice LeavingNotice) {
	if s.markLeaving(notice.Endpoint, notice.Incarnation) {
		s.recordLeaving(notice)
	}
}

func (s *State) recordLeaving(notice LeavingNotice) {
	records := s.members.leaving
	if len(records) >= leavingRecordLimit {
		records = records[1:]
	}
	s.members.leaving = append(records, leavingRecord{notice, s.now})
}

// leavingNotices returns the notices for a heartbeat and forgets old ones.
func (s *State) leavingNotices() []LeavingNotice {
	for len(s.members.leaving) > 0 && s.now.Sub(s.members.leaving[0].at) > leavingRepeat {
		s.members.leaving = s.members.leaving[1:]
	}
	var notices []LeavingNotice
	for i := range s.members.leaving {
		notices = append(notices, s.members.leaving[i].LeavingNotice)
	}
	return notices
}

// endpointRefused takes in that nothing listens at the address of an
// endpoint. The evidence holds until the endpoint reports again, because a
// process that restarts under a new incarnation refuses connections too.
func (s *State) endpointRefused(id EndpointID, incarnation Incarnation) {
	e := s.members.endpoints[id]
	if e == nil || e.Incarnation != incarnation || e.leaving {
		return
	}
	e.leaving = true
	e.refused = true
	s.emit(Note{Part: "members", Text: "endpoint refused a connection; it gets no new work until it reports", Endpoint: id})
	s.endpointsChanged()
	s.replicaMembersChanged()
}

// endpointAnswered ends the effect of endpointRefused.
func (s *State) endpointAnswered(e *endpoint) {
	if !e.refused {
		return
	}
	e.refused = false
	e.leaving = e.Leaving
	s.emit(Note{Part: "members", Text: "endpoint reports again", Endpoint: e.id})
	s.endpointsChanged()
	s.replicaMembersChanged()
}
