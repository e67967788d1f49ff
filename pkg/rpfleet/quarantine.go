package rpfleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// A part of a prompt may crash every engine that begins to answer a request with it.
// Such a part is put into quarantine: its requests are refused and reach no engine.
//
// The evidence is a stream that stopped between its head and its first event while
// its engine crashed. All instances pool their evidence, since each sees only a few
// of the requests: the planner does so from their demands and passes the result on
// with its answers. An instance that the planner does not answer uses the store, and
// so does one that has just started: no process remembers what it knew before.
const (
	// minCrashes is the number of crashed engines that puts a part into quarantine
	// if no request with it is known to have had a first event.
	minCrashes = 2
	// minCrashesAfterUse and minCrashSpan apply to a part that requests had before:
	// so many engines must have crashed since the last first event, over such a
	// time. Engines that crash together for another reason don't count.
	minCrashesAfterUse = 3
	minCrashSpan       = 1500 * time.Millisecond
	// quarantineTime is how long a part stays in quarantine after its last crash, and
	// how long a crash and the use of a part by other instances are remembered.
	quarantineTime = 10 * time.Minute
	// minAdoptedTime is the least time left at which an instance adopts a quarantine
	// that another one reports. Copies end later than the original, by the time that
	// messages take, and must not prolong it.
	minAdoptedTime = 10 * time.Second
	// maxCrashes and maxUsedParts bound the memory for crashes and for parts in
	// use.
	maxCrashes   = 64
	maxUsedParts = 4096
	// maxPartBytes and maxCrashParts bound one prompt in a report. The most
	// specific parts are at the end of a prompt.
	maxPartBytes  = 128
	maxCrashParts = 32
	// maxCrashPrompts bounds the prompts of one crash, maxReportedCrashes the
	// crashes of one report, the newest ones. An engine may begin to answer a whole
	// batch of requests when it crashes.
	maxCrashPrompts    = 16
	maxReportedCrashes = 16
	// crashCheckTime is how long a request waits at most for the answer whether its
	// engine has crashed.
	crashCheckTime = time.Second
	// watchTime is how long the planner is asked more often after a new part is
	// watched.
	watchTime = 5 * time.Second
	// suspectRetryAfter is the Retry-After of a request with a part that one engine
	// crashed on, while the planner can't be asked about other crashes.
	suspectRetryAfter = 2 * time.Second
)

// crashID identifies a crash. An incarnation crashes at most once.
type crashID struct {
	endpoint    rpcore.EndpointID
	incarnation rpcore.Incarnation
}

func (a crashID) compare(b crashID) int {
	return cmp.Or(strings.Compare(string(a.endpoint), string(b.endpoint)), strings.Compare(string(a.incarnation), string(b.incarnation)))
}

// crash is an engine that crashed, with the prompts of the streams that had a head
// but no event then. A prompt lacks its last part.
type crash struct {
	at      time.Time
	prompts [][]string
}

// addPrompt adds a prompt and reports whether it is new.
func (c *crash) addPrompt(prompt []string) bool {
	if len(c.prompts) >= maxCrashPrompts || slices.ContainsFunc(c.prompts, func(known []string) bool { return slices.Equal(known, prompt) }) {
		return false
	}
	c.prompts = append(c.prompts, prompt)
	return true
}

// crashCheck is a request whose stream stopped at its start, until it is known
// whether its engine has crashed.
type crashCheck struct {
	crashID
	request *request
	at      time.Time
}

