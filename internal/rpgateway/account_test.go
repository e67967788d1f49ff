package rpgateway_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	testKey    = "k-shop-4711"
	testTenant = "shop"
)

// writeAccounts writes a configuration with the standard routes, an anonymous one and
// the given accounts.
func (p *platform) writeAccounts(version int, accounts ...rpfake.Account) {
	p.t.Helper()
	config := &rpfake.Config{
		Version: version, ModelService: modelService, PlainService: plainService, Models: 6, RemoteLoad: 6, Accounts: accounts,
	}
	config.Routes = append(config.StandardRoutes(), rpfake.Route{
		Name: "open", Kind: "idempotent", Service: plainService, MaxAttempts: 2, TargetMs: 2000, TimeoutMs: 4000, Anonymous: true,
	})
	NewWithT(p.t).Expect(p.store.PutConfig(config)).To(Succeed())
}

// sendAuthorization sends a request with the given Authorization headers and a forged
// account.
func (gw *gateway) sendAuthorization(id, path string, values ...string) *http.Response {
	gw.t.Helper()
	g := NewWithT(gw.t)
	req, err := rpfake.CallerRequest{ID: id, Path: path}.HTTPRequest(context.Background(), gw.callerAddress)
	g.Expect(err).NotTo(HaveOccurred())
	if len(values) > 0 {
		req.Header["Authorization"] = values
	}
	req.Header.Set(rpfake.HeaderTenant, "forged")
	resp, err := http.DefaultTransport.RoundTrip(req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	return resp
}

// Guards against a request that runs without a known key, against keys in the log or
// at endpoints, and against an account that the caller chooses.
func TestIdentifiesCallers(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	service := p.startPlain("s1")
	p.writeAccounts(2, rpfake.Account{Name: testTenant, Keys: []string{testKey}})
	gw := p.startGateway("front-1")
	for name, values := range map[string][]string{
		"missing": nil, "empty": {""}, "no key": {"Bearer "}, "other scheme": {"Basic " + testKey},
		"twice": {"Bearer " + testKey, "Bearer " + testKey}, "unknown": {"Bearer k-other-0815"},
		"very long": {"Bearer " + strings.Repeat("k", 12<<10)},
	} {
		resp := gw.sendAuthorization("refused "+name, "/place/1", values...)
		g.Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized), name)
		g.Expect(resp.Header.Get("WWW-Authenticate")).To(Equal("Bearer"), name)
		g.Expect(service.Runs("refused "+name)).To(BeZero(), name)
		g.Expect(gw.sendAuthorization("open "+name, "/open/1", values...).StatusCode).To(Equal(http.StatusOK), name)
	}
	// A key beyond the limit of the header section is refused by that limit, on any route.
	for _, path := range []string{"/place/1", "/open/1"} {
		resp := gw.sendAuthorization("beyond "+path, path, "Bearer "+strings.Repeat("k", 64<<10))
		g.Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		g.Expect(service.Runs("beyond " + path)).To(BeZero())
	}
	g.Expect(gw.sendAuthorization("known", "/place/1", "Bearer "+testKey).StatusCode).To(Equal(http.StatusOK))
	g.Expect(gw.sendAuthorization("no route", "/nowhere/1", "Bearer "+testKey).StatusCode).To(Equal(http.StatusNotFound))
	for _, arrival := range service.Arrivals() {
		want := ""
		if arrival.ID == "known" {
			want = testTenant
		}
		g.Expect(arrival.Header.Get(rpfake.HeaderTenant)).To(Equal(want), arrival.ID)
		g.Expect(arrival.Header).NotTo(HaveKey("Authorization"), arrival.ID)
	}
	g.Expect(gw.log.String()).NotTo(ContainSubstring(testKey))
	g.Expect(gw.log.String()).NotTo(ContainSubstring("k-other-0815"))
}

// Guards against a gateway that hides or interprets keys where the configuration has
// no accounts.
func TestForwardsKeysWithoutAccounts(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	service := p.startPlain("s1")
	gw := p.startGateway("front-1")
	g.Expect(gw.sendAuthorization("r1", "/place/1", "Bearer "+testKey).StatusCode).To(Equal(http.StatusOK))
	arrival := service.Arrivals()[0]
	g.Expect(arrival.Header.Get("Authorization")).To(Equal("Bearer " + testKey))
	g.Expect(arrival.Header.Get(rpfake.HeaderTenant)).To(Equal("forged"))
}

