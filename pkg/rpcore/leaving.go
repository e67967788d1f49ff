package rpcore

import (
	"cmp"
	"slices"
	"time"
)

// leavingRecord is a notice that heartbeats repeat until leavingRepeat after
// the evidence.
type leavingRecord struct {
	LeavingNotice
	// at is the time of the evidence.
	at time.Time
}

// notice returns the notice with its present age.
func (r leavingRecord) notice(now time.Time) LeavingNotice {
	r.Age = now.Sub(r.at)
	return r.LeavingNotice
}

const (
	// leavingRepeatPeriod outlasts listLagBound, so that an instance that starts
	// while the list still shows an endpoint as staying hears of it.
	leavingRepeatPeriod = listLagBound + 15*time.Second
	// leavingNoticeLimit bounds the notices in one heartbeat. A rack that goes
	// takes tens of endpoints with it.
	leavingNoticeLimit = 64
	// leavingRecordLimit bounds the notices that are remembered. A failure
	// domain that goes takes 444 engines with it at the design size.
	leavingRecordLimit = 1024
	// serviceRefusalDuration is the time for which a refused connection keeps work
	// away from a plain service, which has no reports that could refute it.
	serviceRefusalDuration = 10 * time.Second
	// refusalMargin is how much later than a refused connection a report must
	// be to refute the refusal. Ages don't count the time that messages are
	// under way, so a report that was taken before the refusal may seem to be
	// later by that. The margin is below minPollInterval, so that the first
	// poll after a refused one refutes.
	refusalMargin = 250 * time.Millisecond
)

// supersedes reports whether a notice about the same incarnation says more
// than another. Firm evidence is final; a refusal is newer than a report of
// its sequence, and a report is newer than a refusal of a lower sequence.
func (n LeavingNotice) supersedes(other LeavingNotice) bool {
	if n.Evidence == "" || other.Evidence == "" {
		return n.Evidence == "" && other.Evidence != ""
	}
	return cmp.Or(cmp.Compare(n.Sequence, other.Sequence), refusalRank(n)-refusalRank(other)) > 0
}

func refusalRank(n LeavingNotice) int {
	if n.Evidence == LeavingRefused {
		return 1
	}
	return 0
}

// markEndpointLeaving takes in firm evidence that an incarnation of an endpoint is
// leaving and tells the peers at once.
func (s *State) markEndpointLeaving(id EndpointID, incarnation Incarnation) {
	s.broadcastLeavingNotice(LeavingNotice{Endpoint: id, Incarnation: incarnation})
}

// markEndpointRefused takes in that nothing listens at the address of an endpoint
// and tells the peers. The evidence holds until the endpoint reports again,
// because a process that restarts under a new incarnation refuses connections
// too.
func (s *State) markEndpointRefused(id EndpointID, incarnation Incarnation) {
	e := s.members.endpoints[id]
	if e == nil || e.Incarnation != incarnation {
		return
	}
	e.refusedAt = s.now
	if e.leaving {
		return
	}
	s.broadcastLeavingNotice(e.refusedNotice(e.answered, 0))
}

func (e *endpoint) refusedNotice(sequence uint64, age time.Duration) LeavingNotice {
	return LeavingNotice{Endpoint: e.id, Incarnation: e.Incarnation, Evidence: LeavingRefused, Sequence: sequence, Age: age}
}

func (e *endpoint) refutedNotice(sequence uint64, age time.Duration) LeavingNotice {
	return LeavingNotice{Endpoint: e.id, Incarnation: e.Incarnation, Evidence: LeavingRefuted, Sequence: sequence, Age: age}
}

// reportRefutesRefusal reports whether a report was taken after a connection was refused.
// The sequence does not show it: the instance that was refused may not have
// heard of the reports taken shortly before.
func reportRefutesRefusal(reportAt, refusedAt time.Time) bool {
	return reportAt.Sub(refusedAt) > refusalMargin
}

// recordEndpointReport takes in that an endpoint reported just now, or that the
// hold of a plain service is over. Whoever learned of it first hand tells the
// peers.
func (s *State) recordEndpointReport(e *endpoint, sequence uint64, firstHand bool) {
	switch {
	case sequence <= e.answered:
	case !e.refused:
		e.answered, e.answeredAt = sequence, s.now
	case !reportRefutesRefusal(s.now, e.refusedAt):
		s.acceptLeavingNotice(e.refusedNotice(sequence, s.now.Sub(e.refusedAt)))
	case firstHand:
		s.broadcastLeavingNotice(e.refutedNotice(sequence, 0))
	default:
		s.acceptLeavingNotice(e.refutedNotice(sequence, 0))
	}
}

