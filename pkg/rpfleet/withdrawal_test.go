package rpfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	withdrawalBound = 5 * time.Second
	// acceptedAge is the age of the configuration up to which keys are accepted.
	acceptedAge = withdrawalBound * 8 / 10
	// contactAge is the age that the configuration must not exceed on average while an
	// instance is in contact, so that it refuses no key before 0.6 of the bound has
	// passed since its last contact.
	contactAge = acceptedAge - withdrawalBound*6/10
	// maxContactAge is the highest age: a planner that asked the store more often would
	// exceed 5 calls a minute for each instance. So after a cut at the worst moment, an
	// instance refuses keys 0.1 s before 0.6 of the bound has passed.
	maxContactAge = contactAge + 100*time.Millisecond
	// missedFor is how long the store may hold back a change from calls.
	missedFor = time.Second
)

var strictPolicy = rpfleet.Policy{
	LeavingBound: 2 * time.Second, ConfigBound: 3 * time.Second, StrictWithdrawal: true, WithdrawalBound: withdrawalBound,
}

// strictStore is the store's row of the configuration, as several instances read it.
type strictStore struct {
	config *rpfleet.Config
	down   bool
	// latency is the time of a call.
	latency time.Duration
	// Calls that begin before shownFrom get the configuration before.
	before    *rpfleet.Config
	shownFrom time.Time
}

// shown returns the configuration that a call gets which begins now.
func (s *strictStore) shown(now time.Time) *rpfleet.Config {
	if now.Before(s.shownFrom) {
		return s.before
	}
	return s.config
}

// strictInstance is an instance with strict withdrawal that follows the configuration
// as the runtime does.
type strictInstance struct {
	*harness
	store *strictStore
	// callEnds is the end of the call in progress, or zero; calledAt is its begin, and
	// answer what the store held then.
	calledAt, callEnds time.Time
	answer             *rpfleet.Config
	asked              *strictStore
	calls              int
	frozenUntil        time.Time
	undecoded          bool
}

func withStrictInstance(t *testing.T, store *strictStore) *strictInstance {
	t.Helper()
	h := withHarness(t)
	h.apply(rpfleet.PolicyChanged{Stamp: h.stamp(), Policy: strictPolicy})
	h.configure(testEndpoint("e1", testService, homeDomain, "m0"), testEndpoint("s1", testPlain, homeDomain))
	i := &strictInstance{harness: h, store: store}
	i.beginCall(0)
	return i
}

func (i *strictInstance) beginCall(wait time.Duration) {
	i.calls++
	i.calledAt, i.callEnds, i.answer, i.asked = i.now, i.now.Add(wait+i.store.latency), i.store.shown(i.now), i.store
}

// follow ends a call that is due and begins another one unless following is
// suspended.
func (i *strictInstance) follow() {
	if i.now.Before(i.frozenUntil) {
		return
	}
	if !i.callEnds.IsZero() && !i.now.Before(i.callEnds) {
		if !i.store.down && i.store == i.asked {
			if !i.undecoded {
				i.apply(rpfleet.ConfigRead{Stamp: i.stamp(), Config: i.answer})
			}
			i.apply(rpfleet.ConfigChecked{Stamp: i.stamp(), AskedAt: i.calledAt, Undecoded: i.undecoded})
		}
		i.callEnds = time.Time{}
	}
	switch {
	case i.readsNow():
		i.beginCall(0)
	case i.callEnds.IsZero() && !i.state.ConfigFollowed():
		i.beginCall(i.state.ConfigWait())
	}
}

// readsNow reports whether the instance has asked for a read since the last call.
func (i *strictInstance) readsNow() bool {
	reads := len(effectsOf[rpfleet.ReadConfig](i.harness)) > 0
	if reads {
		i.discardEffects()
	}
	return reads
}

// strictFleet is a planner and an instance that exchange demands.
type strictFleet struct {
	store             *strictStore
	planner, instance *strictInstance
	// cut says that the instance does not reach the planner.
	cut bool
	// lowered says that the key is already withdrawn, in a version that is lower.
	lowered bool
	// instances is the number of instances that the planner reports.
	instances int
	// worst is the highest age of the configuration at the instance, and ages the sum
	// over all steps.
	worst, ages time.Duration
	steps       int
	nextID      uint64
	// reply is the answer on its way to the instance, until replyAt.
	reply   *rpfleet.PlacementReceived
	replyAt time.Time
}

func withStrictFleet(t *testing.T, instances int) *strictFleet {
	t.Helper()
	store := &strictStore{config: accountConfig(2, testKey), latency: 20 * time.Millisecond}
	f := &strictFleet{store: store, instances: instances, planner: withStrictInstance(t, store), instance: withStrictInstance(t, store)}
	f.planner.becomePlanner()
	f.instance.now = f.planner.now
	f.instance.apply(rpfleet.LeaseRead{Stamp: f.instance.stamp(), AskedAt: f.instance.now, Row: rpfleet.LeaseRow{
		Revision: 7, Holder: "front-2", Epoch: f.planner.lease.Epoch, Address: testEndpoint("p", testPlain, homeDomain).Address,
	}})
	return f
}