// quarantineState is what is known of parts that crash engines.
type quarantineState struct {
	// usedAt is when a request of this instance with a part last had a first event.
	// usedElsewhereAt is the same for other instances, as far as reported.
	usedAt          map[string]time.Time
	usedElsewhereAt map[string]time.Time
	checks          []crashCheck
	// ownCrashes were seen by this instance; crashes are those of all instances, as
	// far as known.
	ownCrashes map[crashID]*crash
	crashes    map[crashID]*crash
	// known says that this process was told the parts in quarantine, by the planner
	// or by the store. Until then, it sends no request with shared parts and, as the
	// planner, tells no decision. adoptedAt is when it last added parts of the store.
	known     bool
	adoptedAt time.Time
	// storeRead says that the store's table of evidence was read whole.
	storeRead bool
	// parts holds the end of the quarantine of each part.
	parts map[string]time.Time
	// unusedWhenFound says of parts in quarantine that this instance knew no use of
	// them when it decided. It may learn of an earlier use only later.
	unusedWhenFound map[string]bool
	// watched are the parts that may have caused a crash. The value says that no
	// request with it is known to have had a first event. watchedAt is when a part
	// was last added.
	watched   map[string]bool
	watchedAt time.Time
	// plannerLacksQuarantine says that the planner's last answer had no decision on
	// parts: its version is an earlier one, or it has not read the quarantine yet.
	plannerLacksQuarantine bool
	// postedAt is when evidence was last written to the store, and unposted says
	// that there is newer evidence.
	postedAt time.Time
	unposted bool
	// postedParts are the parts that this instance, as the planner, last wrote to the
	// store, at partsPostedAt.
	postedParts   []string
	partsPostedAt time.Time
}

func (s *State) initQuarantine() {
	s.quarantine = quarantineState{
		usedAt: map[string]time.Time{}, usedElsewhereAt: map[string]time.Time{},
		ownCrashes: map[crashID]*crash{}, crashes: map[crashID]*crash{},
		parts: map[string]time.Time{}, unusedWhenFound: map[string]bool{}, watched: map[string]bool{},
	}
}

// recordPartsUsed records that a request had its first event.
func (s *State) recordPartsUsed(r *request) {
	q := &s.quarantine
	for _, part := range reportedPrompt(r.sharedParts()) {
		q.usedAt[part] = s.now
		if _, ok := q.watched[part]; ok {
			s.evaluateOwnEvidence()
		}
	}
	if len(q.usedAt) > maxUsedParts {
		q.forgetOldestUses()
	}
}

// forgetOldestUses forgets the older half of the uses.
func (q *quarantineState) forgetOldestUses() {
	times := slices.SortedFunc(maps.Values(q.usedAt), time.Time.Compare)
	middle := times[len(times)/2]
	maps.DeleteFunc(q.usedAt, func(_ string, at time.Time) bool { return !at.After(middle) })
}

// checkCrash asks whether the engine of a stream that stopped at its start has
// crashed. The request waits for the answer, so that it does not crash another
// engine. It reports whether the engine is asked.
func (s *State) checkCrash(r *request, e *endpoint) bool {
	if len(r.sharedParts()) == 0 {
		return false
	}
	check := crashCheck{crashID: crashID{e.ID, e.Incarnation}, request: r, at: s.now}
	s.quarantine.checks = append(s.quarantine.checks, check)
	s.note("members", "a stream stopped between its head and its first event", Field{"request_id", string(r.ID)},
		Field{"endpoint", string(e.ID)}, Field{"prompt_parts", strings.Join(reportedPrompt(r.sharedParts()), ",")})
	s.emit(CheckEngine{Endpoint: e.ID, Incarnation: e.Incarnation, Address: e.Address})
	return true
}

// handleEngineChecked ends the checks of an engine.
func (s *State) handleEngineChecked(ev EngineChecked) {
	id := crashID{ev.Endpoint, ev.Incarnation}
	var ended []crashCheck
	s.quarantine.checks = slices.DeleteFunc(s.quarantine.checks, func(c crashCheck) bool {
		if c.crashID == id {
			ended = append(ended, c)
		}
		return c.crashID == id
	})
	for _, check := range ended {
		if !ev.Alive {
			s.recordCrash(check)
		}
		s.resumeAfterCheck(check, !ev.Alive)
	}
}

