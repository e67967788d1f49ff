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
	// leavingRepeat outlasts listLagBound, so that an instance that starts
	// while the list still shows an endpoint as staying hears of it.
	leavingRepeat = listLagBound + 15*time.Second
	// leavingNoticeLimit bounds the notices in one heartbeat. A rack that goes
	// takes tens of endpoints with it.
	leavingNoticeLimit = 64
	// leavingRecordLimit bounds the notices that are remembered. A failure
	// domain that goes takes 444 engines with it at the design size.
	leavingRecordLimit = 1024
	// serviceRefusalHold is the time for which a refused connection keeps work
	// away from a plain service, which has no reports that could refute it.
	serviceRefusalHold = 10 * time.Second
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
	return cmp.Or(cmp.Compare(n.Sequence, other.Sequence), strengthAtEqual(n)-strengthAtEqual(other)) > 0
}

func strengthAtEqual(n LeavingNotice) int {
	if n.Evidence == LeavingRefused {
		return 1
	}
	return 0
}

// endpointLeaving takes in firm evidence that an incarnation of an endpoint is
// leaving and tells the peers at once.
func (s *State) endpointLeaving(id EndpointID, incarnation Incarnation) {
	s.spreadLeaving(LeavingNotice{Endpoint: id, Incarnation: incarnation})
}

// endpointRefused takes in that nothing listens at the address of an endpoint
// and tells the peers. The evidence holds until the endpoint reports again,
// because a process that restarts under a new incarnation refuses connections
// too.
func (s *State) endpointRefused(id EndpointID, incarnation Incarnation) {
	e := s.members.endpoints[id]
	if e == nil || e.Incarnation != incarnation {
		return
	}
	e.refusedAt = s.now
	if e.leaving {
		return
	}
	s.spreadLeaving(e.refusal(e.answered, 0))
}

func (e *endpoint) refusal(sequence uint64, age time.Duration) LeavingNotice {
	return LeavingNotice{Endpoint: e.id, Incarnation: e.Incarnation, Evidence: LeavingRefused, Sequence: sequence, Age: age}
}

func (e *endpoint) refutation(sequence uint64, age time.Duration) LeavingNotice {
	return LeavingNotice{Endpoint: e.id, Incarnation: e.Incarnation, Evidence: LeavingRefuted, Sequence: sequence, Age: age}
}

// refutes reports whether a report was taken after a connection was refused.
// The sequence does not show it: the instance that was refused may not have
// heard of the reports taken shortly before.
func refutes(reportAt, refusedAt time.Time) bool { return reportAt.Sub(refusedAt) > refusalMargin }

// endpointAnswered takes in that an endpoint reported just now, or that the
// hold of a plain service is over. Whoever learned of it first hand tells the
// peers.
func (s *State) endpointAnswered(e *endpoint, sequence uint64, firstHand bool) {
	switch {
	case sequence <= e.answered:
	case !e.refused:
		e.answered, e.answeredAt = sequence, s.now
	case !refutes(s.now, e.refusedAt):
		s.learnLeaving(e.refusal(sequence, s.now.Sub(e.refusedAt)))
	case firstHand:
		s.spreadLeaving(e.refutation(sequence, 0))
	default:
		s.learnLeaving(e.refutation(sequence, 0))
	}
}

// spreadLeaving takes in a notice of this instance and tells the peers where
// it is new.
func (s *State) spreadLeaving(notice LeavingNotice) {
	if !s.learnLeaving(notice) {
		return
	}
	for _, peer := range s.peerIDs() {
		s.sendPeer(peer, PeerMessage{LeavingNotice: &notice})
	}
}

// learnLeaving takes in a notice and reports whether it says something new
// about a listed endpoint. Heartbeats then repeat it.
func (s *State) learnLeaving(notice LeavingNotice) bool {
	if !s.applyLeaving(notice) {
		return false
	}
	s.recordLeaving(notice)
	return true
}

// leavingNoticeReceived takes in the evidence of a peer. A notice about an
// endpoint that the list does not show yet is kept for it.
func (s *State) leavingNoticeReceived(from InstanceID, notice LeavingNotice) {
	notice.Age = max(0, notice.Age)
	e := s.members.endpoints[notice.Endpoint]
	if e == nil || e.Incarnation != notice.Incarnation {
		s.recordLeaving(notice)
		return
	}
	at := s.now.Add(-notice.Age)
	switch {
	case notice.Evidence == LeavingRefused && notice.Sequence < e.answered:
		s.earlierRefusal(from, e, at)
	case notice.Evidence == LeavingRefuted && e.refused && notice.Sequence > e.answered && !refutes(at, e.refusedAt):
		s.raiseRefusal(from, e, notice.Sequence)
	case s.learnLeaving(notice):
		s.forwardLeaving(from, notice)
	}
}