// strictSettings are settings with a short bound, so that tests end soon.
const strictSettings = `
[accounts]
strict_withdrawal = true
withdrawal_bound = "3s"
`

func (gw *gateway) statusOfKey(key string) func() int {
	return func() int {
		return gw.send(rpfake.CallerRequest{ID: rpfake.NewID(), Path: "/place/1", Key: key}).Status
	}
}

// Guards against an instance that accepts keys while neither the planner nor the store
// confirms the configuration, and against one that does not accept them again.
func TestRefusesKeysWithoutStore(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	p.settings = strictSettings
	down := p.withStoreSwitch()
	p.startPlain("s1")
	p.writeAccounts(2, rpfake.Account{Name: testTenant, Keys: []string{testKey}})
	gw := p.startGateway("front-1")
	g.Eventually(gw.statusOfKey(testKey), eventTimeout).Should(Equal(http.StatusOK))
	down.Store(true)
	begin := time.Now()
	g.Eventually(gw.statusOfKey(testKey), eventTimeout).Should(Equal(http.StatusServiceUnavailable))
	t.Logf("refused %s after the begin of the outage", time.Since(begin))
	g.Expect(gw.send(rpfake.CallerRequest{ID: "refused", Path: "/place/1", Key: testKey}).Body).To(ContainSubstring("accounts_unconfirmed"))
	g.Expect(gw.send(rpfake.CallerRequest{ID: "open", Path: "/open/1", Key: testKey}).Status).To(Equal(http.StatusOK))
	down.Store(false)
	g.Eventually(gw.statusOfKey(testKey), eventTimeout).Should(Equal(http.StatusOK))
	g.Expect(gw.log.String()).To(ContainSubstring("this instance no longer accepts keys"))
	g.Expect(gw.log.String()).To(ContainSubstring("this instance accepts keys again"))
}

// Guards against a withdrawn key that keeps working at the planner or at another
// instance, also if the store has lost its history.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	p.settings = strictSettings
	p.startPlain("s1")
	p.writeAccounts(2, rpfake.Account{Name: testTenant, Keys: []string{testKey, "k-2"}})
	gateways := []*gateway{p.startGateway("front-1"), p.startGateway("front-2")}
	for _, gw := range gateways {
		g.Eventually(gw.statusOfKey(testKey), eventTimeout).Should(Equal(http.StatusOK))
	}
	p.writeAccounts(3, rpfake.Account{Name: testTenant, Keys: []string{"k-2"}})
	p.store.Compact()
	for _, gw := range gateways {
		g.Eventually(gw.statusOfKey(testKey), eventTimeout).Should(Equal(http.StatusUnauthorized))
		g.Eventually(gw.statusOfKey("k-2"), eventTimeout).Should(Equal(http.StatusOK))
	}
}

// Guards against quotas that are not enforced on the whole path, and against refusals
// over a quota that don't say when to come back or that run.
func TestRefusesOverQuota(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	p.settings = "[accounts]\nquota_window = \"4s\"\nquota_overage = 0.1\nquota_slack = 3000\n"
	service := p.startPlain("s1")
	p.writeAccounts(2, rpfake.Account{Name: testTenant, Keys: []string{testKey}, Tokens: true, PlainTokens: 100, Rate: 100, Burst: 500})
	gw := p.startGateway("front-1")
	// The limit of a window is 990 + 3000 tokens.
	served := 0
	var refused rpfake.CallerResponse
	id := ""
	for range 60 {
		id = rpfake.NewID()
		refused = gw.send(rpfake.CallerRequest{ID: id, Path: "/place/1", Key: testKey})
		if refused.Status == http.StatusTooManyRequests {
			break
		}
		g.Expect(refused.Status).To(Equal(http.StatusOK))
		served++
	}
	t.Logf("%d requests were served before the first refusal", served)
	g.Expect(refused.Status).To(Equal(http.StatusTooManyRequests))
	g.Expect(refused.Body).To(ContainSubstring("quota_exceeded"))
	seconds, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seconds).To(BeNumerically(">", 0))
	g.Expect(service.Runs(id)).To(BeZero())
	g.Expect(gw.log.String()).To(ContainSubstring("an account is over its quota"))
}