// resumeAfterCheck sends a request again whose engine lives, and refuses one that
// may have crashed its engine: it could crash the next one too.
func (s *State) resumeAfterCheck(check crashCheck, crashed bool) {
	r := check.request
	if r.phase != phaseWaiting {
		return
	}
	if crashed {
		s.refuseRequest(r, s.unansweredRefusal(r, s.brokenCode(r), "The engine crashed as it began to answer the request."))
		return
	}
	r.retryNotBefore = s.now
	s.dispatch(r)
}

// brokenCode returns the code for a request whose attempt broke.
func (s *State) brokenCode(r *request) rpverdict.Code {
	if r.responseStarted {
		return rpverdict.CodeStreamBroken
	}
	return rpverdict.CodeAttemptFailed
}

// recordCrash records a crash that this instance has seen.
func (s *State) recordCrash(check crashCheck) {
	q := &s.quarantine
	prompt := reportedPrompt(check.request.sharedParts())
	s.note("members", "an engine crashed as it began to answer a request", Field{"request_id", string(check.request.ID)},
		Field{"endpoint", string(check.endpoint)}, Field{"prompt_parts", strings.Join(prompt, ",")})
	addCrash(q.ownCrashes, check.crashID, check.at, prompt)
	if addCrash(q.crashes, check.crashID, check.at, prompt) {
		s.expireEvidenceLater()
	}
	q.unposted = true
	s.evaluateOwnEvidence()
	s.reportNeed()
	s.postEvidence()
}

// reportedPrompt returns the parts of a prompt that are reported, remembered and
// logged. Callers choose their names and number.
func reportedPrompt(parts []string) []string {
	parts = slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return len(part) > maxPartBytes })
	return parts[max(0, len(parts)-maxCrashParts):]
}

// addCrash adds a prompt to a crash and reports whether it is new.
func addCrash(crashes map[crashID]*crash, id crashID, at time.Time, prompt []string) bool {
	c := crashes[id]
	if c == nil {
		if len(crashes) >= maxCrashes {
			ids := newestCrashes(crashes)
			oldest := ids[len(ids)-1]
			if at.Before(crashes[oldest].at) {
				// It was forgotten before, and its instance reports it again.
				return false
			}
			delete(crashes, oldest)
		}
		c = &crash{at: at}
		crashes[id] = c
	}
	return c.addPrompt(prompt)
}

// newestCrashes returns the ids of crashes, the newest first.
func newestCrashes(crashes map[crashID]*crash) []crashID {
	return slices.SortedFunc(maps.Keys(crashes), func(a, b crashID) int {
		return cmp.Or(crashes[b].at.Compare(crashes[a].at), a.compare(b))
	})
}

// lastUse returns when a request with a part last had a first event, or the zero
// time if that is not known.
func (q *quarantineState) lastUse(part string) time.Time {
	return maxTime(q.usedAt[part], q.usedElsewhereAt[part])
}

// evaluateOwnEvidence decides on the parts unless the planner does.
func (s *State) evaluateOwnEvidence() {
	if s.FollowsEvidence() {
		s.evaluateEvidence()
	}
}

// withoutPlanner reports whether no planner decides on parts for this instance: the
// planner does not answer it, its own lease has ended, or the planner tells no
// decision.
func (s *State) withoutPlanner() bool {
	return !s.isPlanner() && (s.lease.holderUnavailable || s.lease.row.Holder == s.self.Instance || s.quarantine.plannerLacksQuarantine)
}

// FollowsEvidence reports whether this instance follows the evidence in the store:
// it is the planner, the planner does not answer it, or it was not told of a
// quarantine yet.
func (s *State) FollowsEvidence() bool {
	return s.isPlanner() || s.withoutPlanner() || !s.quarantine.known
}

