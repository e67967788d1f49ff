package rpsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// The users' rules on parts of prompts that crash engines.
const (
	// contactTime is the users' contact_ms.
	contactTime = 3 * time.Second
	// taintCrashes is the number of crashes from which the rules count.
	taintCrashes = 5
	// maxTaintedArrivals is how many requests with such a part may reach engines
	// later than contactTime after that.
	maxTaintedArrivals = 3
	// minBeginShare is the share of the earlier rate at which sound requests must
	// begin from twice contactTime after that.
	minBeginShare = 0.5
)

const (
	// taintWarmUp is long enough to know how often sound requests begin.
	taintWarmUp = 4 * time.Second
	// minTaintDuration is the time of the whole test, unless the last of the
	// crashes that count comes late.
	minTaintDuration = 18 * time.Second
	// taintMeasured is the time in which the begins of sound requests are counted
	// at the end.
	taintMeasured = 4 * time.Second
	// maxTaintInterval limits the time between two requests with a deadly part.
	maxTaintInterval = 500 * time.Millisecond
	// minDown and maxDown limit the time until an engine that crashed is back.
	minDown = 1500 * time.Millisecond
	maxDown = 3 * time.Second
	// taintEventDelay makes several streams run on an engine when it crashes, so
	// that a crash alone does not show whose prompt caused it.
	taintEventDelay = 20 * time.Millisecond
)

// taintFewModels is so small that each engine holds all models, so that a request with
// a deadly part can be repeated at any engine. Every second seed has so few.
const taintFewModels = 3

// Prompts consist of the part of one of soundCallers, some of sharedParts and a part
// of their own.
const (
	soundCallers = 3
	sharedParts  = 6
)

// taint is a part of prompts that crashes each engine that begins to write a response
// to it.
type taint struct {
	part string
	// firstPart is the first part of all prompts with the deadly one.
	firstPart string
	down      time.Duration
}

// Guards against a part of prompts that crashes one engine after another because
// requests with it are sent on and repeated, and against a remedy that also keeps
// away sound requests that share the caller and the other parts.
func TestSoakTaintedPrompts(t *testing.T) {
	for i := range max(1, *seedCount/2) {
		t.Run(strconv.FormatUint(*firstSeed+i, 10), func(t *testing.T) {
			t.Parallel()
			runTaintedPrompts(t, *firstSeed+i)
		})
	}
}

func runTaintedPrompts(t *testing.T, seed uint64) {
	env, load := withRunningEnvironment(t, seed, shape{
		directEngines: true, eventDelay: taintEventDelay, models: []int{modelCount, taintFewModels}[seed%2],
	})
	load.neverCancel = true
	load.choosePrompt = func(rng *rand.Rand) []rpfake.PromptPart { return soundPrompt(rng, rng.IntN(soundCallers)) }
	rng := rand.New(rand.NewPCG(seed, 5))
	caller := rng.IntN(soundCallers)
	found := taint{part: fmt.Sprintf("%x", rng.Uint32()), firstPart: soundPrompt(rng, caller)[0].ID, down: minDown + time.Duration(rng.Int64N(int64(maxDown-minDown)))}
	env.faultMu.Lock()
	env.deadlyParts = map[string]time.Duration{found.part: found.down}
	env.faultMu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	begin := time.Now()
	var sending sync.WaitGroup
	sending.Go(func() { load.run(ctx) })
	sending.Go(func() { load.sendTainted(ctx, rng, caller, found.part) })
	env.waitTaintEnd(begin.Add(minTaintDuration))
	end := time.Now()
	stop()
	sending.Wait()
	check := env.newChecker(load)
	check.contactTime = contactTime
	check.checkGuarantees()
	check.checkTaint(found, end.Add(-taintMeasured))
	for _, o := range load.outcomes {
		check.checkAnswered(o)
	}
	t.Logf("%d crashes, %d requests with the deadly part reached engines", len(check.crashes(found)), len(check.taintedArrivals(found)))
}

// waitTaintEnd waits until end, or longer until the rules on the last crash that
// counts can be judged.
func (env *environment) waitTaintEnd(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		var crashes []rpfake.Crash
		for _, e := range env.engines {
			crashes = append(crashes, e.Crashes()...)
		}
		if at, ok := lastCountedCrash(crashes); ok && end.Before(at.Add(2*contactTime+taintMeasured)) {
			end = at.Add(2*contactTime + taintMeasured)
		}
	}
}

