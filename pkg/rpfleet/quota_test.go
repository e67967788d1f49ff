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

// quotaConfig is accountConfig with a quota of tokens.
func quotaConfig(version uint64, rate, burst float64) *rpfleet.Config {
	config := accountConfig(version, testKey)
	config.Accounts = rpaccount.NewDirectory([]rpaccount.Account{{
		Name: testAccount, Quota: rpaccount.Quota{Rate: rate, Burst: burst, Unit: rpaccount.UnitTokens, PlainCost: 100},
	}}, map[rpaccount.Credential]string{rpaccount.NewCredential(testKey): testAccount})
	return config
}

// withQuotaHarness returns a harness with the limits of a deployment and a quota in
// force.
func withQuotaHarness(t *testing.T, rate, burst float64) *harness {
	t.Helper()
	h := withAccountHarness(t)
	h.apply(rpfleet.PolicyChanged{Stamp: h.stamp(), Policy: rpfleet.Policy{QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 110_000}})
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: quotaConfig(3, rate, burst)})
	return h
}

func (h *harness) arriveCounted(id, path, model string, tokens int) {
	h.apply(rpfleet.RequestArrived{Stamp: h.stamp(), Request: rpfleet.Request{
		ID: rpcore.RequestID(id), Host: "shop.example", Path: path, Model: model, Credential: rpaccount.NewCredential(testKey),
		PromptTokens: tokens, MaxTokens: 40, TokensCounted: true,
	}})
}

// withPlannerElsewhere makes another instance the planner.
func (h *harness) withPlannerElsewhere() {
	h.apply(rpfleet.LeaseRead{Stamp: h.stamp(), AskedAt: h.now, Row: rpfleet.LeaseRow{
		Revision: 7, Holder: "front-2", Epoch: 3, Address: testEndpoint("p", testPlain, homeDomain).Address,
	}})
}

// reportedUse returns the use of the account in the next demand.
func (h *harness) reportedUse() int64 {
	h.t.Helper()
	// A demand that is not answered may be on its way.
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
	h.discardEffects()
	h.advance(time.Second)
	demands := effectsOf[rpfleet.SendDemand](h)
	if len(demands) == 0 {
		h.t.Fatal("no demand was sent")
	}
	used := int64(0)
	for _, usage := range demands[0].Demand.Load.Accounts {
		used += usage.Used
	}
	return used
}

// Guards against requests that are charged although they can't have run, and against
// requests that are not charged although they may have.
func TestCostIsRefunded(t *testing.T) {
	end := func(h *harness, reason rpcore.AttemptReason, verdict rpverdict.Verdict) {
		h.endAttempt(h.lastAttempt("r1"), reason, verdict)
	}
	for name, c := range map[string]struct {
		path, model string
		then        func(h *harness)
		used        int64
	}{
		"running":   {"/place/1", "", func(*harness) {}, 340},
		"complete":  {"/place/1", "", func(h *harness) { end(h, rpcore.AttemptComplete, rpverdict.Ran) }, 340},
		"may run":   {"/place/1", "", func(h *harness) { end(h, rpcore.AttemptBroken, rpverdict.MayHaveRun) }, 340},
		"no route":  {"/nowhere/1", "", func(*harness) {}, 0},
		"no model":  {"/suggest/1", "m99", func(*harness) {}, 0},
		"waiting":   {"/later/1", "m1", func(*harness) {}, 340},
		"abandoned": {"/later/1", "m1", func(h *harness) { h.apply(rpfleet.RequestAbandoned{Stamp: h.stamp(), Request: "r1"}) }, 0},
		"abandoned while running": {
			"/place/1", "",
			func(h *harness) { h.apply(rpfleet.RequestAbandoned{Stamp: h.stamp(), Request: "r1"}) },
			340,
		},
		"abandoned before the attempt ran": {
			"/place/1", "",
			func(h *harness) {
				h.apply(rpfleet.RequestAbandoned{Stamp: h.stamp(), Request: "r1", NotRun: true})
			},
			0,
		},
		"stopped": {
			"/place/1", "",
			func(h *harness) {
				h.apply(rpfleet.DrainTimeoutPassed{Stamp: h.stamp()})
				end(h, rpcore.AttemptCanceled, rpverdict.NotRun)
			},
			0,
		},
		"expired": {"/later/1", "m1", func(h *harness) { h.advance(20 * time.Second) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := withQuotaHarness(t, 20_000, 40_000)
			h.withPlannerElsewhere()
			h.arriveCounted("r1", c.path, c.model, 300)
			c.then(h)
			g.Expect(h.reportedUse()).To(Equal(c.used))
		})
	}
}