// evaluateEvidence puts parts into quarantine that explain the known crashes, and
// releases those whose crashes other parts explain.
func (s *State) evaluateEvidence() {
	q := &s.quarantine
	q.expire(s.now)
	found, watched := q.explainCrashes()
	changed := false
	for _, part := range found {
		if _, ok := q.parts[part]; !ok {
			changed = true
			s.note("requests", "a prompt part that crashes engines is put into quarantine", Field{"prompt_part", part},
				Field{"crashes", q.countCrashes(part)}, Field{"known_crashes", len(q.crashes)}, Field{"for", quarantineTime})
		}
		q.parts[part] = q.lastCrash(part).Add(quarantineTime)
		q.unusedWhenFound[part] = q.lastUse(part).IsZero()
	}
	for _, part := range sortedKeys(q.parts) {
		if slices.Contains(found, part) || q.countCrashes(part) == 0 {
			continue
		}
		if _, unexplained := watched[part]; unexplained && !(q.unusedWhenFound[part] && !q.lastUse(part).IsZero()) {
			continue
		}
		changed = true
		delete(q.parts, part)
		delete(q.unusedWhenFound, part)
		s.note("requests", "a prompt part is released from quarantine", Field{"prompt_part", part}, Field{"crashes", q.countCrashes(part)})
	}
	if !s.isPlanner() {
		// The planner knew more crashes.
		for part, unused := range q.watched {
			if _, ok := watched[part]; !ok && unused && q.lastUse(part).IsZero() {
				watched[part] = true
			}
		}
	}
	s.setWatched(watched)
	if !changed {
		return
	}
	s.postQuarantine()
	s.dispatchAll()
}

// expireEvidenceLater evaluates the evidence again when the present evidence is too
// old, so that its parts are no longer watched.
func (s *State) expireEvidenceLater() {
	s.runAfter(quarantineTime+time.Second, (*State).evaluateOwnEvidence)
}

// setWatched replaces the watched parts.
func (s *State) setWatched(watched map[string]bool) {
	q := &s.quarantine
	for part := range watched {
		if _, ok := q.watched[part]; !ok {
			q.watchedAt = s.now
		}
	}
	q.watched = watched
}

// watchesNewParts reports whether a part was added to the watched ones so recently
// that the decision on it may be near.
func (s *State) watchesNewParts() bool {
	return len(s.quarantine.watched) > 0 && s.now.Sub(s.quarantine.watchedAt) < watchTime
}

// expire forgets old evidence.
func (q *quarantineState) expire(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) > quarantineTime }
	maps.DeleteFunc(q.crashes, func(_ crashID, c *crash) bool { return old(c.at) })
	maps.DeleteFunc(q.ownCrashes, func(_ crashID, c *crash) bool { return old(c.at) })
	maps.DeleteFunc(q.usedElsewhereAt, func(_ string, at time.Time) bool { return old(at) })
	maps.DeleteFunc(q.parts, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(q.unusedWhenFound, func(part string, _ bool) bool { return q.parts[part].IsZero() })
}

// quarantineRefusal returns the refusal of a request with a part in quarantine, or
// nil. Without the planner's knowledge, a part that one engine crashed on counts
// too, and before this instance was told of the quarantine, any part.
func (s *State) quarantineRefusal(r *request) *rpverdict.Refusal {
	q := &s.quarantine
	if !q.known && len(r.sharedParts()) > 0 {
		return newRefusal(rpverdict.CodeQuarantineUnknown, "This instance was not told yet which prompt parts are in quarantine.", startupRetryAfter)
	}
	if len(q.parts) == 0 && len(q.watched) == 0 {
		return nil
	}
	for _, part := range r.sharedParts() {
		if until := q.parts[part]; until.After(s.now) {
			return s.refusalOfPart(r, "Engines crash on the part "+part+" of the prompt.", until.Sub(s.now))
		}
		if q.watched[part] && q.lastUse(part).IsZero() && s.withoutPlanner() {
			return s.refusalOfPart(r, "An engine crashed on a request with the part "+part+" of the prompt.", suspectRetryAfter)
		}
	}
	return nil
}

func (s *State) refusalOfPart(r *request, detail string, retryAfter time.Duration) *rpverdict.Refusal {
	if r.possibleRuns > 0 {
		return s.unansweredRefusal(r, s.brokenCode(r), detail)
	}
	return newRefusal(rpverdict.CodePromptQuarantined, detail, retryAfter)
}