// lastCountedCrash returns the time of the crash from which the rules count.
func lastCountedCrash(crashes []rpfake.Crash) (time.Time, bool) {
	slices.SortFunc(crashes, func(a, b rpfake.Crash) int { return a.At.Compare(b.At) })
	if len(crashes) < taintCrashes {
		return time.Time{}, false
	}
	return crashes[taintCrashes-1].At, true
}

// soundPrompt returns a prompt of a caller. Its last part is its own.
func soundPrompt(rng *rand.Rand, caller int) []rpfake.PromptPart {
	prompt := []rpfake.PromptPart{{ID: fmt.Sprintf("c%d", caller), Tokens: 40}}
	for _, i := range rng.Perm(sharedParts)[:1+rng.IntN(3)] {
		prompt = append(prompt, rpfake.PromptPart{ID: fmt.Sprintf("d%d", i), Tokens: 20})
	}
	return append(prompt, rpfake.PromptPart{ID: fmt.Sprintf("%x", rng.Uint64()), Tokens: 10})
}

// sendTainted sends requests with the deadly part to random instances. The part is
// at any place but the first and the last one.
func (g *loadGenerator) sendTainted(ctx context.Context, rng *rand.Rand, caller int, part string) {
	var running sync.WaitGroup
	defer running.Wait()
	time.Sleep(taintWarmUp)
	for n := 0; ctx.Err() == nil; n++ {
		prompt := soundPrompt(rng, caller)
		prompt = slices.Insert(prompt, 1+rng.IntN(len(prompt)-1), rpfake.PromptPart{ID: part, Tokens: 1 + rng.IntN(40)})
		o := outcome{
			id: fmt.Sprintf("tainted%d", n), route: []string{"suggest", "later"}[rng.IntN(2)], body: fmt.Sprint("tainted", n),
			model: rpfake.ModelName(rng.IntN(g.env.shape.models)), prompt: prompt, deadlyPart: part,
		}
		target := g.env.processes[rng.IntN(len(g.env.processes))]
		running.Go(func() { g.send(o, target, false) })
		time.Sleep(time.Duration(rng.Int64N(int64(maxTaintInterval))))
	}
}

// crashes returns the crashes that a taint caused.
func (c *checker) crashes(t taint) []rpfake.Crash {
	requests := c.requests()
	var found []rpfake.Crash
	for _, e := range c.engines {
		for _, crash := range e.Crashes() {
			if requests[crash.Request].deadlyPart == t.part {
				found = append(found, crash)
			}
		}
	}
	return found
}

// taintedArrivals returns the requests with the deadly part that reached engines, new
// ones and repeats, run and rejected ones.
func (c *checker) taintedArrivals(t taint) []rpfake.Arrival {
	var found []rpfake.Arrival
	for _, e := range c.engines {
		for _, a := range e.Arrivals() {
			if slices.Contains(a.Prompt, t.part) {
				found = append(found, a)
			}
		}
	}
	return found
}

// checkTaint verifies the rules on a deadly part. If fewer crashes than count
// happened, sound requests must begin as often from measuredFrom on.
func (c *checker) checkTaint(t taint, measuredFrom time.Time) {
	crashes := c.crashes(t)
	if len(crashes) == 0 {
		c.errorf("no request with the part %s crashed an engine", t.part)
		return
	}
	last, ok := lastCountedCrash(crashes)
	if ok {
		measuredFrom = last.Add(2 * c.contactTime)
		late := slices.DeleteFunc(c.taintedArrivals(t), func(a rpfake.Arrival) bool { return !a.At.After(last.Add(c.contactTime)) })
		if len(late) > maxTaintedArrivals {
			c.errorf("%d requests with the part %s reached engines later than %s after crash %d, the last %s after it", len(late), t.part,
				c.contactTime, taintCrashes, slices.MaxFunc(late, func(a, b rpfake.Arrival) int { return a.At.Compare(b.At) }).At.Sub(last))
		}
	}
	first := slices.MinFunc(crashes, func(a, b rpfake.Crash) int { return a.At.Compare(b.At) }).At
	begunBefore, sentBefore := c.soundBegins(t, time.Time{}, first)
	begunAfter, sentAfter := c.soundBegins(t, measuredFrom, time.Now())
	if sentBefore == 0 || sentAfter == 0 {
		c.errorf("%d sound requests were sent before the first crash and %d after %s", sentBefore, sentAfter, measuredFrom.Format(time.StampMilli))
		return
	}
	before, after := float64(begunBefore)/float64(sentBefore), float64(begunAfter)/float64(sentAfter)
	if after < minBeginShare*before {
		c.errorf("%d of %d sound requests that share the first part began after %s, %d of %d before the first crash", begunAfter, sentAfter,
			measuredFrom.Format(time.StampMilli), begunBefore, sentBefore)
	}
}

