package rpcore

import (
	"cmp"
	"slices"
	"time"
)

// leavingRecord is a notice that heartbeats repeat until leavingRepeatPeriod
// after the evidence.
type leavingRecord struct {
	LeavingNotice
	// at is the time of the evidence.
	at time.Time
}

// notice returns the notice with its age at now.
func (r leavingRecord) notice(now time.Time) LeavingNotice {
	r.Age = now.Sub(r.at)
	return r.LeavingNotice
}

const (
	// leavingRepeatPeriod is longer than listLagBound. An instance that starts
	// while the list still shows an endpoint as not leaving is thus told of it.
	leavingRepeatPeriod = listLagBound + 15*time.Second
	// leavingNoticeLimit is the maximum number of notices in one heartbeat. The
	// loss of a rack takes tens of endpoints with it.
	leavingNoticeLimit = 64
	// leavingRecordLimit is the maximum number of notices that are kept. The
	// loss of a failure domain takes 444 engines with it at the design size.
	leavingRecordLimit = 1024
	// serviceRefusalDuration is the time for which a plain service gets no work
	// after a refused connection. A plain service sends no reports that could
	// refute the refusal.
	serviceRefusalDuration = 10 * time.Second
	// refusalMargin is the time by which a report must be newer than a refused
	// connection to refute it. Ages don't include the time in transit, so a
	// report that was taken before the refusal may seem newer by that time. The
	// margin is shorter than minPollInterval, so that the first poll after the
	// refused one refutes.
	refusalMargin = 250 * time.Millisecond
)

// supersedes reports whether a notice replaces another one about the same
// incarnation. Definite evidence is final. Otherwise the higher sequence wins;
// at equal sequences, a refusal is newer than the report.
func (n LeavingNotice) supersedes(other LeavingNotice) bool {
	if n.Evidence == "" || other.Evidence == "" {
		return n.Evidence == "" && other.Evidence != ""
	}
	return cmp.Or(cmp.Compare(n.Sequence, other.Sequence), refusalRank(n)-refusalRank(other)) > 0
}

// refusalRank orders notices of equal sequence for supersedes.
func refusalRank(n LeavingNotice) int {
	if n.Evidence == LeavingRefused {
		return 1
	}
	return 0
}

// markEndpointLeaving records definite evidence that an incarnation of an
// endpoint is leaving, and tells the peers at once.
func (s *State) markEndpointLeaving(id EndpointID, incarnation Incarnation) {
	s.broadcastLeavingNotice(LeavingNotice{Endpoint: id, Incarnation: incarnation})
}

// markEndpointRefused records that a connection to an endpoint was refused, and
// tells the peers. A process that restarts with a new incarnation refuses
// connections too, so the evidence is not final: it holds until the endpoint
// reports again.
func (s *State) markEndpointRefused(id EndpointID, incarnation Incarnation) {
	e := s.members.endpoints[id]
	if e == nil || e.Incarnation != incarnation {
		return
	}
	e.refusedAt = s.now
	if e.leaving {
		return
	}
	s.broadcastLeavingNotice(e.refusedNotice(e.knownSequence, 0))
}

func (e *endpoint) refusedNotice(sequence uint64, age time.Duration) LeavingNotice {
	return LeavingNotice{Endpoint: e.id, Incarnation: e.Incarnation, Evidence: LeavingRefused, Sequence: sequence, Age: age}
}

func (e *endpoint) refutedNotice(sequence uint64, age time.Duration) LeavingNotice {
	return LeavingNotice{Endpoint: e.id, Incarnation: e.Incarnation, Evidence: LeavingRefuted, Sequence: sequence, Age: age}
}

// reportRefutesRefusal reports whether a report was taken after a connection
// was refused. The sequence numbers can't tell, because the instance whose
// connection was refused may not have received the reports taken shortly
// before.
func reportRefutesRefusal(reportAt, refusedAt time.Time) bool {
	return reportAt.Sub(refusedAt) > refusalMargin
}

// recordEndpointReport handles a report of an endpoint that arrived just now,
// or the end of serviceRefusalDuration for a plain service. A report that
// refutes a refusal ends it; if firstHand is set, the peers are told. If a
// report was taken too early to refute the refusal, the refusal is renewed with
// the sequence of the report.
func (s *State) recordEndpointReport(e *endpoint, sequence uint64, firstHand bool) {
	switch {
	case sequence <= e.knownSequence:
	case !e.leavingByRefusal:
		e.knownSequence, e.knownSequenceAt = sequence, s.now
	case !reportRefutesRefusal(s.now, e.refusedAt):
		s.acceptLeavingNotice(e.refusedNotice(sequence, s.now.Sub(e.refusedAt)))
	case firstHand:
		s.broadcastLeavingNotice(e.refutedNotice(sequence, 0))
	default:
		s.acceptLeavingNotice(e.refutedNotice(sequence, 0))
	}
}

// broadcastLeavingNotice accepts a notice made by this instance and sends it to
// the peers if it is new.
func (s *State) broadcastLeavingNotice(notice LeavingNotice) {
	if !s.acceptLeavingNotice(notice) {
		return
	}
	for _, peer := range s.peerIDs() {
		s.sendPeer(peer, PeerMessage{LeavingNotice: &notice})
	}
}

// acceptLeavingNotice applies a notice and reports whether it was new and its
// endpoint is listed. If so, heartbeats repeat it from now on.
func (s *State) acceptLeavingNotice(notice LeavingNotice) bool {
	if !s.applyLeavingNotice(notice) {
		return false
	}
	s.recordLeavingNotice(notice)
	return true
}

