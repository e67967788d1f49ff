package rpfleet

import "time"

// The store may come back from a copy that is some seconds old, in a new era. What the
// instances wrote since the copy was made is gone, rows of before are back, and numbers
// are given out again. Operators and endpoints write their rows again; this project's
// rows are written again by those who know their content:
//
//   - the planner's lease by its holder, with its next renewal. Any other instance
//     takes the lease of an earlier era only after the time for which an unknown
//     holder may still use it.
//   - the quarantine by the planner, evidence and demands by instances that the
//     planner does not answer.
//
// docs/design/store-era.md has the cases.

// epochsPerEra bounds the epochs of the planners of one era. Epochs are fencing tokens,
// which must not fall or be used twice when the rows with the last ones are lost.
const epochsPerEra = 1 << 20

// storeEra is what this instance knows of the era of the store.
type storeEra struct {
	number uint64
	// seenAt is when this instance learned of the era, which had begun before.
	seenAt time.Time
	// witnessed says that this process knew an earlier era.
	witnessed bool
	// listAfter and configAfter are the times from seenAt until the list and the
	// configuration were read in the era, here or by the planner; 0 means not yet.
	listAfter, configAfter time.Duration
}

// handleStoreEraBegan records a new era and writes again what is lost.
func (s *State) handleStoreEraBegan(ev StoreEraBegan) {
	if ev.Era <= s.era.number {
		return
	}
	before := s.era.number
	s.era = storeEra{number: ev.Era, seenAt: s.now, witnessed: s.era.witnessed || before > 0}
	if before == 0 {
		return
	}
	s.note("members", "the store has come back from an earlier copy", Field{"era", ev.Era}, Field{"era_before", before},
		Field{"planner", s.isPlanner()}, Field{"config_version", s.configVersion()}, Field{"quarantined_parts", len(s.quarantine.parts)})
	// The copy lacks the entries of endpoints that joined since.
	s.storeRestoredAt = s.now
	s.quarantine.postedParts, s.quarantine.partsPostedAt = nil, time.Time{}
	// If the planner does not answer, others are told what the store has lost.
	s.quarantine.unposted = s.quarantine.unposted || len(s.quarantine.ownCrashes) > 0 || len(s.quarantine.parts) > 0
	s.postEvidence()
	s.demand.postedAt = time.Time{}
}

// recordListOfEra records that the list is known as of an era.
func (s *State) recordListOfEra(era uint64) {
	if era == s.era.number && s.era.listAfter == 0 {
		s.era.listAfter = max(1, s.now.Sub(s.era.seenAt))
		s.noteEraFollowed()
	}
}

// recordConfigOfEra is the same for the configuration.
func (s *State) recordConfigOfEra(era uint64) {
	if era == s.era.number && s.era.configAfter == 0 {
		s.era.configAfter = max(1, s.now.Sub(s.era.seenAt))
		s.noteEraFollowed()
	}
}

func (s *State) noteEraFollowed() {
	if !s.era.witnessed || s.era.listAfter == 0 || s.era.configAfter == 0 {
		return
	}
	s.note("members", "the list and the configuration are those of the store's new era", Field{"era", s.era.number},
		Field{"list_after", s.era.listAfter}, Field{"config_after", s.era.configAfter}, Field{"config_version", s.configVersion()},
		Field{"planner", s.isPlanner()})
}

// storeState returns the state of the store for an answer to a demand.
func (s *State) storeState() *StoreState {
	if s.era.number == 0 {
		return nil
	}
	state := &StoreState{Era: s.era.number}
	if s.config != nil {
		state.ConfigRevision = s.config.Revision
	}
	return state
}

// applyStoreState applies the planner's state of the store and returns the era of its
// answer. A planner that tells none is of an earlier version, and in the same era.
func (s *State) applyStoreState(state *StoreState) uint64 {
	if state == nil {
		return s.era.number
	}
	s.handleStoreEraBegan(StoreEraBegan{Era: state.Era})
	return state.Era
}

// predatesEra reports whether a row of the lease was written in an earlier era, so that
// a later one may be lost. A row that is missing is lost too, unless there never was one.
func (s *State) predatesEra(row LeaseRow) bool {
	if row.Revision == 0 {
		return s.era.number > 0 && (s.era.witnessed || !s.policy.FirstStart)
	}
	return row.Era < s.era.number
}

// lostHolderUntil returns the time until which a holder whose row is lost may use its
// lease: it renewed it before the era began.
func (s *State) lostHolderUntil() time.Time { return s.era.seenAt.Add(leaseDuration) }

// nextEpoch returns the epoch of the next holder after a row.
func (s *State) nextEpoch(row LeaseRow) uint64 {
	return max(row.Epoch+1, s.era.number*epochsPerEra+1)
}