const strictStep = 10 * time.Millisecond

// run lets time pass for both instances. An instance that is frozen handles no event
// meanwhile.
func (f *strictFleet) run(d time.Duration) {
	for end := f.instance.now.Add(d); f.instance.now.Before(end); {
		f.step(f.planner)
		f.step(f.instance)
		f.exchange()
		f.instance.follow()
		f.instance.discardEffects()
		f.worst = max(f.worst, f.instance.state.ConfigAge())
		f.ages += f.instance.state.ConfigAge()
		f.steps++
	}
}

func (f *strictFleet) step(i *strictInstance) {
	if i.now.Before(i.frozenUntil) {
		i.now = i.now.Add(strictStep)
		return
	}
	if i != f.planner {
		i.advance(strictStep)
		return
	}
	i.advanceRenewingLease(strictStep)
	i.follow()
}

const (
	// answerTime is the time from a demand to its answer, and failTime that to the
	// failure of a demand without one.
	answerTime = 30 * time.Millisecond
	failTime   = 450 * time.Millisecond
)

// exchange answers the demands of the instance. An answer that arrives while the
// instance is frozen is handled when it resumes.
func (f *strictFleet) exchange() {
	if f.reply != nil && !f.instance.now.Before(f.replyAt) && !f.instance.now.Before(f.instance.frozenUntil) {
		f.reply.Stamp = f.instance.stamp()
		f.instance.apply(*f.reply)
		f.reply = nil
	}
	for _, sent := range effectsOf[rpfleet.SendDemand](f.instance.harness) {
		f.reply = &rpfleet.PlacementReceived{AskedAt: f.instance.now, Failed: true}
		f.replyAt = f.instance.now.Add(failTime)
		if !f.cut && !f.planner.now.Before(f.planner.frozenUntil) {
			f.reply.Failed, f.replyAt = false, f.instance.now.Add(answerTime)
			f.reply.Placement = f.ask(sent.Demand)
		}
	}
}

func (f *strictFleet) ask(demand rpfleet.Demand) rpfleet.Placement {
	demand.Instance = "front-2"
	f.nextID++
	f.planner.apply(rpfleet.DemandReceived{Stamp: f.planner.stamp(), Call: f.nextID, Demand: demand})
	answers := effectsOf[rpfleet.AnswerDemand](f.planner.harness)
	placement := answers[len(answers)-1].Placement
	placement.Instances = f.instances
	f.planner.discardEffects()
	return placement
}

// codeOf returns the code with which the instance refuses a request that arrives now,
// or "".
func (i *strictInstance) codeOf(id, path, key string) rpverdict.Code {
	i.arriveWithKey(id, path, "", key)
	code := i.refusalCode(id)
	i.apply(rpfleet.RequestAbandoned{Stamp: i.stamp(), Request: rpcore.RequestID(id)})
	return code
}

// Guards against an instance that refuses keys although it reaches the planner, or too
// early after a cut, and against calls to the store by each instance in calm.
func TestConfigurationStaysConfirmed(t *testing.T) {
	for _, c := range []struct {
		instances int
		// calls is the number of calls to the store of an instance in a minute.
		calls int
		// mean and age are the average and the highest age.
		mean, age time.Duration
	}{
		{6, 0, contactAge, contactAge},
		{75, 0, contactAge, maxContactAge},
		// Demands come every 4.6 s, so instances ask the store themselves.
		{460, 30, acceptedAge * 8 / 10, acceptedAge * 8 / 10},
	} {
		g := NewWithT(t)
		f := withStrictFleet(t, c.instances)
		f.run(10 * time.Second)
		f.worst, f.ages, f.steps = 0, 0, 0
		calls, plannerCalls := f.instance.calls, f.planner.calls
		f.run(time.Minute)
		mean := f.ages / time.Duration(f.steps)
		t.Logf("%d instances: age %s, up to %s, %d calls of the instance, %d of the planner", c.instances, mean, f.worst,
			f.instance.calls-calls, f.planner.calls-plannerCalls)
		g.Expect(mean).To(BeNumerically("<", c.mean), "%d instances", c.instances)
		g.Expect(f.worst).To(BeNumerically("<", c.age), "%d instances", c.instances)
		g.Expect(f.instance.calls-calls).To(BeNumerically("<=", c.calls), "%d instances", c.instances)
		// 50 without accounts, and 5 more for each of 75 instances.
		g.Expect(f.planner.calls - plannerCalls).To(BeNumerically("<=", 50+5*75))
	}
}

