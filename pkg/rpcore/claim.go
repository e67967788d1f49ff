package rpcore

import (
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// claimLifetime is the time for which an idempotency key is remembered.
	claimLifetime = 7 * 24 * time.Hour
	// maxFinalizeTries bounds the attempts to write the final state of a claim.
	// A claim that stays open is safe: later requests with its key are refused.
	maxFinalizeTries = 60
	// maxFinalizeDelay bounds the delay between two of these attempts.
	maxFinalizeDelay = 30 * time.Second
)

// claimView is the state of this instance's claims that are not bound to a
// request.
type claimView struct {
	// finalizing is the number of claims whose final state is not written yet.
	finalizing int
}

// claim is the exclusive right of one request of this instance to run under its
// idempotency key. It is stored as a row of the table.
type claim struct {
	key RowKey
	row ClaimRow
	// version is the version of the row after the last write that is known to
	// be applied.
	version uint64
	// nonces are the nonces of all writes for this claim. Only the owner writes
	// a claim that is not released, so a row with another nonce belongs to
	// another claim.
	nonces     []Nonce
	writeTries int
	finalized  bool
}

func (c *claim) wroteRow(row *Row) bool {
	return slices.Contains(c.nonces, row.Nonce)
}

// newRowWrite returns a conditional write of the claim's row and records its
// nonce.
func (c *claim) newRowWrite(nonce Nonce) RowWrite {
	c.nonces = append(c.nonces, nonce)
	row := c.row
	return RowWrite{Key: c.key, ExpectVersion: c.version, Nonce: nonce, RowBody: RowBody{Claim: &row}}
}

// claimRequest claims the idempotency key of a request before the request is
// queued. version is the version of the released row that the claim replaces,
// or 0.
func (s *State) claimRequest(r *request, version uint64) {
	r.phase = phaseClaiming
	c := &claim{
		key:     claimKey(r),
		version: version,
		row: ClaimRow{
			Owner: s.self.Instance, OwnerIncarnation: s.self.Incarnation,
			Request: r.ID, Fingerprint: r.Fingerprint, State: ClaimOpen,
			ClaimedAt: s.now, ExpiresAt: s.now.Add(claimLifetime),
		},
	}
	s.writeTable([]RowWrite{c.newRowWrite(s.newNonce())}, func(s *State, outcome WriteOutcome, rows []Row) {
		s.claimWritten(r, c, outcome, rows)
	})
}

func claimKey(r *request) RowKey {
	return RowKey{Kind: RowClaim, Service: r.key.Service, Name: r.IdempotencyKey}
}

func (s *State) claimWritten(r *request, c *claim, outcome WriteOutcome, rows []Row) {
	switch outcome {
	case WriteApplied:
		c.version++
		s.claimGranted(r, c)
	case WriteConflict:
		s.handleClaimConflict(r, c, findRow(rows, c.key))
	case WriteUnavailable:
		s.refuseTableUnavailable(r)
	default:
		if row := findRow(rows, c.key); row != nil && row.Version > c.version {
			// The row has a newer version, so the write can't take effect
			// later. Only the owner writes a claim that is not released, so the
			// row shows which request owns the claim although the answer was
			// lost.
			s.handleClaimConflict(r, c, row)
			return
		}
		// The write may still take effect, so release the claim.
		s.finalizeClaim(c, ClaimReleased)
		s.refuseTableUnavailable(r)
	}
}

// claimGranted queues a request that now owns its claim. If the request has
// ended in the meantime, the claim is released.
func (s *State) claimGranted(r *request, c *claim) {
	if r.phase != phaseClaiming {
		s.finalizeClaim(c, ClaimReleased)
		return
	}
	r.claim = c
	r.phase = phaseDelayed
	s.requeue(r)
}

func (s *State) handleClaimConflict(r *request, c *claim, row *Row) {
	if row != nil && c.wroteRow(row) {
		c.version = row.Version
		s.claimGranted(r, c)
		return
	}
	if r.phase == phaseClaiming {
		s.handleExistingClaim(r, row)
	}
}

func (s *State) refuseTableUnavailable(r *request) {
	if r.phase == phaseEnded {
		return
	}
	refusal := rpverdict.Refuse(rpverdict.CodeTableUnavailable, "The request could not be claimed.")
	refusal.RetryAfter = retryAfterDefault
	s.refuseRequestWith(r, refusal)
}

// recordOutcome records the outcome of a request that ran, so that later
// requests with the same key get the same answer. A body above OutcomeBodyLimit
// is not recorded.
func (s *State) recordOutcome(r *request, outcome *Outcome) {
	kept := Outcome{Truncated: true}
	if outcome != nil {
		kept = *outcome
	}
	if len(kept.Body) > OutcomeBodyLimit {
		kept.Truncated = true
	}
	if kept.Truncated {
		kept.Body = nil
	}
	r.claim.row.Outcome = &kept
	r.claim.row.Verdict = rpverdict.Ran
	s.finalizeClaim(r.claim, ClaimFinished)
}

// finalizeWithoutOutcome ends the claim of a request that got no answer. If no
// attempt can have run, the claim is released so that a retry may run.
func (s *State) finalizeWithoutOutcome(r *request) {
	r.claim.row.Verdict = r.verdict
	if r.verdict == rpverdict.NotRun {
		s.finalizeClaim(r.claim, ClaimReleased)
		return
	}
	s.finalizeClaim(r.claim, ClaimUncertain)
}

// finalizeClaim writes the final state of a claim. It overwrites the row and
// never deletes it: after a deletion, the next claim of the key would start at
// version 1 again, and a delayed copy of a conditional write of this claim
// could match it. If the first write of the claim may still take effect, the
// released row uses up the version that this write expects, so that it no
// longer can.
func (s *State) finalizeClaim(c *claim, state ClaimState) {
	if c.finalized {
		return
	}
	c.finalized = true
	c.row.State = state
	s.claims.finalizing++
	s.writeFinalState(c)
}

func (s *State) writeFinalState(c *claim) {
	c.writeTries++
	s.writeTable([]RowWrite{c.newRowWrite(s.newNonce())}, func(s *State, outcome WriteOutcome, rows []Row) {
		s.finalStateWritten(c, outcome, rows)
	})
}

func (s *State) finalStateWritten(c *claim, outcome WriteOutcome, rows []Row) {
	if outcome == WriteApplied {
		s.claimFinalized()
		return
	}
	if outcome == WriteConflict {
		row := findRow(rows, c.key)
		if row == nil || !c.wroteRow(row) || (row.Claim != nil && row.Claim.State == c.row.State) {
			s.claimFinalized()
			return
		}
		c.version = row.Version
	}
	if c.writeTries >= maxFinalizeTries {
		s.emit(Note{Part: "claims", Text: "gave up writing the final state of a claim", Request: c.row.Request})
		s.claimFinalized()
		return
	}
	s.runAfter(s.jitter(finalizeDelay(c.writeTries)), func(s *State) { s.writeFinalState(c) })
}

func (s *State) claimFinalized() {
	s.claims.finalizing--
	s.checkDrained()
}

func finalizeDelay(try int) time.Duration {
	return doubled(retryDelayBase, try, maxFinalizeDelay)
}
