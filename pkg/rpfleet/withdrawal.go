package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Where Policy.StrictWithdrawal is set, keys are accepted only up to 0.8 of
// Policy.WithdrawalBound after the time as of which the configuration was known to be
// the newest one. These constants keep that age low enough while an instance reaches
// the planner or the store, as docs/design/account-keys.md computes:
//
//   - The planner asks the store all the time. A call that waits for changes counts
//     from its begin, so the planner's statements are up to twice as old as the wait.
//   - The planner's answers pass the age of its statement on, every 0.5 to 0.75 s at
//     75 instances.
//   - An instance whose own statement gets too old asks the store itself. The first
//     call doesn't wait for changes.
const (
	plannerConfirmWaitShare = 0.03
	ownConfirmAgeShare      = 0.4
	ownConfirmWaitShare     = 0.2
	// unconfirmedRetryAfter is the Retry-After while keys are not accepted. After a
	// freeze or a cut, the store answers within about this time.
	unconfirmedRetryAfter = 500 * time.Millisecond
)

// confirmsKeys reports whether requests depend on a confirmed configuration.
func (s *State) confirmsKeys() bool { return s.policy.StrictWithdrawal && s.accounts() != nil }

// applyCurrencyPolicy passes the settings of the withdrawal of keys on.
func (s *State) applyCurrencyPolicy() {
	s.currency.Strict, s.currency.Bound = s.policy.StrictWithdrawal, s.policy.WithdrawalBound
}

// needsOwnConfirmation reports whether this instance has to ask the store itself
// because the planner's answers no longer confirm the configuration.
func (s *State) needsOwnConfirmation() bool {
	return s.confirmsKeys() && s.currency.Age(s.now) >= shareOf(s.policy.WithdrawalBound, ownConfirmAgeShare)
}

// confirmationWait returns how long a call for the configuration may wait, so that
// its answer confirms the configuration in time.
func (s *State) confirmationWait() time.Duration {
	bound := s.policy.WithdrawalBound
	// A store whose answers don't confirm must not be asked without a pause.
	answeredLongAgo := s.now.Sub(s.configAskedAt) >= shareOf(bound, ownConfirmAgeShare)
	switch {
	case s.needsOwnConfirmation() && answeredLongAgo:
		return 0
	case s.isPlanner():
		return shareOf(bound, plannerConfirmWaitShare)
	}
	return shareOf(bound, ownConfirmWaitShare)
}

// confirmConfig records that the configuration in force was the newest one at asOf.
func (s *State) confirmConfig(asOf time.Time) {
	s.currency.Confirm(asOf)
	if s.keysRefusedSince.IsZero() || !s.currency.Accepts(s.now) {
		return
	}
	s.note("accounts", "this instance accepts keys again", Field{"config_version", s.configVersion()},
		Field{"refused_for", s.now.Sub(s.keysRefusedSince)}, Field{"config_age", s.currency.Age(s.now)})
	s.keysRefusedSince = time.Time{}
}

// ConfigAge returns the time since the configuration in force was last known to be the
// newest one, or a negative duration if it never was.
func (s *State) ConfigAge() time.Duration {
	age := s.currency.Age(s.now)
	if age > maxConfigAge {
		return -1
	}
	return age
}

// AccountStatus is the state of the accounts at an instance, for its metrics.
type AccountStatus struct {
	Accounts int
	// ConfigAge is as in State.ConfigAge.
	ConfigAge    time.Duration
	KeysAccepted bool
}

// AccountStatus returns the state of the accounts at the given time.
func (s *State) AccountStatus(now time.Time) AccountStatus {
	age := s.currency.Age(now)
	if age > maxConfigAge {
		age = -time.Second
	}
	return AccountStatus{Accounts: s.accounts().Len(), ConfigAge: age, KeysAccepted: s.currency.Accepts(now)}
}

// maxConfigAge is the age from which a confirmation says no more than none.
const maxConfigAge = time.Hour

// unconfirmedRefusal refuses a request with a known key, which may have been
// withdrawn.
func (s *State) unconfirmedRefusal() *rpverdict.Refusal {
	if s.keysRefusedSince.IsZero() {
		s.keysRefusedSince = s.now
		s.note("accounts", "this instance no longer accepts keys", Field{"reason", s.unconfirmedReason()},
			Field{"config_version", s.configVersion()}, Field{"config_age", s.ConfigAge()},
			Field{"planner_age", s.ageOrNone(s.demand.placementAsOf)}, Field{"store_age", s.ageOrNone(s.configAskedAt)})
	}
	return newRefusal(rpverdict.CodeAccountsUnconfirmed, "The configuration was not confirmed recently.", unconfirmedRetryAfter)
}

// ageOrNone returns the time since at for the log, or nil if at is zero.
func (s *State) ageOrNone(at time.Time) any {
	if at.IsZero() {
		return nil
	}
	return s.now.Sub(at)
}

func (s *State) unconfirmedReason() string {
	switch {
	case s.configUndecoded:
		return "the newest configuration can't be decoded"
	case s.configLowered:
		return "the store has a lower version of the configuration than the one in force"
	case s.ConfigAge() < 0:
		return "the configuration was never confirmed"
	case s.now.Sub(s.demand.placementAsOf) < s.currency.Age(s.now):
		return "the planner does not confirm the configuration, and the store does not answer"
	}
	return "neither the planner nor the store has answered"
}
