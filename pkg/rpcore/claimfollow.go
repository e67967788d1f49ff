package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// claimPollLimit bounds the delay between two looks at the claim of an
// earlier request.
const claimPollLimit = 5 * time.Second

// claimFound acts on the row that another request with the same key left. A
// request without a row, or with a released one, claims the key itself.
func (s *State) claimFound(r *request, row *Row) {
	switch {
	case row == nil:
		s.claimAgain(r, 0)
	case row.Claim == nil:
		s.refuseEarlierUnknown(r, "The claim of the earlier request can't be read.")
	case row.Claim.State == ClaimReleased:
		s.claimAgain(r, row.Version)
	case row.Claim.Fingerprint != r.Fingerprint:
		s.refuse(r, rpverdict.CodeIdempotencyKeyReused, "The earlier request had another method, path or body.")
	case row.Claim.State == ClaimFinished:
		s.replay(r, row.Claim.Outcome)
	case row.Claim.State == ClaimUncertain:
		s.refuseEarlierUnknown(r, "The earlier request ended without an answer.")
	case s.ownerGone(row.Claim):
		s.refuseEarlierUnknown(r, "The instance that ran the earlier request is gone.")
	default:
		s.pollClaim(r)
	}
}

// claimAgain claims the key at once the first time and with a delay when
// others compete for it.
func (s *State) claimAgain(r *request, version uint64) {
	if r.polls == 0 {
		r.polls++
		s.claimRequest(r, version)
		return
	}
	s.afterPollDelay(r, func(s *State) { s.claimRequest(r, version) })
}

func (s *State) replay(r *request, outcome *Outcome) {
	if outcome == nil || outcome.Truncated {
		refused := rpverdict.Refuse(rpverdict.CodeOutcomeNotKept, "The earlier request ran.")
		refused.Verdict = rpverdict.Ran
		s.refuseWith(r, refused)
		return
	}
	s.emit(ReplayOutcome{Request: r.ID, Outcome: *outcome})
	s.endRequest(r)
}

func (s *State) refuseEarlierUnknown(r *request, detail string) {
	refused := rpverdict.Refuse(rpverdict.CodeEarlierAttemptUnknown, detail)
	refused.Verdict = rpverdict.MayHaveRun
	s.refuseWith(r, refused)
}

// ownerGone reports whether no outcome can come any more, since the owner's
// incarnation is over.
func (s *State) ownerGone(claim *ClaimRow) bool {
	if claim.Owner == s.self.Instance {
		return claim.OwnerIncarnation != s.self.Incarnation
	}
	return s.incarnationGone(string(claim.Owner), claim.OwnerIncarnation)
}

// pollClaim reads the claim of the earlier request again after a delay.
func (s *State) pollClaim(r *request) {
	r.phase = phaseFollowing
	s.afterPollDelay(r, func(s *State) {
		s.readTable([]RowKey{claimKey(r)}, func(s *State, read TableReadDone) {
			s.claimRead(r, read)
		})
	})
}

func (s *State) claimRead(r *request, read TableReadDone) {
	switch {
	case r.phase != phaseFollowing:
	case read.Unavailable:
		s.pollClaim(r)
	default:
		s.claimFound(r, findRow(read.Rows, claimKey(r)))
	}
}

// afterPollDelay calls run after a growing delay unless the request has ended.
func (s *State) afterPollDelay(r *request, run func(*State)) {
	r.polls++
	delay := doubled(retryDelayBase, r.polls, claimPollLimit)
	s.runAfter(s.jitter(delay), func(s *State) {
		if r.phase != phaseEnded {
			run(s)
		}
	})
}
