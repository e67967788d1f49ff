package rpfleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against an account with many waiting requests whose requests all start before
// one of another account that arrived later.
func TestAccountsShareFullEngine(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"))
	config := testConfig(2)
	config.Routes[0].Rank = 1
	config.Accounts = rpaccount.NewDirectory([]rpaccount.Account{{Name: testAccount}, {Name: "lab"}}, map[rpaccount.Credential]string{
		rpaccount.NewCredential(testKey): testAccount, rpaccount.NewCredential(testRankKey): "lab",
	})
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: config})
	arrive := func(id, key string) {
		h.apply(rpfleet.RequestArrived{Stamp: h.stamp(), Request: rpfleet.Request{
			ID: rpcore.RequestID(id), Host: "shop.example", Path: "/suggest/1", Model: "m0", Credential: rpaccount.NewCredential(key),
			PromptTokens: 650, MaxTokens: 80, TokensCounted: true,
		}})
	}
	// Both accounts were served, so that neither is starved.
	for i, key := range []string{testKey, testRankKey, testKey, testRankKey} {
		id := fmt.Sprintf("served-%d", i)
		arrive(id, key)
		a := h.lastAttempt(id)
		h.apply(rpfleet.AttemptStarted{Stamp: h.stamp(), Request: a.Request, Attempt: a.Attempt})
		h.endAttempt(a, rpcore.AttemptComplete, rpverdict.Ran)
	}
	var running []rpfleet.StartAttempt
	for i := range 4 {
		id := fmt.Sprintf("running-%d", i)
		arrive(id, testKey)
		running = append(running, h.lastAttempt(id))
	}
	for i := range 3 {
		arrive(fmt.Sprintf("shop-%d", i), testKey)
	}
	h.advance(time.Millisecond)
	arrive("lab-0", testRankKey)
	arrive("lab-1", testRankKey)
	g.Expect(h.startedAfter(running[0])).To(Equal("lab-0"))
	g.Expect(h.startedAfter(running[1])).To(Equal("shop-0"))
	g.Expect(h.startedAfter(running[2])).To(Equal("lab-1"))
}