// Guards against an account that uses more than its quota, against refusals without a
// Retry-After, and against a log entry for each of them.
func TestQuotaIsEnforced(t *testing.T) {
	g := NewWithT(t)
	h := withQuotaHarness(t, 20_000, 40_000)
	h.becomePlanner()
	// The planner knows no earlier use after a window.
	h.advanceRenewingLease(10 * time.Second)
	h.discardEffects()
	used := 0
	for i := range 2000 {
		id := fmt.Sprint("r", i)
		h.arriveCounted(id, "/stock/1", "", 300)
		refusal := h.refusalOf(id)
		if refusal == nil {
			used += 340
			h.endAttempt(h.lastAttempt(id), rpcore.AttemptComplete, rpverdict.Ran)
			continue
		}
		g.Expect(refusal.Code).To(Equal(rpverdict.CodeQuotaExceeded))
		g.Expect(refusal.Status()).To(Equal(429))
		g.Expect(refusal.Verdict).To(Equal(rpverdict.NotRun))
		g.Expect(refusal.RetryAfter).NotTo(BeZero())
	}
	t.Logf("%d tokens were admitted at once", used)
	g.Expect(used).To(BeNumerically(">=", 20_000))
	g.Expect(used).To(BeNumerically("<=", 1.1*(8*20_000+40_000)+110_000))
	notes := 0
	for _, note := range effectsOf[rpfleet.Note](h) {
		if note.Text == "an account is over its quota" {
			notes++
		}
	}
	g.Expect(notes).To(Equal(1))

	h.advanceRenewingLease(8 * time.Second)
	h.arriveCounted("later", "/stock/1", "", 300)
	g.Expect(h.refusalOf("later")).To(BeNil())
}

// Guards against a planner that does not pool the use that instances report, and
// against use that a request without token counts does not cost.
func TestPlannerPoolsUse(t *testing.T) {
	g := NewWithT(t)
	h := withQuotaHarness(t, 20_000, 40_000)
	h.becomePlanner()
	h.advanceRenewingLease(10 * time.Second)
	level := func(used int64) int64 {
		h.discardEffects()
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2", Load: &rpfleet.LoadReport{
			Process: 9, Accounts: []rpaccount.Usage{{Account: testAccount, Used: used, Offered: 4000}},
		}}})
		summary := effectsOf[rpfleet.AnswerDemand](h)[0].Placement.Load
		g.Expect(summary).NotTo(BeNil())
		g.Expect(summary.Accounts).To(HaveLen(1))
		return summary.Accounts[0].Level
	}
	first := level(0)
	second := level(30000)
	g.Expect(second).To(Equal(first - 30_000))
	h.arriveWithKey("plain", "/stock/1", "", testKey)
	h.advanceRenewingLease(600 * time.Millisecond)
	// The quota's rate gives 12,000 tokens in this time, the request costs 100.
	g.Expect(level(30000)).To(BeNumerically("~", second+12_000-100, 2))
}

// Guards against load reports and summaries on deployments without accounts.
func TestNoAccountsNoLoadItems(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.configure(testEndpoint("s1", testPlain, homeDomain))
	h.withPlannerElsewhere()
	h.advance(time.Second)
	demands := effectsOf[rpfleet.SendDemand](h)
	g.Expect(demands).NotTo(BeEmpty())
	g.Expect(demands[0].Demand.Load).To(BeNil())

	planner := withHarness(t)
	planner.configure(testEndpoint("s1", testPlain, homeDomain))
	planner.becomePlanner()
	planner.apply(rpfleet.DemandReceived{Stamp: planner.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2"}})
	g.Expect(effectsOf[rpfleet.AnswerDemand](planner)[0].Placement.Load).To(BeNil())
}

// Guards against lowered quotas that nobody can see in the log.
func TestLoweredQuotaIsLogged(t *testing.T) {
	g := NewWithT(t)
	h := withAccountHarness(t)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: quotaConfig(3, 1000, 5000)})
	notes := func() (found []rpfleet.Note) {
		for _, note := range effectsOf[rpfleet.Note](h) {
			if note.Text == "quotas of accounts were lowered" {
				found = append(found, note)
			}
		}
		return found
	}
	g.Expect(notes()).To(HaveLen(1), "an account without a quota gets one")
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: quotaConfig(4, 2000, 5000)})
	g.Expect(notes()).To(HaveLen(1))
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: quotaConfig(5, 2000, 4000)})
	g.Expect(notes()).To(HaveLen(2))
	g.Expect(notes()[1].Fields).To(ContainElement(rpfleet.Field{Name: "accounts", Value: testAccount}))
}

