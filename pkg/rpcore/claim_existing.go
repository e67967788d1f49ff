package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// maxClaimPollDelay bounds the delay between two reads of the claim of an
// earlier request.
const maxClaimPollDelay = 5 * time.Second

// handleExistingClaim decides what happens to a request whose key was claimed
// before. If the row is missing or released, the request claims the key itself.
// Otherwise the recorded outcome is replayed, the request is refused, or it
// waits for the outcome.
func (s *State) handleExistingClaim(r *request, row *Row) {
	switch {
	case row == nil:
		s.retryClaim(r, 0)
	case row.Claim == nil:
		s.refuseUnknownOutcome(r, "The claim of the earlier request can't be read.")
	case row.Claim.State == ClaimReleased:
		s.retryClaim(r, row.Version)
	case row.Claim.Fingerprint != r.Fingerprint:
		s.refuseRequest(r, rpverdict.CodeIdempotencyKeyReused, "The earlier request had another method, path or body.")
	case row.Claim.State == ClaimFinished:
		s.replayOutcome(r, row.Claim.Outcome)
	case row.Claim.State == ClaimUncertain:
		s.refuseUnknownOutcome(r, "The earlier request ended without an answer.")
	case s.claimOwnerGone(row.Claim):
		s.refuseUnknownOutcome(r, "The instance that ran the earlier request is gone.")
	default:
		s.pollClaim(r)
	}
}

// retryClaim claims the key again: the first time at once, later with a delay,
// since other requests compete for the key.
func (s *State) retryClaim(r *request, version uint64) {
	if r.claimPolls == 0 {
		r.claimPolls++
		s.claimRequest(r, version)
		return
	}
	s.runAfterPollDelay(r, func(s *State) { s.claimRequest(r, version) })
}

func (s *State) replayOutcome(r *request, outcome *Outcome) {
	if outcome == nil || outcome.Truncated {
		refusal := rpverdict.Refuse(rpverdict.CodeOutcomeNotKept, "The earlier request ran.")
		refusal.Verdict = rpverdict.Ran
		s.refuseRequestWith(r, refusal)
		return
	}
	s.emit(ReplayOutcome{Request: r.ID, Outcome: *outcome})
	s.endRequest(r)
}

func (s *State) refuseUnknownOutcome(r *request, detail string) {
	refusal := rpverdict.Refuse(rpverdict.CodeEarlierAttemptUnknown, detail)
	refusal.Verdict = rpverdict.MayHaveRun
	s.refuseRequestWith(r, refusal)
}

// claimOwnerGone reports whether the incarnation of the owner has ended, so
// that the claim gets no outcome any more.
func (s *State) claimOwnerGone(claim *ClaimRow) bool {
	if claim.Owner == s.self.Instance {
		return claim.OwnerIncarnation != s.self.Incarnation
	}
	return s.incarnationGone(string(claim.Owner), claim.OwnerIncarnation)
}

// pollClaim reads the claim of the earlier request again after a delay. It is
// repeated until the claim has a final state or the request expires.
func (s *State) pollClaim(r *request) {
	r.phase = phaseFollowing
	s.runAfterPollDelay(r, func(s *State) {
		s.readTable([]RowKey{claimKey(r)}, func(s *State, read TableReadDone) {
			s.claimReadDone(r, read)
		})
	})
}

func (s *State) claimReadDone(r *request, read TableReadDone) {
	switch {
	case r.phase != phaseFollowing:
	case read.Unavailable:
		s.pollClaim(r)
	default:
		s.handleExistingClaim(r, findRow(read.Rows, claimKey(r)))
	}
}

// runAfterPollDelay calls run after an exponentially growing delay, unless the
// request has ended by then.
func (s *State) runAfterPollDelay(r *request, run func(*State)) {
	r.claimPolls++
	delay := doubled(retryDelayBase, r.claimPolls, maxClaimPollDelay)
	s.runAfter(s.jitter(delay), func(s *State) {
		if r.phase != phaseEnded {
			run(s)
		}
	})
}
