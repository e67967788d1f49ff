package rpfleet

import (
	"slices"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// accountState is the account of a request.
type accountState struct {
	// account is the name of the caller's account; "" for anonymous callers and
	// without accounts.
	account string
	// hideCredential says that the caller's key must not reach an endpoint.
	hideCredential bool
	charged        charge
}

// admitKey identifies a request that arrives. Besides the refusals of identify, it
// refuses a request whose key may have been withdrawn. On an anonymous route, such a
// request is served without an account.
func (s *State) admitKey(r *request) *rpverdict.Refusal {
	route := r.route
	if refusal := s.identify(r); refusal != nil || r.account == "" || s.currency.Accepts(s.now) {
		return refusal
	}
	if r.route.Anonymous {
		r.account, r.route = "", route
		return nil
	}
	return s.unconfirmedRefusal()
}

// identify sets the account of a request by its key, and its rank if the account has
// one. It returns a refusal if the route requires an account and the key has none.
func (s *State) identify(r *request) *rpverdict.Refusal {
	r.account, r.hideCredential = "", false
	if s.config.Accounts == nil {
		return nil
	}
	r.hideCredential = true
	account, ok := s.config.Accounts.Lookup(r.Credential)
	if !ok {
		if r.route.Anonymous {
			return nil
		}
		return s.unknownKeyRefusal(r)
	}
	r.account = account.Name
	if account.HasRank && account.Rank != r.route.Rank {
		// The request gets a route of its own, so that every decision by the rank of
		// the route uses that of the account.
		route := *r.route
		route.Rank = account.Rank
		r.route = &route
	}
	return nil
}

func (s *State) unknownKeyRefusal(r *request) *rpverdict.Refusal {
	detail := "The request has no readable key."
	if !r.Credential.IsZero() {
		detail = "The key belongs to no account."
	}
	return newRefusal(rpverdict.CodeUnknownKey, detail, 0)
}

// noteArrivalRefused logs the refusal of a request at its arrival. Refusals over a quota
// are logged by account, because there may be hundreds a second.
func (s *State) noteArrivalRefused(r *request, refusal *rpverdict.Refusal) {
	if refusal.Code == rpverdict.CodeQuotaExceeded {
		return
	}
	s.noteRequest(r, "refused a request", Field{"refusal", string(refusal.Code)}, Field{"detail", refusal.Detail},
		Field{"account", r.account}, Field{"key", r.keyForLog()}, Field{"config_version", s.configVersion()},
		Field{"config_age", s.now.Sub(s.configAt)}, Field{"retry_after", refusal.RetryAfter})
}

// keyForLog returns the digits of the caller's key that may be logged, or "" if
// callers are not identified.
func (r *request) keyForLog() string {
	if !r.hideCredential {
		return ""
	}
	return r.Credential.String()
}

// identifyWaiting identifies the waiting requests again after a change of the
// configuration and refuses those whose key was withdrawn. Requests that may have run
// go on, also those that wait for another attempt.
func (s *State) identifyWaiting() {
	if s.accounts() == nil {
		return
	}
	for _, service := range sortedKeys(s.queues) {
		for _, r := range slices.Clone(s.queues[service]) {
			if r.phase == phaseWaiting && r.possibleRuns == 0 && !r.responseStarted {
				s.identifyAgain(r)
			}
		}
	}
}

// identifyAgain identifies a waiting request. Its rank stays, because it orders the
// queue that holds the request. If it has another account now, that one is charged.
func (s *State) identifyAgain(r *request) {
	route, account := r.route, r.account
	refusal := s.identify(r)
	r.route = route
	if refusal == nil && r.account != account {
		s.refundUnlessRun(r, false)
		refusal = s.chargeQuota(r)
	}
	if refusal != nil {
		s.refuseRequest(r, refusal)
	}
}

// accounts returns the directory of the configuration in force, or nil.
func (s *State) accounts() *rpaccount.Directory {
	if s.config == nil {
		return nil
	}
	return s.config.Accounts
}
