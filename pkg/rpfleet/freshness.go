package rpfleet

import "time"

// An instance acts on two things that it knows from the store: the list of endpoints
// and the configuration. Each has a bound, Policy.LeavingBound and
// Policy.ConfigBound, within which a change must be in force. The constants of this
// file divide the bounds among the steps from a change to its effect here:
//
//   - While the planner answers, it names what is new, and its answers may be
//     plannerAgeShare old. A change takes that long at most. After a new planner's
//     first answer, the instance reads the list once itself.
//   - A planner that did not answer the last demand may name nothing for long. What
//     it named counts for unansweredAgeShare only.
//   - Without the planner, the instance asks the store itself, at once and then
//     every readIntervalShare.
//   - While the store can't be reached, a call is given up after callTimeoutShare
//     and repeated after unreachableRetryShare. Both together are the time from the
//     end of a cut, a freeze or an outage to a current view.
//
// An instance whose view is older than its bound goes on serving with it: it may be
// cut off from the store together with its callers and endpoints.
const (
	plannerAgeShare       = 0.75
	unansweredAgeShare    = 0.4
	readIntervalShare     = 0.6
	callTimeoutShare      = 0.5
	unreachableRetryShare = 0.3
	// refusedRetryShare is the share of a bound between two calls to a store that
	// answers them with an error, which takes no time but costs the store.
	refusedRetryShare = 0.6
	// pollWaitShare is how long a call may wait for changes of the list, and
	// pollMarginShare how much later its response may come. After that, the
	// connection is taken to be silent.
	pollWaitShare   = 0.25
	pollMarginShare = 0.25
	// plannerConfigWaitShare is how long the planner's calls wait for a change of
	// the configuration. It confirms its version to other instances for
	// plannerConfigAgeShare after the last response.
	plannerConfigWaitShare = 0.4
	plannerConfigAgeShare  = 0.45
	// configDelayShare is the time from the news of a version to its read, and
	// configSpreadShare the random time in addition, which spreads the reads of all
	// instances. Several versions in quick succession thus cause one read.
	configDelayShare  = 0.15
	configSpreadShare = 0.1
)

const (
	// followerListInterval is the time between two reads of the list by an
	// instance that gets the changes from the planner, as a check that none was
	// lost. plannerListInterval is the interval of the planner, which learns from
	// the list that loads have ended.
	followerListInterval = time.Minute
	plannerListInterval  = 300 * time.Millisecond
	// minStoreRetryDelay is the minimum of StoreRetry. maxOutageCallsPerSecond
	// bounds the calls of all instances together while the store fails, as far as
	// the bounds allow.
	minStoreRetryDelay      = 500 * time.Millisecond
	maxOutageCallsPerSecond = 60.0
)

func shareOf(bound time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(bound))
}

// shorterBound returns the bound that applies to calls for either table.
func (s *State) shorterBound() time.Duration { return min(s.policy.LeavingBound, s.policy.ConfigBound) }

// newsAgeShare returns the share of a bound for which the planner's news count.
func (s *State) newsAgeShare() float64 {
	if s.lease.holderUnavailable {
		return unansweredAgeShare
	}
	return plannerAgeShare
}

// plannerListRecent reports whether the planner's last answer is recent.
func (s *State) plannerListRecent() bool {
	return s.now.Sub(s.listChanges.plannerListAsOf) < shareOf(s.policy.LeavingBound, s.newsAgeShare())
}

// plannerListFresh reports whether the planner's list changes replace reads by this
// instance. The planner can't name a removal that it has not seen, from before it read
// the list for the first time or while it was out of contact. So the instance first
// reads the list once itself, after the first answer behind such a gap.
func (s *State) plannerListFresh() bool {
	return s.plannerListRecent() && !s.listChanges.ownReadBeganAt.Before(s.listChanges.followedSince)
}

