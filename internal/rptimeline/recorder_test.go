package rptimeline_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

var epoch = time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC)

func at(ms int) rpcore.Stamp {
	return rpcore.Stamp{At: epoch.Add(time.Duration(ms) * time.Millisecond)}
}

// messageInTransit is a message between two instances of TestMergeOrderIsCausal.
type messageInTransit struct {
	to, id string
	clock  rptimeline.Clock
}

// Guards against a merged time line that shows an effect before its cause. The
// clocks of the hosts differ by seconds and step back, and messages are delayed
// and reordered.
func TestMergeOrderIsCausal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		recorders, now := map[string]*rptimeline.Recorder{}, map[string]int{}
		for _, name := range names {
			recorders[name] = &rptimeline.Recorder{}
			now[name] = rapid.IntRange(-5000, 5000).Draw(t, "offset")
			recorders[name].Record(rpcore.Start{Stamp: at(now[name]), Self: rpcore.Identity{Instance: rpcore.InstanceID(name)}}, nil)
		}
		var inTransit []messageInTransit
		causes := map[string]string{} // The id of an entry to the id of an earlier entry that caused it.
		last := map[string]string{}
		recordArrival := func(name, id string, effects ...rpcore.Effect) {
			now[name] += rapid.IntRange(-3, 10).Draw(t, "step")
			recorders[name].Record(rpcore.RequestArrived{Stamp: at(now[name]), Request: rpcore.Request{ID: rpcore.RequestID(id)}}, effects)
			causes[id], last[name] = last[name], id
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			name := rapid.SampledFrom(names).Draw(t, "instance")
			id := fmt.Sprintf("%s-%d", name, i)
			if len(inTransit) > 0 && rapid.Bool().Draw(t, "deliver") {
				n := rapid.IntRange(0, len(inTransit)-1).Draw(t, "flight")
				got := inTransit[n]
				inTransit = slices.Delete(inTransit, n, n+1)
				recorders[got.to].Merge(got.clock)
				recordArrival(got.to, got.id+">"+id)
				causes[got.id+">"+id+"*"] = got.id
				continue
			}
			to := rapid.SampledFrom(names).Draw(t, "to")
			recordArrival(name, id, rpcore.SendPeer{To: rpcore.InstanceID(to), Message: rpcore.PeerMessage{TicketGrant: &rpcore.TicketGrant{}}})
			inTransit = append(inTransit, messageInTransit{to: to, id: id, clock: recorders[name].Tick()})
		}
		var merged []rptimeline.Entry
		for _, name := range names {
			merged = append(merged, recorders[name].Select(rptimeline.Query{}).Entries...)
		}
		slices.SortStableFunc(merged, func(a, b rptimeline.Entry) int { return cmp.Compare(a.Clock, b.Clock) })
		position := map[string]int{}
		for i := range merged {
			if merged[i].Kind == rptimeline.KindRequestArrived {
				position[merged[i].Request] = i
			}
		}
		for id, cause := range causes {
			id = strings.TrimSuffix(id, "*")
			if cause != "" && position[cause] >= position[id] {
				t.Fatalf("%s comes before its cause %s", id, cause)
			}
		}
	})
}

// Guards against a ring that exceeds its limits, loses the newest entries,
// corrupts records when it wraps around, or does not count dropped entries.
func TestRingBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 50).Draw(t, "entries")
		bytes := rapid.IntRange(1, 20000).Draw(t, "bytes")
		total := rapid.IntRange(0, 300).Draw(t, "total")
		recorder := &rptimeline.Recorder{Entries: entries, Bytes: bytes}
		recorder.Record(rpcore.Start{Stamp: at(0)}, nil)
		for i := range total {
			name := strings.Repeat("x", rapid.IntRange(0, 400).Draw(t, "length"))
			recorder.Record(rpcore.ListUnavailable{Stamp: at(i)}, []rpcore.Effect{rpcore.Note{Part: "replicas", Request: rpcore.RequestID(fmt.Sprint(i)), Text: name}})
		}
		page := recorder.Select(rptimeline.Query{})
		count := uint64(len(page.Entries))
		if len(page.Entries) > entries || page.Head.Overwritten+count != uint64(2*total+1) {
			t.Fatalf("%d entries of at most %d, %d overwritten", count, entries, page.Head.Overwritten)
		}
		if count > 0 && (page.Head.Oldest != page.Entries[0].Clock || total > 0 && page.Entries[count-1].Request != fmt.Sprint(total-1)) {
			t.Fatalf("wrong ends: %+v %+v", page.Head, page.Entries[count-1])
		}
		size := 0
		for i, entry := range page.Entries {
			size += len(entry.Request) + len(entry.Text)
			if i > 0 && entry.Clock <= page.Entries[i-1].Clock || len(entry.Text) > 255 {
				t.Fatalf("entry %d is wrong: %+v", i, entry)
			}
		}
		if size > max(bytes, 5000) {
			t.Fatalf("%d bytes of at most %d", size, bytes)
		}
	})
}