// broadcastLeavingNotice takes in a notice of this instance and tells the peers where
// it is new.
func (s *State) broadcastLeavingNotice(notice LeavingNotice) {
	if !s.acceptLeavingNotice(notice) {
		return
	}
	for _, peer := range s.peerIDs() {
		s.sendPeer(peer, PeerMessage{LeavingNotice: &notice})
	}
}

// acceptLeavingNotice takes in a notice and reports whether it says something new
// about a listed endpoint. Heartbeats then repeat it.
func (s *State) acceptLeavingNotice(notice LeavingNotice) bool {
	if !s.applyLeavingNotice(notice) {
		return false
	}
	s.recordLeavingNotice(notice)
	return true
}

// leavingNoticeReceived takes in the evidence of a peer. A notice about an
// endpoint that the list does not show yet is kept for it.
func (s *State) leavingNoticeReceived(from InstanceID, notice LeavingNotice) {
	notice.Age = max(0, notice.Age)
	e := s.members.endpoints[notice.Endpoint]
	if e == nil || e.Incarnation != notice.Incarnation {
		s.recordLeavingNotice(notice)
		return
	}
	at := s.now.Add(-notice.Age)
	switch {
	case notice.Evidence == LeavingRefused && notice.Sequence < e.answered:
		s.resolveEarlierRefusal(from, e, at)
	case notice.Evidence == LeavingRefuted && e.refused && notice.Sequence > e.answered && !reportRefutesRefusal(at, e.refusedAt):
		s.renewRefusal(from, e, notice.Sequence)
	case s.acceptLeavingNotice(notice):
		s.forwardLeavingNotice(from, notice)
	}
}

// resolveEarlierRefusal takes in a refusal by an instance that had not heard of the
// newest report.
func (s *State) resolveEarlierRefusal(from InstanceID, e *endpoint, at time.Time) {
	switch {
	case e.leaving:
		e.refusedAt = laterTime(e.refusedAt, at)
	case reportRefutesRefusal(e.answeredAt, at):
		refuted := e.refutedNotice(e.answered, s.now.Sub(e.answeredAt))
		s.sendPeer(from, PeerMessage{LeavingNotice: &refuted})
	default:
		e.refusedAt = at
		s.renewRefusal(from, e, e.answered)
	}
}

