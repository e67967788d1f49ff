package rpfleet

import (
	"slices"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// CrashReport is a crash that an instance has seen.
type CrashReport struct {
	_ struct{} `cbor:",toarray"`

	Endpoint    rpcore.EndpointID
	Incarnation rpcore.Incarnation
	Age         time.Duration
	// Prompts are the prompts of the streams that stopped at their start, without
	// their last parts.
	Prompts [][]string
}

// PartTime is a part of a prompt with a time: how long ago a request with it had its
// first event, or how much longer it is in quarantine.
type PartTime struct {
	_ struct{} `cbor:",toarray"`

	Part string
	Time time.Duration
}

// CrashEvidence is what an instance knows of crashes and of the parts in question.
type CrashEvidence struct {
	_ struct{} `cbor:",toarray"`

	Crashes []CrashReport
	// Used is when requests of the instance with a part in question had a first
	// event.
	Used []PartTime
	// Quarantined are the parts that the instance knows to be in quarantine. A new
	// planner adopts them.
	Quarantined []PartTime
}

// IsEmpty reports whether there is no evidence.
func (v *CrashEvidence) IsEmpty() bool {
	return len(v.Crashes) == 0 && len(v.Used) == 0 && len(v.Quarantined) == 0
}

// AddAge makes the evidence older by d.
func (v *CrashEvidence) AddAge(d time.Duration) {
	for i := range v.Crashes {
		v.Crashes[i].Age += d
	}
	for i := range v.Used {
		v.Used[i].Time += d
	}
	for i := range v.Quarantined {
		v.Quarantined[i].Time -= d
	}
}

// Quarantine is the planner's decision on parts of prompts.
type Quarantine struct {
	_ struct{} `cbor:",toarray"`

	Quarantined []PartTime
	// Watched are the parts that may have caused a crash, Unused those of them that
	// no request is known to have had without a crash.
	Watched []string
	Unused  []string
}

func (q *quarantineState) describeParts(now time.Time) []PartTime {
	var parts []PartTime
	for _, part := range sortedKeys(q.parts) {
		parts = append(parts, PartTime{Part: part, Time: q.parts[part].Sub(now)})
	}
	return parts
}

// ownEvidence returns what other instances need to know.
func (s *State) ownEvidence() CrashEvidence {
	q := &s.quarantine
	evidence := CrashEvidence{Quarantined: q.describeParts(s.now)}
	asked := map[string]bool{}
	for part := range q.watched {
		asked[part] = true
	}
	for part := range q.parts {
		asked[part] = true
	}
	ids := newestCrashes(q.ownCrashes)
	for _, id := range ids[:min(len(ids), maxReportedCrashes)] {
		c := q.ownCrashes[id]
		evidence.Crashes = append(evidence.Crashes, CrashReport{
			Endpoint: id.endpoint, Incarnation: id.incarnation, Age: s.now.Sub(c.at), Prompts: c.prompts,
		})
		for _, prompt := range c.prompts {
			for _, part := range prompt {
				asked[part] = true
			}
		}
	}
	for _, part := range sortedKeys(asked) {
		if at, ok := q.usedAt[part]; ok {
			evidence.Used = append(evidence.Used, PartTime{Part: part, Time: s.now.Sub(at)})
		}
	}
	return evidence
}

// poolEvidence adds the evidence of another instance.
func (s *State) poolEvidence(evidence *CrashEvidence) {
	if evidence.IsEmpty() {
		return
	}
	q := &s.quarantine
	changed := q.adoptParts(evidence.Quarantined, s.now)
	for _, report := range evidence.Crashes {
		for _, prompt := range report.Prompts {
			if addCrash(q.crashes, crashID{report.Endpoint, report.Incarnation}, s.now.Add(-report.Age), reportedPrompt(prompt)) {
				s.expireEvidenceLater()
				changed = true
			}
		}
	}
	for _, used := range evidence.Used {
		at := s.now.Add(-used.Time)
		if !at.After(q.usedElsewhereAt[used.Part]) {
			continue
		}
		q.usedElsewhereAt[used.Part] = at
		_, watched := q.watched[used.Part]
		_, quarantined := q.parts[used.Part]
		changed = changed || watched || quarantined
	}
	if changed {
		s.evaluateEvidence()
	}
}

// adoptParts adds parts that another instance has in quarantine and that are not in
// quarantine here. It reports whether it added one.
func (q *quarantineState) adoptParts(parts []PartTime, now time.Time) bool {
	added := false
	for _, p := range parts {
		if p.Time < minAdoptedTime || q.parts[p.Part].After(now) {
			continue
		}
		q.parts[p.Part] = now.Add(min(p.Time, quarantineTime))
		added = true
	}
	return added
}

// describeQuarantine returns the decision for the answer to a demand, or nil if this
// instance has just started and does not know the one of the planner before.
func (s *State) describeQuarantine() *Quarantine {
	q := &s.quarantine
	if !q.known {
		return nil
	}
	decision := &Quarantine{Quarantined: q.describeParts(s.now)}
	for _, part := range sortedKeys(q.watched) {
		decision.Watched = append(decision.Watched, part)
		if q.watched[part] {
			decision.Unused = append(decision.Unused, part)
		}
	}
	return decision
}

// noteQuarantineKnown records that this process was told the parts in quarantine.
func (s *State) noteQuarantineKnown(source string) {
	if s.quarantine.known {
		return
	}
	s.quarantine.known = true
	s.updateReadiness()
	s.note("requests", "this instance was told which prompt parts are in quarantine", Field{"source", source},
		Field{"prompt_parts", strings.Join(sortedKeys(s.quarantine.parts), ",")}, Field{"watched", len(s.quarantine.watched)})
}

// acceptStoredQuarantine records that the store has told this process the quarantine,
// once it is known that the planner has had time to write a lost one again.
func (s *State) acceptStoredQuarantine() {
	q := &s.quarantine
	if q.known || !q.storeRead || s.era.number > 0 && !s.lease.answered {
		return
	}
	if until := s.lostHolderUntil(); s.predatesEra(s.lease.row) && s.now.Before(until) {
		s.runAt(until, (*State).acceptStoredQuarantine)
		return
	}
	s.noteQuarantineKnown("store")
}

// applyQuarantine replaces what this instance knows by the planner's decision. Parts
// that it adopted after its demand are kept: the planner learns of them with the next
// one.
func (s *State) applyQuarantine(decision *Quarantine, askedAt time.Time) {
	q := &s.quarantine
	before := sortedKeys(q.parts)
	if !askedAt.Before(q.adoptedAt) {
		clear(q.parts)
	}
	q.adoptParts(decision.Quarantined, s.now)
	watched := make(map[string]bool, len(decision.Watched))
	for _, part := range decision.Watched {
		watched[part] = slices.Contains(decision.Unused, part)
	}
	s.setWatched(watched)
	s.noteQuarantineKnown("planner")
	if after := sortedKeys(q.parts); !slices.Equal(before, after) {
		s.note("requests", "the planner's quarantine of prompt parts changed", Field{"prompt_parts", strings.Join(after, ",")})
		s.dispatchAll()
	}
}

// postEvidence writes the evidence to the store if the planner does not answer.
func (s *State) postEvidence() {
	q := &s.quarantine
	if !s.withoutPlanner() || s.now.Sub(q.postedAt) < postEvidenceInterval {
		return
	}
	if !q.unposted && (len(q.ownCrashes) == 0 || s.now.Sub(q.postedAt) < repostEvidenceInterval) {
		return
	}
	q.unposted, q.postedAt = false, s.now
	s.emit(PostEvidence{Instance: s.self.Instance, Evidence: s.ownEvidence()})
}

// postQuarantine writes the planner's quarantine to the store if it has changed or was
// written long ago. Instances that start read it there.
func (s *State) postQuarantine() {
	q := &s.quarantine
	if !s.isPlanner() || !q.known {
		return
	}
	parts := sortedKeys(q.parts)
	if slices.Equal(parts, q.postedParts) && (len(parts) == 0 || s.now.Sub(q.partsPostedAt) < repostQuarantineInterval) {
		return
	}
	q.postedParts, q.partsPostedAt = parts, s.now
	s.emit(PostQuarantine{Parts: q.describeParts(s.now)})
}

const (
	// repostQuarantineInterval is the time after which the planner writes a quarantine
	// again: a write may have failed for good, and the one of an earlier planner may
	// have been carried out late.
	repostQuarantineInterval = 10 * time.Second
	// postEvidenceInterval is the time between two writes of evidence to the store.
	postEvidenceInterval = 100 * time.Millisecond
	// repostEvidenceInterval is the time after which evidence is written again while
	// the planner does not answer: the write before may have failed.
	repostEvidenceInterval = 2 * time.Second
)

// handleEvidenceRead pools the evidence that instances wrote to the store because
// the planner did not answer them.
func (s *State) handleEvidenceRead(ev EvidenceRead) {
	if !s.FollowsEvidence() {
		return
	}
	added := s.quarantine.adoptParts(ev.Quarantined, s.now)
	if added {
		s.quarantine.adoptedAt = s.now
	}
	for i := range ev.Evidence {
		s.poolEvidence(&ev.Evidence[i])
	}
	s.quarantine.storeRead = s.quarantine.storeRead || ev.Complete
	s.acceptStoredQuarantine()
	if added {
		s.note("requests", "prompt parts that the store has in quarantine were adopted", Field{"prompt_parts", strings.Join(sortedKeys(s.quarantine.parts), ",")})
		s.evaluateEvidence()
		s.dispatchAll()
	}
}
