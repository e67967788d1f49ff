package rpfleet_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	testKey      = "k-shop"
	testRankKey  = "k-lab"
	testAccount  = "shop"
	unknownKey   = "k-other"
	anonymousURL = "/stock/1"
)

// accountConfig is testConfig with two accounts. The second one has its own rank, and
// the route stock is anonymous.
func accountConfig(version uint64, keys ...string) *rpfleet.Config {
	config := testConfig(version)
	names := map[string]string{testKey: testAccount, testRankKey: "lab"}
	held := map[rpaccount.Credential]string{}
	for _, key := range keys {
		held[rpaccount.NewCredential(key)] = names[key]
	}
	config.Accounts = rpaccount.NewDirectory([]rpaccount.Account{{Name: testAccount}, {Name: "lab", Rank: 3, HasRank: true}}, held)
	for i := range config.Routes {
		config.Routes[i].Anonymous = config.Routes[i].Name == "stock"
	}
	return config
}

// withAccountHarness returns a harness with accountConfig in force.
func withAccountHarness(t *testing.T) *harness {
	t.Helper()
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("s1", testPlain, homeDomain))
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: accountConfig(2, testKey, testRankKey)})
	return h
}

func (h *harness) arriveWithKey(id, path, model, key string) {
	h.apply(rpfleet.RequestArrived{Stamp: h.stamp(), Request: rpfleet.Request{
		ID: rpcore.RequestID(id), Host: "shop.example", Path: path, Model: model, Credential: rpaccount.NewCredential(key),
	}})
}

func (h *harness) refusalCode(id string) rpverdict.Code {
	if refusal := h.refusalOf(id); refusal != nil {
		return refusal.Code
	}
	return ""
}

// Guards against a request that runs without the key of an account, and against an
// order of the checks that tells callers without a key which routes exist.
func TestUnknownKeyIsRefused(t *testing.T) {
	g := NewWithT(t)
	h := withAccountHarness(t)
	h.arriveWithKey("none", "/place/1", "", "")
	h.arriveWithKey("other", "/place/1", "", unknownKey)
	h.arriveWithKey("model", "/suggest/1", "no such model", unknownKey)
	h.arriveWithKey("route", "/nowhere/1", "", unknownKey)
	h.arriveWithKey("known route", "/nowhere/1", "", testKey)
	for id, code := range map[string]rpverdict.Code{
		"none": rpverdict.CodeUnknownKey, "other": rpverdict.CodeUnknownKey, "model": rpverdict.CodeUnknownKey,
		"route": rpverdict.CodeUnknownRoute, "known route": rpverdict.CodeUnknownRoute,
	} {
		refusal := h.refusalOf(id)
		g.Expect(refusal).NotTo(BeNil(), id)
		g.Expect(refusal.Code).To(Equal(code), id)
		g.Expect(refusal.Verdict).To(Equal(rpverdict.NotRun), id)
	}
	g.Expect(effectsOf[rpfleet.StartAttempt](h)).To(BeEmpty())

	h.arriveWithKey("known", "/place/1", "", testKey)
	attempt := h.lastAttempt("known")
	g.Expect(attempt.Account).To(Equal(testAccount))
	g.Expect(attempt.HideCredential).To(BeTrue())

	fresh := withHarness(t)
	fresh.arriveWithKey("early", "/place/1", "", unknownKey)
	g.Expect(fresh.refusalCode("early")).To(Equal(rpverdict.CodeNoDocument))
}

// Guards against an anonymous route that refuses callers by their key, and against a
// known key that is not attributed there.
func TestAnonymousRoute(t *testing.T) {
	g := NewWithT(t)
	h := withAccountHarness(t)
	for id, key := range map[string]string{"none": "", "other": unknownKey, "known": testKey} {
		h.arriveWithKey(id, anonymousURL, "", key)
		attempt := h.lastAttempt(id)
		g.Expect(attempt.HideCredential).To(BeTrue(), id)
		g.Expect(attempt.Account == testAccount).To(Equal(key == testKey), id)
	}
}

// Guards against any change of what is sent where the configuration has no accounts.
func TestNoAccountsChangeNothing(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("s1", testPlain, homeDomain))
	h.arriveWithKey("r1", "/place/1", "", unknownKey)
	attempt := h.lastAttempt("r1")
	g.Expect(attempt.HideCredential).To(BeFalse())
	g.Expect(attempt.Account).To(BeEmpty())
}

// Guards against the rank of the route taking precedence over that of the account.
func TestAccountRank(t *testing.T) {
	g := NewWithT(t)
	h := withAccountHarness(t)
	h.arriveWithKey("shop", "/suggest/1", "m0", testKey)
	h.arriveWithKey("lab", "/suggest/1", "m0", testRankKey)
	g.Expect(h.lastAttempt("shop").Rank).To(Equal(0))
	g.Expect(h.lastAttempt("lab").Rank).To(Equal(3))
	h.arriveWithKey("shop 2", "/suggest/1", "m0", testKey)
	g.Expect(h.lastAttempt("shop 2").Rank).To(Equal(0), "the rank of an account must not stay with the route")
}

// Guards against a waiting request that runs after its key was withdrawn, and against
// running requests that end with a withdrawal.
func TestWithdrawnKeyOfWaitingRequest(t *testing.T) {
	g := NewWithT(t)
	h := withAccountHarness(t)
	h.arriveWithKey("running", "/suggest/1", "m0", testKey)
	h.arriveWithKey("waiting", "/later/1", "m1", testKey)
	h.arriveWithKey("waiting lab", "/later/1", "m1", testRankKey)
	g.Expect(effectsOf[rpfleet.RefuseRequest](h)).To(BeEmpty())
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: accountConfig(3, testRankKey)})
	g.Expect(h.refusalCode("waiting")).To(Equal(rpverdict.CodeUnknownKey))
	g.Expect(h.refusalOf("waiting lab")).To(BeNil())
	g.Expect(h.refusalOf("running")).To(BeNil())
	g.Expect(effectsOf[rpfleet.CancelAttempt](h)).To(BeEmpty())
	h.arriveWithKey("later", "/suggest/1", "m0", testKey)
	g.Expect(h.refusalCode("later")).To(Equal(rpverdict.CodeUnknownKey))
}