// renewRefusal repeats a refusal with the sequence of a report that was taken
// before it, so that this report refutes it nowhere and the next one does.
func (s *State) renewRefusal(from InstanceID, e *endpoint, sequence uint64) {
	notice := e.refusedNotice(sequence, s.now.Sub(e.refusedAt))
	if !s.acceptLeavingNotice(notice) {
		return
	}
	s.sendPeer(from, PeerMessage{LeavingNotice: &notice})
	s.forwardLeavingNotice(from, notice)
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// forwardLeavingNotice sends a notice from another failure domain on at once. A peer
// of the own domain has told all of that domain, and heartbeats repair losses
// there within a second; between domains they would take too long.
func (s *State) forwardLeavingNotice(from InstanceID, notice LeavingNotice) {
	source := s.failureDomainOf(from)
	if source == s.self.FailureDomain {
		return
	}
	for _, id := range s.peerIDs() {
		if s.failureDomainOf(id) != source {
			s.sendPeer(id, PeerMessage{LeavingNotice: &notice})
		}
	}
}

// applyLeavingNotice reports whether the notice says something new about a listed
// endpoint.
func (s *State) applyLeavingNotice(notice LeavingNotice) bool {
	e := s.members.endpoints[notice.Endpoint]
	if e == nil || e.Incarnation != notice.Incarnation || (e.leaving && !e.refused) {
		return false
	}
	switch notice.Evidence {
	case "":
		changed := !e.leaving
		e.leaving, e.refused = true, false
		if changed {
			s.endpointLeavingChanged(e, "endpoint is leaving; it gets no new work")
		}
		return true
	case LeavingRefused:
		return s.applyRefusal(e, notice.Sequence, s.now.Add(-notice.Age))
	case LeavingRefuted:
		return s.applyRefutation(e, notice.Sequence, s.now.Add(-notice.Age))
	default:
		// A newer version may know other evidence.
		return false
	}
}

func (s *State) applyRefusal(e *endpoint, sequence uint64, at time.Time) bool {
	e.refusedAt = laterTime(e.refusedAt, at)
	if sequence < e.answered || (e.refused && sequence == e.answered) {
		return false
	}
	e.answered = sequence
	changed := !e.leaving
	e.leaving, e.refused = true, true
	if e.Kind != MemberEngine {
		s.scheduleRefusalEnd(e, sequence)
	}
	if changed {
		s.endpointLeavingChanged(e, "endpoint refused a connection; it gets no new work until it reports")
	}
	return true
}

// scheduleRefusalEnd ends the refusal of a plain service after serviceRefusalHold.
func (s *State) scheduleRefusalEnd(e *endpoint, sequence uint64) {
	id, incarnation := e.id, e.Incarnation
	s.runAfter(serviceRefusalDuration, func(s *State) {
		e := s.members.endpoints[id]
		if e != nil && e.Incarnation == incarnation {
			s.recordEndpointReport(e, sequence+1, true)
		}
	})
}

func (s *State) applyRefutation(e *endpoint, sequence uint64, at time.Time) bool {
	if sequence <= e.answered {
		return false
	}
	e.answered, e.answeredAt = sequence, at
	if !e.refused {
		return false
	}
	e.leaving, e.refused = false, false
	s.endpointLeavingChanged(e, "endpoint answers again")
	return true
}

func (s *State) endpointLeavingChanged(e *endpoint, text string) {
	s.emit(Note{Part: "members", Text: text, Endpoint: e.id})
	s.endpointsChanged()
	s.replicaMembersChanged()
}

// recordLeavingNotice keeps a notice unless one that says as much is kept.
func (s *State) recordLeavingNotice(notice LeavingNotice) {
	if notice.Age > leavingRepeatPeriod {
		return
	}
	if i := s.leavingRecordIndex(notice.Endpoint, notice.Incarnation); i >= 0 {
		if !notice.supersedes(s.members.leavingRecords[i].LeavingNotice) {
			return
		}
		s.members.leavingRecords = slices.Delete(s.members.leavingRecords, i, i+1)
	}
	if len(s.members.leavingRecords) >= leavingRecordLimit {
		s.members.leavingRecords = slices.Delete(s.members.leavingRecords, 0, 1)
	}
	s.members.leavingRecords = append(s.members.leavingRecords, leavingRecord{notice, s.now.Add(-notice.Age)})
}

func (s *State) leavingRecordIndex(id EndpointID, incarnation Incarnation) int {
	return slices.IndexFunc(s.members.leavingRecords, func(r leavingRecord) bool {
		return r.Endpoint == id && r.Incarnation == incarnation
	})
}

// applyRecordedLeaving applies what is known of a lifetime that the list shows for
// the first time, or again after a reading that was behind.
func (s *State) applyRecordedLeaving(e *endpoint) {
	if i := s.leavingRecordIndex(e.id, e.Incarnation); i >= 0 {
		s.applyLeavingNotice(s.members.leavingRecords[i].notice(s.now))
	}
}

// advanceLeavingNotices drops old notices and moves on to the next ones.
func (s *State) advanceLeavingNotices() {
	s.members.leavingOffset += leavingNoticeLimit
	if len(s.members.leavingRecords) <= leavingNoticeLimit {
		s.members.leavingOffset = 0
	}
	s.members.leavingRecords = slices.DeleteFunc(s.members.leavingRecords, func(r leavingRecord) bool {
		return s.now.Sub(r.at) > leavingRepeatPeriod
	})
}

// leavingNotices returns the notices for a heartbeat. Where there are too many
// for one, each tick sends the next ones.
func (s *State) leavingNotices() []LeavingNotice {
	records := s.members.leavingRecords
	n := min(len(records), leavingNoticeLimit)
	if n == 0 {
		return nil
	}
	notices := make([]LeavingNotice, n)
	for i := range notices {
		notices[i] = records[(s.members.leavingOffset+i)%len(records)].notice(s.now)
	}
	return notices
}