// leavingNoticeReceived handles a notice from a peer. A notice about an
// incarnation that the list does not show yet is kept until it does.
func (s *State) leavingNoticeReceived(from InstanceID, notice LeavingNotice) {
	notice.Age = max(0, notice.Age)
	e := s.members.endpoints[notice.Endpoint]
	if e == nil || e.Incarnation != notice.Incarnation {
		s.recordLeavingNotice(notice)
		return
	}
	at := s.now.Add(-notice.Age)
	switch {
	case notice.Evidence == LeavingRefused && notice.Sequence < e.knownSequence:
		s.resolveEarlierRefusal(from, e, at)
	case notice.Evidence == LeavingRefuted && e.leavingByRefusal && notice.Sequence > e.knownSequence && !reportRefutesRefusal(at, e.refusedAt):
		s.renewRefusal(from, e, notice.Sequence)
	case s.acceptLeavingNotice(notice):
		s.forwardLeavingNotice(from, notice)
	}
}

// resolveEarlierRefusal handles a refusal by an instance that had not received
// the newest report. If the report refutes the refusal, the peer is told so.
// Otherwise the refusal is renewed.
func (s *State) resolveEarlierRefusal(from InstanceID, e *endpoint, at time.Time) {
	switch {
	case e.leaving:
		e.refusedAt = laterTime(e.refusedAt, at)
	case reportRefutesRefusal(e.knownSequenceAt, at):
		refuted := e.refutedNotice(e.knownSequence, s.now.Sub(e.knownSequenceAt))
		s.sendPeer(from, PeerMessage{LeavingNotice: &refuted})
	default:
		e.refusedAt = at
		s.renewRefusal(from, e, e.knownSequence)
	}
}

// renewRefusal repeats a refusal with the sequence of a report that was taken
// before the refusal. No instance then takes this report as a refutation, and
// all instances take the next one as such.
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

// forwardLeavingNotice forwards a notice from another failure domain at once.
// Notices from the own domain are not forwarded: their sender has told the
// whole domain, and the heartbeats there make up for lost messages within a
// second. Heartbeats between domains are too slow for that.
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

// applyLeavingNotice updates the endpoint of a notice. It reports whether the
// notice was new and its endpoint is listed.
func (s *State) applyLeavingNotice(notice LeavingNotice) bool {
	e := s.members.endpoints[notice.Endpoint]
	if e == nil || e.Incarnation != notice.Incarnation || (e.leaving && !e.leavingByRefusal) {
		return false
	}
	switch notice.Evidence {
	case "":
		changed := !e.leaving
		e.leaving, e.leavingByRefusal = true, false
		if changed {
			s.endpointLeavingChanged(e, "endpoint is leaving; it gets no new work")
		}
		return true
	case LeavingRefused:
		return s.applyRefusal(e, notice.Sequence, s.now.Add(-notice.Age))
	case LeavingRefuted:
		return s.applyRefutation(e, notice.Sequence, s.now.Add(-notice.Age))
	default:
		// Newer versions may send other kinds of evidence.
		return false
	}
}

func (s *State) applyRefusal(e *endpoint, sequence uint64, at time.Time) bool {
	e.refusedAt = laterTime(e.refusedAt, at)
	if sequence < e.knownSequence || (e.leavingByRefusal && sequence == e.knownSequence) {
		return false
	}
	e.knownSequence = sequence
	changed := !e.leaving
	e.leaving, e.leavingByRefusal = true, true
	if e.Kind != MemberEngine {
		s.scheduleRefusalEnd(e, sequence)
	}
	if changed {
		s.endpointLeavingChanged(e, "endpoint refused a connection; it gets no new work until it reports")
	}
	return true
}

// scheduleRefusalEnd ends the refusal of a plain service after
// serviceRefusalDuration.
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
	if sequence <= e.knownSequence {
		return false
	}
	e.knownSequence, e.knownSequenceAt = sequence, at
	if !e.leavingByRefusal {
		return false
	}
	e.leaving, e.leavingByRefusal = false, false
	s.endpointLeavingChanged(e, "endpoint answers again")
	return true
}

func (s *State) endpointLeavingChanged(e *endpoint, text string) {
	s.emit(Note{Part: "members", Text: text, Endpoint: e.id})
	s.applyEndpointChange()
	s.syncEngineViews()
}

// recordLeavingNotice keeps a notice for heartbeats to repeat, unless it is too
// old or a kept notice about the same incarnation is as new.
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

// leavingRecordIndex returns the index of the notice about an incarnation, or
// -1.
func (s *State) leavingRecordIndex(id EndpointID, incarnation Incarnation) int {
	return slices.IndexFunc(s.members.leavingRecords, func(r leavingRecord) bool {
		return r.Endpoint == id && r.Incarnation == incarnation
	})
}

// applyRecordedLeaving applies the kept notice about an incarnation that the
// list shows for the first time, or again after an outdated snapshot.
func (s *State) applyRecordedLeaving(e *endpoint) {
	if i := s.leavingRecordIndex(e.id, e.Incarnation); i >= 0 {
		s.applyLeavingNotice(s.members.leavingRecords[i].notice(s.now))
	}
}

// advanceLeavingNotices drops expired notices and moves on to those that the
// next heartbeats carry.
func (s *State) advanceLeavingNotices() {
	s.members.leavingOffset += leavingNoticeLimit
	if len(s.members.leavingRecords) <= leavingNoticeLimit {
		s.members.leavingOffset = 0
	}
	s.members.leavingRecords = slices.DeleteFunc(s.members.leavingRecords, func(r leavingRecord) bool {
		return s.now.Sub(r.at) > leavingRepeatPeriod
	})
}

// leavingNotices returns the notices for a heartbeat. If there are too many for
// one heartbeat, each tick sends the next ones.
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