// Guards against filters that miss the later entries of a request, attempt or
// order, because these are recorded without the model and endpoint, and against
// a limit that does not count the entries that it omits.
func TestFilters(t *testing.T) {
	g := NewWithT(t)
	recorder := &rptimeline.Recorder{}
	recorder.Record(rpcore.Start{Stamp: at(0), Self: rpcore.Identity{Instance: "a"}}, nil)
	model := rpcore.ModelKey{Service: "mix", Name: "m"}
	for i, id := range []rpcore.RequestID{"r1", "r2"} {
		attempt := rpcore.AttemptID("t" + id)
		recorder.Record(rpcore.RequestArrived{Stamp: at(i), Request: rpcore.Request{ID: id, ModelName: fmt.Sprintf("mix/m%d", i+1)}},
			[]rpcore.Effect{rpcore.StartAttempt{Request: id, Attempt: attempt, Endpoint: rpcore.EndpointID("e-" + id)}})
		recorder.Record(rpcore.AttemptFirstToken{Stamp: at(i), Request: id, Attempt: attempt}, nil)
		recorder.Record(rpcore.AttemptEnded{Stamp: at(i), Request: id, Attempt: attempt}, nil)
	}
	recorder.Record(rpcore.Tick{Stamp: at(2)}, []rpcore.Effect{rpcore.SendOrder{Order: "o1", Model: model, Endpoint: "e-r1"}})
	recorder.Record(rpcore.OrderAnswered{Stamp: at(3), Order: "o1", Endpoint: "e-r1"}, nil)
	count := func(query rptimeline.Query) int { return len(recorder.Select(query).Entries) }
	g.Expect(count(rptimeline.Query{})).To(Equal(11))
	g.Expect(count(rptimeline.Query{Request: "r1"})).To(Equal(4))
	g.Expect(count(rptimeline.Query{Model: "m2"})).To(Equal(4))
	g.Expect(count(rptimeline.Query{Model: "mix/m"})).To(Equal(2))
	g.Expect(count(rptimeline.Query{Endpoint: "e-r1"})).To(Equal(5))
	g.Expect(count(rptimeline.Query{Service: "mix"})).To(Equal(10))
	g.Expect(count(rptimeline.Query{Part: "replicas"})).To(Equal(2))
	g.Expect(count(rptimeline.Query{Since: rptimeline.ClockAt(at(2).At)})).To(Equal(2))
	page := recorder.Select(rptimeline.Query{Limit: 3})
	g.Expect(page.Entries).To(HaveLen(3))
	g.Expect(page.Head.Omitted).To(Equal(8))
	query := rptimeline.Query{Since: 5 << 16, Limit: 3, Service: "s", Model: "m", Request: "r", Endpoint: "e", Part: "peer"}
	g.Expect(rptimeline.ParseQuery(query.Values())).To(Equal(query))
}

// Guards against credentials, idempotency keys and bodies on the time line.
func TestNoSecretIsRecorded(t *testing.T) {
	g := NewWithT(t)
	recorder := &rptimeline.Recorder{}
	request := rpcore.Request{ID: "r", Credential: "SECRET", IdempotencyKey: "SECRET", Fingerprint: "SECRET", Session: "SECRET"}
	claim := rpcore.RowWrite{Key: rpcore.RowKey{Kind: rpcore.RowClaim, Service: "s", Name: "SECRET"}}
	push := rpcore.PeerMessage{DocumentPush: &rpcore.DocumentPush{Body: []byte("SECRET")}}
	recorder.Record(rpcore.RequestArrived{Stamp: at(0), Request: request}, []rpcore.Effect{
		rpcore.WriteTable{Writes: []rpcore.RowWrite{claim}},
		rpcore.SendPeer{Message: push},
		rpcore.ReplayOutcome{Request: "r", Outcome: rpcore.Outcome{Body: []byte("SECRET")}},
	})
	recorder.Record(rpcore.DocumentSubmitted{Stamp: at(1), Editor: "SECRET", Body: []byte("SECRET")}, nil)
	page := recorder.Select(rptimeline.Query{})
	g.Expect(page.Entries).To(HaveLen(5))
	g.Expect(fmt.Sprintf("%+v", page)).NotTo(ContainSubstring("SECRET"))
}

// Guards against one host with a wrong clock that advances the clocks of all
// other instances.
func TestClockFarAheadIsNotMerged(t *testing.T) {
	g := NewWithT(t)
	recorder := &rptimeline.Recorder{}
	recorder.Merge(rptimeline.ClockAt(time.Now().Add(time.Hour)))
	g.Expect(recorder.Tick().Time()).To(BeTemporally("<", time.Now().Add(rptimeline.MaxAhead)))
	g.Expect(recorder.Select(rptimeline.Query{}).Head.RejectedClocks).To(BeEquivalentTo(1))
}

// Guards against a refusal by the front end that leaves no entry, and against
// an outcome that was too large to keep being recorded as a replayed answer.
func TestFrontEndRefusalsAreRecorded(t *testing.T) {
	g := NewWithT(t)
	recorder := &rptimeline.Recorder{}
	recorder.Record(rpcore.Start{Stamp: at(0), Self: rpcore.Identity{Instance: "a"}}, nil)
	recorder.Record(rpcore.RequestRejected{Stamp: at(1), Request: "r1", Refusal: rpverdict.Refuse(rpverdict.CodeBodyTooLarge, "Too large.")}, nil)
	recorder.Record(rpcore.Tick{Stamp: at(2)}, []rpcore.Effect{rpcore.ReplayOutcome{Request: "r2", Outcome: rpcore.Outcome{Truncated: true}}})
	rejected := recorder.Select(rptimeline.Query{Request: "r1"}).Entries
	g.Expect(rejected).To(HaveLen(1))
	g.Expect(rejected[0].Kind).To(Equal(rptimeline.KindRequestRejected))
	g.Expect(rejected[0].Code).To(Equal("body_too_large"))
	g.Expect(rejected[0].Text).To(Equal("Too large."))
	g.Expect(*rejected[0].Verdict).To(Equal(rpverdict.NotRun))
	kept := recorder.Select(rptimeline.Query{Request: "r2"}).Entries
	g.Expect(kept[0].Kind).To(Equal(rptimeline.KindRequestRefused))
	g.Expect(kept[0].Code).To(Equal("outcome_not_kept"))
	g.Expect(*kept[0].Verdict).To(Equal(rpverdict.Ran))
}
