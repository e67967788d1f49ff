package rpsoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	// calmAccount has no quota, floodAccount sends several times its quota.
	calmAccount  = "calm"
	floodAccount = "flood"
	calmKey      = "k-calm"
	floodKey     = "k-flood"
	// oldKey is a key of calmAccount that is withdrawn during the test.
	oldKey     = "k-calm-old"
	unknownKey = "k-nobody"

	accountBound = 3 * time.Second
	quotaWindow  = 4 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20_000
	floodRate    = 3000
	floodBurst   = 6000
	// plainTokens and modelTokens are the costs of requests without and with a model:
	// the default prompt and the limit of output tokens.
	plainTokens = 100
	modelTokens = 148
)

const accountSettings = `
[accounts]
strict_withdrawal = true
withdrawal_bound = "3s"
quota_window = "4s"
quota_overage = 0.1
quota_slack = 20000
`

func soakAccounts(calmKeys ...string) []rpfake.Account {
	return []rpfake.Account{
		{Name: calmAccount, Keys: calmKeys},
		{Name: floodAccount, Keys: []string{floodKey}, Tokens: true, PlainTokens: plainTokens, Rate: floodRate, Burst: floodBurst},
	}
}

// chooseSoakKey sends seven of ten requests for floodAccount, some 10,000 tokens a
// second, and a few without a key of an account.
func chooseSoakKey(rng *rand.Rand) (account, key string) {
	switch n := rng.IntN(20); {
	case n < 14:
		return floodAccount, floodKey
	case n < 17:
		return calmAccount, calmKey
	case n < 18:
		return calmAccount, oldKey
	case n < 19:
		return "", unknownKey
	}
	return "", ""
}

// withdraw writes a configuration without oldKey and returns when the store
// acknowledged it.
func (env *environment) withdraw() time.Time {
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	env.shape.accounts = soakAccounts(calmKey)
	env.writeNextConfig()
	return time.Now()
}

// Guards against keys that reach endpoints, withdrawn or unknown keys that work, and
// accounts that use more than their quota, under the faults of TestSoak.
func TestSoakAccounts(t *testing.T) {
	t.Parallel()
	seed := *firstSeed
	env, load := withRunningEnvironment(t, seed, shape{accounts: soakAccounts(calmKey, oldKey), settings: accountSettings})
	load.chooseKey = chooseSoakKey
	ctx, stop := context.WithTimeout(context.Background(), warmUpDuration+faultDuration+recoveryDuration+measuredDuration)
	defer stop()
	begin := time.Now()
	withdrawnAt := begin
	var faults sync.WaitGroup
	faults.Go(func() { env.runFaults(seed, begin.Add(warmUpDuration)) })
	faults.Go(func() {
		time.Sleep(warmUpDuration + faultDuration/2)
		withdrawnAt = env.withdraw()
	})
	load.run(ctx)
	faults.Wait()
	time.Sleep(300 * time.Millisecond)
	c := env.newChecker(load)
	c.checkGuarantees()
	c.checkKeys(withdrawnAt.Add(accountBound))
	c.checkQuota(floodAccount)
	statuses := map[string]map[int]int{calmAccount: {}, floodAccount: {}, "": {}}
	for _, o := range c.outcomes {
		statuses[o.account][o.Status]++
	}
	t.Logf("statuses by account: %v", statuses)
	NewWithT(t).Expect(statuses[floodAccount][http.StatusTooManyRequests]).NotTo(BeZero())
	c.outcomes = slices.DeleteFunc(c.outcomes, func(o outcome) bool { return o.key != calmKey })
	c.checkRecovery(begin.Add(warmUpDuration + faultDuration + recoveryDuration))
}

// checkKeys verifies that endpoints get accounts and no keys, and that requests with
// unknown keys, or with oldKey from a time on, don't run.
func (c *checker) checkKeys(withdrawnFrom time.Time) {
	accounts := map[string]string{}
	for _, o := range c.outcomes {
		accounts[o.id] = o.account
		if o.account == "" && c.runs(o.id) > 0 {
			c.errorf("%s (%s) ran with the key %q", o.id, o.route, o.key)
		}
		if o.key == oldKey && o.sentAt.After(withdrawnFrom) && c.runs(o.id) > 0 {
			c.errorf("%s (%s) ran at %s with a key withdrawn %s before it was sent", o.id, o.route, o.target, accountBound+o.sentAt.Sub(withdrawnFrom))
		}
	}
	for _, e := range c.endpoints() {
		for _, arrival := range e.Arrivals() {
			if len(arrival.Header["Authorization"]) > 0 {
				c.errorf("%s reached %s with a key", arrival.ID, e.ID)
			}
			if got, want := arrival.Header.Get(rpfake.HeaderTenant), accounts[arrival.ID]; got != want {
				c.errorf("%s reached %s for the account %q instead of %q", arrival.ID, e.ID, got, want)
			}
		}
	}
}

// checkQuota verifies that the cost of an account's requests that ran stays within its
// quota in any window.
func (c *checker) checkQuota(account string) {
	var ran []rpfake.Arrival
	seen := map[string]bool{}
	for _, e := range c.endpoints() {
		for _, arrival := range e.Arrivals() {
			if arrival.Ran && arrival.Header.Get(rpfake.HeaderTenant) == account && !seen[arrival.ID] {
				seen[arrival.ID] = true
				ran = append(ran, arrival)
			}
		}
	}
	slices.SortFunc(ran, func(a, b rpfake.Arrival) int { return a.At.Compare(b.At) })
	limit := (floodRate*quotaWindow.Seconds()+floodBurst)*(1+quotaOverage) + quotaSlack
	used, first := 0.0, 0
	for _, arrival := range ran {
		used += tokensOf(arrival)
		for arrival.At.Sub(ran[first].At) >= quotaWindow {
			used -= tokensOf(ran[first])
			first++
		}
		if used > limit {
			c.errorf("%s used %.0f of %.0f tokens in the %s before %s", account, used, limit, quotaWindow, arrival.At.Format(time.StampMilli))
			return
		}
	}
}

func tokensOf(arrival rpfake.Arrival) float64 {
	if len(arrival.Prompt) > 0 {
		return modelTokens
	}
	return plainTokens
}

// Guards against checks of accounts that never fail.
func TestAccountChecksCanFail(t *testing.T) {
	g := NewWithT(t)
	plain := &rpfake.Endpoint{ID: "s1", Service: plainService}
	g.Expect(plain.Start(&rpfake.Store{})).To(Succeed())
	t.Cleanup(plain.Stop)
	found := 0
	c := &checker{plainEndpoints: []*rpfake.Endpoint{plain}, errorf: func(string, ...any) { found++ }}
	g.Expect(plain.SendRequest(rpfake.CallerRequest{ID: "r1", Path: "/place/1", Key: oldKey})).To(Succeed())
	c.outcomes = []outcome{{id: "r1", key: oldKey, account: calmAccount, sentAt: time.Now()}}
	c.checkKeys(time.Now().Add(-time.Minute))
	g.Expect(found).To(Equal(3), "a withdrawn key ran, a key reached an endpoint, the account is missing")
	c.outcomes[0].key, c.outcomes[0].account = unknownKey, ""
	found = 0
	c.checkKeys(time.Now())
	g.Expect(found).To(Equal(2), "an unknown key ran and reached an endpoint")
	found = 0
	for i := range 600 {
		g.Expect(plain.SendRequest(rpfake.CallerRequest{ID: rpfake.NewID(), Path: "/place/1"})).To(Succeed(), "%d", i)
	}
	c.checkQuota("")
	g.Expect(found).To(Equal(1))
}