// answerWithSummary answers the demand that is due with a summary of the account.
func (h *harness) answerWithSummary(offered int, level int64) {
	h.t.Helper()
	h.reportedUse()
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
		IsPlanner: true, Instances: 3, ConfigVersion: 3,
		Load: &rpfleet.LoadSummary{Accounts: []rpaccount.Summary{{Account: testAccount, Offered: offered, Level: level}}},
	}})
}

// Guards against an instance that ignores what the planner says of an account.
func TestSummaryOfPlannerBinds(t *testing.T) {
	g := NewWithT(t)
	h := withQuotaHarness(t, 20_000, 40_000)
	h.withPlannerElsewhere()
	h.arriveCounted("first", "/stock/1", "", 300)
	h.answerWithSummary(2_000, 40_000)
	h.arriveCounted("below", "/stock/1", "", 300)
	g.Expect(h.refusalOf("below")).To(BeNil())
	h.answerWithSummary(100_000, -300_000)
	h.arriveCounted("above", "/stock/1", "", 300)
	g.Expect(h.refusalCode("above")).To(Equal(rpverdict.CodeQuotaExceeded))
}

// Guards against a new planner that forgets the debt of an account.
func TestTakeoverKeepsDebt(t *testing.T) {
	g := NewWithT(t)
	levelAfterTakeover := func(level int64) int64 {
		h := withQuotaHarness(t, 20_000, 40_000)
		h.withPlannerElsewhere()
		h.arriveCounted("first", "/stock/1", "", 300)
		h.answerWithSummary(100_000, level)
		h.lease = rpfleet.LeaseRow{Revision: 8}
		h.becomePlanner()
		h.discardEffects()
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-3", Load: &rpfleet.LoadReport{
			Process: 9, Accounts: []rpaccount.Usage{{Account: testAccount}},
		}}})
		return effectsOf[rpfleet.AnswerDemand](h)[0].Placement.Load.Accounts[0].Level
	}
	g.Expect(levelAfterTakeover(-80_000)).To(BeNumerically("<", levelAfterTakeover(40_000)-20_000))
}

// Guards against a planner that ignores at its own callers what it knows of an account.
func TestPlannerAppliesOwnSummary(t *testing.T) {
	g := NewWithT(t)
	h := withQuotaHarness(t, 20_000, 40_000)
	h.becomePlanner()
	h.advanceRenewingLease(10 * time.Second)
	h.arriveCounted("first", "/stock/1", "", 300)
	h.advanceRenewingLease(time.Second)
	for _, used := range []int64{0, 500_000} {
		h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2", Load: &rpfleet.LoadReport{
			Process: 9, Accounts: []rpaccount.Usage{{Account: testAccount, Used: used, Offered: 200_000}},
		}}})
	}
	h.advanceRenewingLease(time.Second)
	h.arriveCounted("second", "/stock/1", "", 300)
	g.Expect(h.refusalCode("second")).To(Equal(rpverdict.CodeQuotaExceeded))
}

// Guards against a waiting request whose key moves to another account and which runs
// there at the expense of the first one, and against one that is not charged at all
// because its key was not known when it arrived.
func TestChargeFollowsKey(t *testing.T) {
	g := NewWithT(t)
	config := func(version uint64, account string) *rpfleet.Config {
		config := accountConfig(version, testKey)
		quota := rpaccount.Quota{Rate: 20_000, Burst: 40_000, Unit: rpaccount.UnitTokens}
		config.Accounts = rpaccount.NewDirectory([]rpaccount.Account{{Name: testAccount, Quota: quota}, {Name: "lab", Quota: quota}},
			map[rpaccount.Credential]string{rpaccount.NewCredential(testKey): account})
		return config
	}
	h := withQuotaHarness(t, 20_000, 40_000)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: config(4, testAccount)})
	h.withPlannerElsewhere()
	h.arriveCounted("r1", "/later/1", "m1", 300)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: config(5, "lab")})
	// A demand that is not answered may be on its way.
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
	h.discardEffects()
	h.advance(time.Second)
	demands := effectsOf[rpfleet.SendDemand](h)
	g.Expect(demands).NotTo(BeEmpty())
	used := map[string]int64{}
	for _, usage := range demands[0].Demand.Load.Accounts {
		used[usage.Account] = usage.Used
	}
	g.Expect(used).To(Equal(map[string]int64{testAccount: 0, "lab": 340}))
}