// ListInterval returns the time between two reads of the list. It is long for
// an instance that gets the changes from the planner.
func (s *State) ListInterval() time.Duration {
	switch {
	case s.isPlanner():
		return plannerListInterval
	case s.plannerListFresh():
		return followerListInterval
	}
	return shareOf(s.policy.LeavingBound, readIntervalShare)
}

// ListWait returns how long a call may wait for changes of the list.
func (s *State) ListWait() time.Duration { return shareOf(s.policy.LeavingBound, pollWaitShare) }

// ConfigFollowed reports whether the planner confirmed the version of the
// configuration so recently that this instance need not ask the store for changes.
func (s *State) ConfigFollowed() bool {
	return !s.isPlanner() && s.config != nil && s.now.Sub(s.configConfirmedAt) < shareOf(s.policy.ConfigBound, s.newsAgeShare()) &&
		!s.needsOwnConfirmation()
}

// ConfigWait returns how long a call may wait for a change of the
// configuration.
func (s *State) ConfigWait() time.Duration {
	share := readIntervalShare
	if s.isPlanner() {
		share = plannerConfigWaitShare
	}
	wait := shareOf(s.policy.ConfigBound, share)
	if s.confirmsKeys() {
		wait = min(wait, s.confirmationWait())
	}
	return wait
}

// PollMargin returns how much later than its wait time the response of a call may
// come.
func (s *State) PollMargin() time.Duration { return shareOf(s.shorterBound(), pollMarginShare) }

// StoreTimeout bounds the read of a whole table.
func (s *State) StoreTimeout() time.Duration { return shareOf(s.shorterBound(), callTimeoutShare) }

// StoreRetry returns the maximum delay between two reads of one table while the
// store fails. It grows with the number of instances. answered says that the store
// answered with an error.
func (s *State) StoreRetry(answered bool) time.Duration {
	share := unreachableRetryShare
	if answered {
		share = refusedRetryShare
	}
	return min(s.scaleInterval(minStoreRetryDelay, maxOutageCallsPerSecond), shareOf(s.shorterBound(), share))
}

// handleConfigChecked records that the store has no newer configuration than this
// instance.
func (s *State) handleConfigChecked(ev ConfigChecked) {
	s.configConfirmedAt = s.now
	s.configAskedAt, s.configUndecoded = ev.AskedAt, ev.Undecoded
	if s.config != nil && !ev.Undecoded && !s.configLowered && !ev.AskedAt.IsZero() {
		s.confirmConfig(ev.AskedAt)
	}
}

func (s *State) configVersion() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// confirmedConfigVersion returns the version that the planner names to other
// instances, or 0 if it has not asked the store recently.
func (s *State) confirmedConfigVersion() uint64 {
	if s.now.Sub(s.configConfirmedAt) > shareOf(s.policy.ConfigBound, plannerConfigAgeShare) {
		return 0
	}
	return s.configVersion()
}

// checkConfigVersion compares the planner's configuration with the own one. A newer one
// is read after a delay.
func (s *State) checkConfigVersion(named plannerConfig, asOf time.Time) {
	if named.version == 0 {
		return
	}
	s.configNamed = named.revision
	if !s.plannerHasNewerConfig(named) {
		s.configConfirmedAt = maxTime(s.configConfirmedAt, asOf)
		return
	}
	if s.configReadScheduled {
		return
	}
	s.configReadScheduled = true
	delay := shareOf(s.policy.ConfigBound, configDelayShare+configSpreadShare*s.rng.Float64())
	s.runAfter(delay, func(s *State) { s.readNewerConfig(named) })
}

func (s *State) readNewerConfig(named plannerConfig) {
	s.configReadScheduled = false
	if !s.plannerHasNewerConfig(named) {
		return
	}
	s.note("documents", "the planner has a newer configuration", Field{"config_version", s.configVersion()},
		Field{"planner_version", named.version}, Field{"config_age", s.now.Sub(s.configAt)})
	s.emit(ReadConfig{})
}