// soundBegins counts the sound streams with the first part of a taint that were sent
// within a time, and those whose response began.
func (c *checker) soundBegins(t taint, from, to time.Time) (begun, sent int) {
	for _, o := range c.outcomes {
		if !o.stream() || o.deadlyPart != "" || len(o.prompt) == 0 || o.prompt[0].ID != t.firstPart || o.sentAt.Before(from) || !o.sentAt.Before(to) {
			continue
		}
		sent++
		if o.Status == http.StatusOK && len(o.EventIDs()) > 0 {
			begun++
		}
	}
	return begun, sent
}

// Guards against checks of deadly parts that never fail: one part crashes the engines,
// reaches them again, and sound requests no longer begin.
func TestTaintChecksCanFail(t *testing.T) {
	const contact = 100 * time.Millisecond
	g := NewWithT(t)
	store := &rpfake.Store{}
	var found []string
	c := &checker{contactTime: contact, errorf: func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }}
	deadly := taint{part: "dead", firstPart: "c1"}
	c.checkTaint(deadly, time.Now())
	sound := []rpfake.PromptPart{{ID: deadly.firstPart, Tokens: 5}, {ID: "d1", Tokens: 5}}
	tainted := []rpfake.PromptPart{{ID: deadly.firstPart, Tokens: 5}, {ID: deadly.part, Tokens: 5}, {ID: "d1", Tokens: 5}}
	begun := rpfake.CallerResponse{Status: http.StatusOK, Complete: true, Body: "id: 1\n\n"}
	refused := rpfake.CallerResponse{Status: http.StatusServiceUnavailable, Complete: true}
	c.outcomes = append(c.outcomes, outcome{id: "before", route: "suggest", prompt: sound, sentAt: time.Now(), CallerResponse: begun})
	send := func(e *rpfake.Endpoint, id string) {
		g.Expect(e.SendRequest(rpfake.CallerRequest{ID: id, Path: "/suggest/1", Model: "m0", Prompt: tainted})).To(Succeed())
		c.outcomes = append(c.outcomes, outcome{id: id, route: "suggest", prompt: tainted, deadlyPart: deadly.part, CallerResponse: refused})
	}
	for i := range taintCrashes {
		e := &rpfake.Endpoint{
			ID: fmt.Sprint("e", i), Service: modelService, Models: []string{"m0"}, Events: 1,
			Fault: func(*http.Request) rpfake.EndpointFault { return rpfake.EndpointFault{Crash: time.Millisecond} },
		}
		g.Expect(e.Start(store)).To(Succeed())
		t.Cleanup(e.Stop)
		c.engines = append(c.engines, e)
		send(e, fmt.Sprint("crash", i))
	}
	time.Sleep(2 * contact)
	for i := range maxTaintedArrivals {
		send(c.engines[i], fmt.Sprint("late", i))
		g.Eventually(func() int { return len(c.engines[i].Arrivals()) }, time.Second).Should(Equal(2))
	}
	for _, part := range []string{"c1", "c2"} {
		prompt := []rpfake.PromptPart{{ID: part, Tokens: 5}, {ID: "d1", Tokens: 5}}
		after := outcome{id: "after " + part, route: "suggest", prompt: prompt, sentAt: time.Now(), CallerResponse: refused}
		c.outcomes = append(c.outcomes, after)
	}
	c.checkTaint(deadly, time.Time{})
	g.Expect(found).To(HaveLen(2), "%q", found)
	send(c.engines[maxTaintedArrivals], "one too many")
	c.checkTaint(deadly, time.Time{})
	c.outcomes = slices.DeleteFunc(c.outcomes, func(o outcome) bool { return o.id == "before" })
	c.checkTaint(deadly, time.Time{})
	all := strings.Join(found, "\n")
	for _, want := range []string{
		"no request with the part dead crashed an engine",
		"4 requests with the part dead reached engines later than 100ms after crash 5",
		"0 of 1 sound requests that share the first part began after", "1 of 1 before the first crash",
		"0 sound requests were sent before the first crash and 1 after",
	} {
		g.Expect(all).To(ContainSubstring(want))
	}
}
