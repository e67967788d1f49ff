package rptimeview_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/internal/rptimeview"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

var update = flag.Bool("update", false, "write the golden files")

var epoch = time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC)

func clock(ms, counter int) rptimeline.Clock {
	return rptimeline.ClockAt(epoch.Add(time.Duration(ms)*time.Millisecond)) + rptimeline.Clock(counter)
}

func entry(instance string, c rptimeline.Clock, kind rptimeline.Kind, fill func(*rptimeline.Entry)) rptimeline.Entry {
	e := rptimeline.Entry{Instance: instance, Clock: c, Kind: kind, Part: kind.Info().Part}
	fill(&e)
	return e
}

// withView returns a merged view of a request that waited for a load ordered by
// the home of its model. The view has an overwritten gap, omitted entries, an
// address without an answer and a live instance that was not asked.
func withView() *rptimeview.View {
	request := func(e *rptimeline.Entry) {
		e.Request, e.Service, e.Model = "order-7.x", "mix", "m"
	}
	ran, order := rpverdict.Ran, func(e *rptimeline.Entry) { e.Order, e.Service, e.Model, e.Endpoint = "o1", "mix", "m", "engine-1" }
	first := rptimeline.Page{
		Head: rptimeline.Head{Instance: "entry-1a", FailureDomain: "d1", Oldest: clock(0, 0), Overwritten: 12},
		Entries: []rptimeline.Entry{
			entry("entry-1a", clock(0, 0), rptimeline.KindRequestArrived, func(e *rptimeline.Entry) { request(e); e.Code = "urgent" }),
			entry("entry-1a", clock(0, 1), rptimeline.KindMessageSent, func(e *rptimeline.Entry) { e.Peer, e.Code = "entry-2a", "demand" }),
			entry("entry-1a", clock(310, 0), rptimeline.KindAttemptStarted, func(e *rptimeline.Entry) {
				request(e)
				e.Attempt, e.Endpoint, e.Code = "a1", "engine-1", "urgent"
			}),
			entry("entry-1a", clock(330, 0), rptimeline.KindFirstToken, func(e *rptimeline.Entry) { request(e); e.Attempt, e.Endpoint = "a1", "engine-1" }),
			entry("entry-1a", clock(350, 0), rptimeline.KindAttemptEnded, func(e *rptimeline.Entry) {
				request(e)
				e.Attempt, e.Endpoint, e.Code, e.Verdict, e.Count = "a1", "engine-1", "complete", &ran, 8
			}),
		},
	}
	second := rptimeline.Page{
		Head: rptimeline.Head{Instance: "entry-2a", FailureDomain: "d2", Oldest: clock(-9, 0), Omitted: 3},
		Entries: []rptimeline.Entry{
			entry("entry-2a", clock(0, 2), rptimeline.KindMessageReceived, func(e *rptimeline.Entry) { e.Peer, e.Code = "entry-1a", "demand" }),
			entry("entry-2a", clock(1, 0), rptimeline.KindOrderSent, func(e *rptimeline.Entry) { order(e); e.Code, e.Count = "load_model", 4 }),
			entry("entry-2a", clock(301, 0), rptimeline.KindOrderAnswered, func(e *rptimeline.Entry) { order(e); e.Code = "done" }),
			entry("entry-2a", clock(302, 0), rptimeline.KindNote, func(e *rptimeline.Entry) { e.Text = "loaded </script><b>" }),
		},
	}
	live := []rpcore.InstanceStatus{{ID: "entry-1a", Live: true}, {ID: "entry-3a", Live: true}, {ID: "entry-3b"}}
	return rptimeview.Merge([]rptimeview.Source{
		{Address: netip.MustParseAddrPort("127.0.0.1:1"), Page: second},
		{Address: netip.MustParseAddrPort("127.0.0.1:2"), Page: first, Instances: live},
		{Address: netip.MustParseAddrPort("127.0.0.1:3"), Err: errors.New("no answer")},
	}, rptimeline.Query{})
}

// Guards against accidental changes of the output formats, and against a gap or
// a missing instance that the output does not show.
func TestGolden(t *testing.T) {
	for _, format := range rptimeview.Formats {
		g := NewWithT(t)
		var out bytes.Buffer
		g.Expect(withView().Write(&out, format)).To(Succeed())
		expectGolden(t, "timeline."+string(format), out.Bytes())
	}
	explanation, err := rptimeview.Explain(withView(), "order-7", "")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	expectGolden(t, "explain.text", []byte(explanation.Text()))
}

func expectGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	g := NewWithT(t)
	name = "_fixtures/" + name
	if *update {
		g.Expect(os.WriteFile(name, got, 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(string(want)), "run: go test ./internal/rptimeview -update")
}

// Guards against a page that loads resources from other hosts or executes text
// from an entry, and against a trace with spans that do not end.
func TestPagesAreSafe(t *testing.T) {
	g := NewWithT(t)
	var html, chrome bytes.Buffer
	g.Expect(withView().Write(&html, rptimeview.FormatHTML)).To(Succeed())
	g.Expect(html.String()).NotTo(MatchRegexp(`(?i)https?:|src=|href=|url\(|@import`))
	g.Expect(strings.Count(html.String(), "</script>")).To(Equal(2))
	g.Expect(html.String()).NotTo(ContainSubstring("<b>"))
	g.Expect(withView().Write(&chrome, rptimeview.FormatChrome)).To(Succeed())
	var trace struct {
		TraceEvents []struct {
			Phase string `json:"ph"`
			ID    string
		}
	}
	g.Expect(json.Unmarshal(chrome.Bytes(), &trace)).To(Succeed())
	open := map[string]int{}
	for _, event := range trace.TraceEvents {
		switch event.Phase {
		case "b":
			open[event.ID]++
		case "e":
			open[event.ID]--
		}
	}
	g.Expect(open).To(Equal(map[string]int{"request order-7.x": 0, "attempt a1": 0, "order o1": 0}))
}

// Guards against an explanation with a wrong verdict on whether the request ran.
func TestVerdicts(t *testing.T) {
	arrived := entry("a", clock(0, 0), rptimeline.KindRequestArrived, func(e *rptimeline.Entry) { e.Request = "r" })
	started := entry("a", clock(1, 0), rptimeline.KindAttemptStarted, func(e *rptimeline.Entry) { e.Request = "r" })
	gone := entry("a", clock(2, 0), rptimeline.KindRequestAbandoned, func(e *rptimeline.Entry) { e.Request = "r" })
	mayHaveRun := rpverdict.MayHaveRun
	refused := entry("a", clock(2, 0), rptimeline.KindRequestRefused, func(e *rptimeline.Entry) { e.Request, e.Verdict = "r", &mayHaveRun })
	rejected := entry("a", clock(2, 0), rptimeline.KindRequestRejected, func(e *rptimeline.Entry) { e.Request, e.Verdict = "r", new(rpverdict.NotRun) })
	replayed := entry("a", clock(2, 0), rptimeline.KindOutcomeReplayed, func(e *rptimeline.Entry) { e.Request = "r" })
	for verdict, entries := range map[string][]rptimeline.Entry{
		"": {arrived, started}, "not_run": {rejected}, "may_have_run": {arrived, started, gone}, "ran": {arrived, replayed},
	} {
		x, err := rptimeview.Explain(&rptimeview.View{Entries: entries}, "r", "")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(x.Verdict).To(Equal(verdict))
	}
	x, err := rptimeview.Explain(&rptimeview.View{Entries: []rptimeline.Entry{arrived, gone}}, "r", "")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(x.Verdict).To(Equal("not_run"))
	x, err = rptimeview.Explain(&rptimeview.View{Entries: []rptimeline.Entry{arrived, refused}}, "r", "")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(x.Verdict).To(Equal("may_have_run"))
	_, err = rptimeview.Explain(&rptimeview.View{}, "r", "")
	NewWithT(t).Expect(err).To(MatchError(&rptimeview.UnknownRequestError{Request: "r"}))
}

// Guards against an explanation of a request for an adapter that lacks the load
// of its base model, or that shows loads of other models or loads after the
// first attempt.
func TestBaseModelIsExplained(t *testing.T) {
	g := NewWithT(t)
	about := func(kind rptimeline.Kind, ms int, model, request string) rptimeline.Entry {
		return entry("a", clock(ms, 0), kind, func(e *rptimeline.Entry) {
			e.Service, e.Model, e.Request, e.Code, e.Endpoint = "mix", model, request, "x", "engine-1"
		})
	}
	view := &rptimeview.View{Entries: []rptimeline.Entry{
		about(rptimeline.KindRequestArrived, 0, "adapter", "r"),
		about(rptimeline.KindOrderSent, 1, "base", ""),
		about(rptimeline.KindOrderSent, 2, "other", ""),
		about(rptimeline.KindOrderSent, 3, "adapter", ""),
		about(rptimeline.KindAttemptStarted, 4, "adapter", "r"),
		about(rptimeline.KindOrderSent, 5, "base", ""),
	}}
	x, err := rptimeview.Explain(view, "r", "mix/base")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(x.BaseModel).To(Equal("mix/base"))
	g.Expect(x.Steps).To(HaveLen(4))
	g.Expect(x.Steps[1].Text).To(Equal("The instance ordered engine engine-1: x of mix/base. This is the base model of the adapter."))
	x, err = rptimeview.Explain(view, "r", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(x.Steps).To(HaveLen(3))
}
