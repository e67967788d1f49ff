package rptimeview

import (
	"encoding/json"
	"io"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
)

// traceEvent is an event of the Trace Event Format, which trace viewers such as
// chrome://tracing read. Times are in microseconds.
type traceEvent struct {
	Name     string         `json:"name"`
	Phase    string         `json:"ph"`
	Time     int64          `json:"ts"`
	Process  int            `json:"pid"`
	Thread   int            `json:"tid"`
	ID       string         `json:"id,omitempty"`
	Category string         `json:"cat,omitempty"`
	Scope    string         `json:"s,omitempty"`
	Args     map[string]any `json:"args,omitempty"`
}

type traceFile struct {
	Events []traceEvent `json:"traceEvents"`
	Unit   string       `json:"displayTimeUnit"`
}

// chromeTrace builds a trace with one process for each instance and one thread
// for each part. Requests, attempts and orders are spans. Each entry is also an
// instant event.
type chromeTrace struct {
	events    []traceEvent
	processes map[string]int
	openSpans map[string]bool
}

func (v *View) writeChrome(w io.Writer) error {
	t := chromeTrace{events: []traceEvent{}, processes: map[string]int{}, openSpans: map[string]bool{}}
	for i, head := range v.Heads {
		t.processes[head.Instance] = i + 1
		t.addMetadata("process_name", i+1, 0, head.Instance+" ("+head.FailureDomain+")")
		for _, part := range rptimeline.Parts() {
			t.addMetadata("thread_name", i+1, int(part)+1, part.String())
		}
	}
	v.eachLine(func(remark *Remark, entry *rptimeline.Entry) {
		if remark != nil {
			t.addRemark(remark)
			return
		}
		t.addEntry(entry)
	})
	return json.NewEncoder(w).Encode(traceFile{Events: t.events, Unit: "ms"})
}

func (t *chromeTrace) addMetadata(name string, process, thread int, value string) {
	t.events = append(t.events, traceEvent{Name: name, Phase: "M", Process: process, Thread: thread, Args: map[string]any{"name": value}})
}

func (t *chromeTrace) addRemark(remark *Remark) {
	t.events = append(t.events, traceEvent{
		Name: remark.Code, Phase: "i", Scope: "p", Time: microseconds(remark.Clock), Process: t.processes[remark.Instance],
		Category: "remark", Args: map[string]any{"text": remark.Text},
	})
}

// microseconds returns the time of a timestamp. The counter stands for the
// microseconds, so that a viewer keeps the order of entries within one
// millisecond.
func microseconds(c rptimeline.Clock) int64 {
	return c.Milliseconds()*1000 + min(int64(c.Counter()), 999)
}

func (t *chromeTrace) addEntry(e *rptimeline.Entry) {
	event := traceEvent{
		Name: e.Kind.String(), Time: microseconds(e.Clock), Process: t.processes[e.Instance], Thread: int(e.Part) + 1,
		Category: e.Part.String(), Args: map[string]any{"text": Sentence(e)},
	}
	span := func(id, name string, begins, ends bool) {
		if id == "" || ends && !t.openSpans[id] {
			return
		}
		t.openSpans[id] = begins
		s := event
		s.ID, s.Name, s.Phase = id, name, "e"
		if begins {
			s.Phase = "b"
		}
		t.events = append(t.events, s)
	}
	switch e.Kind {
	case rptimeline.KindRequestArrived:
		span("request "+e.Request, "request "+e.ModelName(), true, false)
	case rptimeline.KindAttemptStarted:
		span("attempt "+e.Attempt, "attempt at "+e.Endpoint, true, false)
	case rptimeline.KindOrderSent:
		span("order "+e.Order, e.Code+" "+e.ModelName(), true, false)
	}
	event.Phase, event.Scope = "i", "t"
	t.events = append(t.events, event)
	switch e.Kind {
	case rptimeline.KindAttemptEnded:
		span("attempt "+e.Attempt, "attempt at "+e.Endpoint, false, true)
		if e.Code == codeComplete {
			span("request "+e.Request, "request "+e.ModelName(), false, true)
		}
	case rptimeline.KindRequestRefused, rptimeline.KindOutcomeReplayed, rptimeline.KindRequestAbandoned:
		span("request "+e.Request, "request "+e.ModelName(), false, true)
	case rptimeline.KindOrderAnswered:
		span("order "+e.Order, "order "+e.ModelName(), false, true)
	}
}
