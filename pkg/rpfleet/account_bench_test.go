package rpfleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// BenchmarkRequest measures the reducer's work for one request, without accounts and
// with accounts that have their own rank and quota.
func BenchmarkRequest(b *testing.B) {
	for _, accounts := range []int{0, 16, 400} {
		b.Run(fmt.Sprintf("%d accounts", accounts), func(b *testing.B) { benchmarkRequest(b, accounts) })
	}
}

func benchmarkRequest(b *testing.B, accounts int) {
	config := testConfig(1)
	credentials := []rpaccount.Credential{{}}
	if accounts > 0 {
		credentials = nil
		var list []rpaccount.Account
		keys := map[rpaccount.Credential]string{}
		for i := range accounts {
			name := fmt.Sprintf("account-%d", i)
			quota := rpaccount.Quota{Rate: 1e9, Burst: 1e9, Unit: rpaccount.UnitTokens, PlainCost: 100}
			list = append(list, rpaccount.Account{Name: name, Rank: 2, HasRank: true, Quota: quota})
			credentials = append(credentials, rpaccount.NewCredential(name))
			keys[credentials[i]] = name
		}
		config.Accounts = rpaccount.NewDirectory(list, keys)
	}
	var state rpfleet.State
	now := time.Unix(1_800_000_000, 0)
	stamp := func() rpfleet.Stamp { return rpfleet.Stamp{At: now} }
	state.Reduce(rpfleet.Start{Stamp: stamp(), Self: rpcore.Identity{Instance: "front-1", FailureDomain: homeDomain}, Seed: 1})
	state.Reduce(rpfleet.ConfigRead{Stamp: stamp(), Config: config})
	state.Reduce(rpfleet.EndpointsRead{
		Stamp: stamp(), Complete: true, Entries: []rpfleet.Endpoint{testEndpoint("s1", testPlain, homeDomain)},
	})
	n := 0
	for b.Loop() {
		n++
		now = now.Add(10 * time.Millisecond)
		id := rpcore.RequestID(fmt.Sprint(n))
		for _, effect := range state.Reduce(rpfleet.RequestArrived{Stamp: stamp(), Request: rpfleet.Request{
			ID: id, Host: "shop.example", Path: "/place/1", Credential: credentials[n%len(credentials)],
		}}) {
			if attempt, ok := effect.(rpfleet.StartAttempt); ok {
				id = attempt.Request
			}
		}
		state.Reduce(rpfleet.AttemptEnded{
			Stamp: stamp(), Request: id, Attempt: rpcore.AttemptID(fmt.Sprint(n, "#1")), Reason: rpcore.AttemptComplete, Verdict: rpverdict.Ran,
		})
	}
}