// Guards against keys that are accepted before the configuration was confirmed, and
// against unconfirmed keys that make a difference on an anonymous route or without
// strict withdrawal.
func TestUnconfirmedKeys(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.apply(rpfleet.PolicyChanged{Stamp: h.stamp(), Policy: strictPolicy})
	h.configure(testEndpoint("s1", testPlain, homeDomain))
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: accountConfig(2, testKey)})
	h.arriveWithKey("known", "/place/1", "", testKey)
	refusal := h.refusalOf("known")
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.Code).To(Equal(rpverdict.CodeAccountsUnconfirmed))
	g.Expect(refusal.Status()).To(Equal(503))
	g.Expect(refusal.Verdict).To(Equal(rpverdict.NotRun))
	g.Expect(refusal.RetryAfter).NotTo(BeZero())
	h.arriveWithKey("unknown", "/place/1", "", unknownKey)
	g.Expect(h.refusalCode("unknown")).To(Equal(rpverdict.CodeUnknownKey))
	h.arriveWithKey("no route", "/nowhere/1", "", testKey)
	g.Expect(h.refusalCode("no route")).To(Equal(rpverdict.CodeUnknownRoute))
	h.arriveWithKey("anonymous", anonymousURL, "", testKey)
	g.Expect(h.lastAttempt("anonymous").Account).To(BeEmpty())

	relaxed := strictPolicy
	relaxed.StrictWithdrawal = false
	h.apply(rpfleet.PolicyChanged{Stamp: h.stamp(), Policy: relaxed})
	h.arriveWithKey("relaxed", "/place/1", "", testKey)
	g.Expect(h.lastAttempt("relaxed").Account).To(Equal(testAccount))
}

// Guards against a planner's statement about another version than the instance's, or
// about none, that confirms the configuration of the instance.
func TestOnlyOwnVersionIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.apply(rpfleet.PolicyChanged{Stamp: h.stamp(), Policy: strictPolicy})
	h.configure(testEndpoint("s1", testPlain, homeDomain))
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: accountConfig(2, testKey)})
	h.advance(time.Second)
	answer := func(version uint64, load *rpfleet.LoadSummary) time.Duration {
		h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now.Add(-100 * time.Millisecond), Placement: rpfleet.Placement{
			IsPlanner: true, Instances: 3, ConfigVersion: version, Load: load,
		}})
		return h.state.ConfigAge()
	}
	g.Expect(answer(2, nil)).To(BeNumerically("<", 0), "an earlier release says nothing")
	g.Expect(answer(2, &rpfleet.LoadSummary{ConfigAge: -1})).To(BeNumerically("<", 0))
	g.Expect(answer(3, &rpfleet.LoadSummary{})).To(BeNumerically("<", 0))
	g.Expect(answer(1, &rpfleet.LoadSummary{})).To(BeNumerically("<", 0))
	g.Expect(answer(0, &rpfleet.LoadSummary{})).To(BeNumerically("<", 0))
	g.Expect(answer(2, &rpfleet.LoadSummary{ConfigAge: 300 * time.Millisecond})).To(Equal(400 * time.Millisecond))
}

// Guards against an instance whose answers from the store don't confirm, and which
// therefore asks it without a pause.
func TestUndecodedConfigurationCausesNoBusyCalls(t *testing.T) {
	g := NewWithT(t)
	f := withStrictFleet(t, 75)
	f.run(2 * time.Second)
	f.planner.undecoded, f.instance.undecoded = true, true
	f.run(10 * time.Second)
	calls := f.instance.calls
	f.run(10 * time.Second)
	g.Expect(f.instance.calls - calls).To(BeNumerically("<=", 15))
}

// Guards against an instance that accepts keys after its start before it has read the
// configuration and knows that it is the newest one.
func TestNoKeysBeforeFirstReading(t *testing.T) {
	g := NewWithT(t)
	h := withHarness(t)
	h.apply(rpfleet.PolicyChanged{Stamp: h.stamp(), Policy: strictPolicy})
	confirm := func() {
		h.apply(rpfleet.PlacementReceived{Stamp: h.stamp(), AskedAt: h.now, Placement: rpfleet.Placement{
			IsPlanner: true, Instances: 3, ConfigVersion: 2, Load: &rpfleet.LoadSummary{},
		}})
	}
	h.apply(rpfleet.EndpointsRead{
		Stamp: h.stamp(), AskedAt: h.now, Complete: true, Entries: []rpfleet.Endpoint{testEndpoint("s1", testPlain, homeDomain)},
	})
	confirm()
	h.arriveWithKey("no configuration", "/place/1", "", testKey)
	g.Expect(h.refusalCode("no configuration")).To(Equal(rpverdict.CodeNoDocument))
	// The statement of the planner came before the reading, so it says nothing of it.
	h.apply(rpfleet.ConfigRead{Stamp: h.stamp(), Config: accountConfig(2, testKey)})
	h.arriveWithKey("not confirmed", "/place/1", "", testKey)
	g.Expect(h.refusalCode("not confirmed")).To(Equal(rpverdict.CodeAccountsUnconfirmed))
	confirm()
	h.arriveWithKey("confirmed", "/place/1", "", testKey)
	g.Expect(h.lastAttempt("confirmed").Account).To(Equal(testAccount))
}