// earlierRefusal takes in a refusal by an instance that had not heard of the
// newest report.
func (s *State) earlierRefusal(from InstanceID, e *endpoint, at time.Time) {
	switch {
	case e.leaving:
		e.refusedAt = later(e.refusedAt, at)
	case refutes(e.answeredAt, at):
		refuted := e.refutation(e.answered, s.now.Sub(e.answeredAt))
		s.sendPeer(from, PeerMessage{LeavingNotice: &refuted})
	default:
		e.refusedAt = at
		s.raiseRefusal(from, e, e.answered)
	}
}

// raiseRefusal repeats a refusal with the sequence of a report that was taken
// before it, so that this report refutes it nowhere and the next one does.
func (s *State) raiseRefusal(from InstanceID, e *endpoint, sequence uint64) {
	notice := e.refusal(sequence, s.now.Sub(e.refusedAt))
	if !s.learnLeaving(notice) {
		return
	}
	s.sendPeer(from, PeerMessage{LeavingNotice: &notice})
	s.forwardLeaving(from, notice)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// forwardLeaving sends a notice from another failure domain on at once. A peer
// of the own domain has told all of that domain, and heartbeats repair losses
// there within a second; between domains they would take too long.
func (s *State) forwardLeaving(from InstanceID, notice LeavingNotice) {
	source := s.domainOf(from)
	if source == s.self.FailureDomain {
		return
	}
	for _, id := range s.peerIDs() {
		if s.domainOf(id) != source {
			s.sendPeer(id, PeerMessage{LeavingNotice: &notice})
		}
	}
}

// applyLeaving reports whether the notice says something new about a listed
// endpoint.
func (s *State) applyLeaving(notice LeavingNotice) bool {
	e := s.members.endpoints[notice.Endpoint]
	if e == nil || e.Incarnation != notice.Incarnation || (e.leaving && !e.refused) {
		return false
	}
	switch notice.Evidence {
	case "":
		changed := !e.leaving
		e.leaving, e.refused = true, false
		if changed {
			s.leavingChanged(e, "endpoint is leaving; it gets no new work")
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
	e.refusedAt = later(e.refusedAt, at)
	if sequence < e.answered || (e.refused && sequence == e.answered) {
		return false
	}
	e.answered = sequence
	changed := !e.leaving
	e.leaving, e.refused = true, true
	if e.Kind != MemberEngine {
		s.holdRefusal(e, sequence)
	}
	if changed {
		s.leavingChanged(e, "endpoint refused a connection; it gets no new work until it reports")
	}
	return true
}

// holdRefusal ends the refusal of a plain service after serviceRefusalHold.
func (s *State) holdRefusal(e *endpoint, sequence uint64) {
	id, incarnation := e.id, e.Incarnation
	s.after(serviceRefusalHold, func(s *State) {
		e := s.members.endpoints[id]
		if e != nil && e.Incarnation == incarnation {
			s.endpointAnswered(e, sequence+1, true)
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
	s.leavingChanged(e, "endpoint answers again")
	return true
}

func (s *State) leavingChanged(e *endpoint, text string) {
	s.emit(Note{Part: "members", Text: text, Endpoint: e.id})
	s.endpointsChanged()
	s.replicaMembersChanged()
}

// recordLeaving keeps a notice unless one that says as much is kept.
func (s *State) recordLeaving(notice LeavingNotice) {
	if notice.Age > leavingRepeat {
		return
	}
	if i := s.leavingRecordOf(notice.Endpoint, notice.Incarnation); i >= 0 {
		if !notice.supersedes(s.members.leaving[i].LeavingNotice) {
			return
		}
		s.members.leaving = slices.Delete(s.members.leaving, i, i+1)
	}
	if len(s.members.leaving) >= leavingRecordLimit {
		s.members.leaving = slices.Delete(s.members.leaving, 0, 1)
	}
	s.members.leaving = append(s.members.leaving, leavingRecord{notice, s.now.Add(-notice.Age)})
}

func (s *State) leavingRecordOf(id EndpointID, incarnation Incarnation) int {
	return slices.IndexFunc(s.members.leaving, func(r leavingRecord) bool {
		return r.Endpoint == id && r.Incarnation == incarnation
	})
}

// recallLeaving applies what is known of a lifetime that the list shows for
// the first time, or again after a reading that was behind.
func (s *State) recallLeaving(e *endpoint) {
	if i := s.leavingRecordOf(e.id, e.Incarnation); i >= 0 {
		s.applyLeaving(s.members.leaving[i].notice(s.now))
	}
}

// forgetLeaving drops old notices and moves on to the next ones.
func (s *State) forgetLeaving() {
	s.members.leavingOffset += leavingNoticeLimit
	if len(s.members.leaving) <= leavingNoticeLimit {
		s.members.leavingOffset = 0
	}
	s.members.leaving = slices.DeleteFunc(s.members.leaving, func(r leavingRecord) bool {
		return s.now.Sub(r.at) > leavingRepeat
	})
}

// leavingNotices returns the notices for a heartbeat. Where there are too many
// for one, each tick sends the next ones.
func (s *State) leavingNotices() []LeavingNotice {
	records := s.members.leaving
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