// Guards against a planner that does not know a lowered quota because it read the
// configuration while a renewal of its lease was late.
func TestQuotaLoweredDuringLateRenewal(t *testing.T) {
	g := NewWithT(t)
	h := withQuotaHarness(t, 20_000, 40_000)
	h.becomePlanner()
	h.advanceRenewingLease(10 * time.Second)
	h.discardEffects()
	for len(effectsOf[rpfleet.WriteLease](h)) == 0 {
		h.advance(10 * time.Millisecond)
	}
	row, begin := effectsOf[rpfleet.WriteLease](h)[0].Row, h.now
	// The lease ends 1.4 s after the begin of the renewal before, 0.4 s earlier.
	h.now = begin.Add(1200 * time.Millisecond)
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: quotaConfig(4, 200, 400)})
	g.Expect(h.state.IsPlanner()).To(BeFalse())
	row.Revision = h.lease.Revision + 1
	h.lease = row
	h.apply(rpfleet.LeaseWritten{Stamp: h.stamp(), AskedAt: begin, Outcome: rpcore.WriteApplied, Row: row})
	g.Expect(h.state.IsPlanner()).To(BeTrue())
	h.discardEffects()
	h.apply(rpfleet.DemandReceived{Stamp: h.stamp(), Call: 1, Demand: rpfleet.Demand{Instance: "front-2", Load: &rpfleet.LoadReport{
		Process: 9, Accounts: []rpaccount.Usage{{Account: testAccount}},
	}}})
	g.Expect(effectsOf[rpfleet.AnswerDemand](h)[0].Placement.Load.Accounts[0].Level).To(BeNumerically("<=", 400))
}

// Guards against a planner that gives the part of an instance to others, because it hears
// nothing of an instance that it does not reach and that goes on.
func TestUseIsWrittenWithoutPlanner(t *testing.T) {
	g := NewWithT(t)
	h := withQuotaHarness(t, 20_000, 40_000)
	h.withPlannerElsewhere()
	h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{IsPlanner: true, Instances: 3}})
	h.arriveCounted("r1", "/place/1", "", 300)
	unanswered := func(d time.Duration) {
		for end := h.now.Add(d); h.now.Before(end); {
			h.advance(250 * time.Millisecond)
			h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Failed: true})
		}
	}
	unanswered(4 * time.Second)
	g.Expect(effectsOf[rpfleet.PostUse](h)).To(BeEmpty(), "another planner may take over")
	unanswered(5 * time.Second)
	posted := effectsOf[rpfleet.PostUse](h)
	g.Expect(len(posted)).To(BeNumerically("~", 4, 1))
	g.Expect(posted[0].Load.Accounts).To(HaveLen(1))
	g.Expect(posted[0].Load.Accounts[0].Used).To(BeEquivalentTo(340))

	planner := withQuotaHarness(t, 20_000, 40_000)
	planner.becomePlanner()
	level := func(instance string) int64 {
		planner.discardEffects()
		planner.apply(rpfleet.DemandReceived{Stamp: planner.stamp(), Call: 1, Demand: rpfleet.Demand{
			Instance: rpcore.InstanceID(instance), Load: &rpfleet.LoadReport{Process: 1, Accounts: []rpaccount.Usage{{Account: testAccount}}},
		}})
		return effectsOf[rpfleet.AnswerDemand](planner)[0].Placement.Load.Accounts[0].Level
	}
	planner.advanceRenewingLease(10 * time.Second)
	use := func(used int64) {
		planner.apply(rpfleet.UsePosted{Stamp: planner.stamp(), Instance: "front-9", Load: rpfleet.LoadReport{
			Process: 7, Accounts: []rpaccount.Usage{{Account: testAccount, Used: used, Offered: 10_000}},
		}})
	}
	use(1000)
	before := level("front-3")
	use(31_000)
	g.Expect(before - level("front-3")).To(BeNumerically("~", 30_000, 1000))
}
