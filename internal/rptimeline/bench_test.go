package rptimeline_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpnode"
	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	benchModels  = 20
	benchEngines = 5
	// benchRoundRequests is the number of requests between two switches of
	// recording on or off.
	benchRoundRequests = 1000
	// benchConcurrentRequests is the number of requests in progress at once.
	benchConcurrentRequests = 50
)

// benchNode is a node whose effect handlers answer every attempt immediately.
type benchNode struct {
	node  *rpnode.Node
	ended chan struct{}
	// recording is true while events are recorded.
	recording   atomic.Bool
	lastRequest int
}

func (n *benchNode) post(ev rpcore.Event) { n.node.Post(ev) }

func stampNow() rpcore.Stamp { return rpcore.Stamp{At: time.Now()} }

func benchDocument() []byte {
	text := "format = 1\nservice = \"mix\"\nteam = \"mix\"\neditors = [\"" + rpdocument.Hash([]byte("e")) + "\"]\n\n[spend]\naccelerators = 40\n\n"
	for i := range benchModels {
		text += fmt.Sprintf("[[models]]\nname = \"model-%03d\"\nversion = \"1\"\ncheckpoint = \"w/%d\"\nmemory = \"1GiB\"\nmax_replicas = 5\nrank = \"normal\"\n\n", i, i)
	}
	return []byte(text)
}

// withBenchNode returns a running node that has a document in force and engines
// on which all models of the document are loaded.
func withBenchNode(b *testing.B, recorder *rptimeline.Recorder) *benchNode {
	n := &benchNode{ended: make(chan struct{}, benchConcurrentRequests)}
	n.node = &rpnode.Node{}
	n.node.Record = func(ev rpcore.Event, effects []rpcore.Effect) {
		if n.recording.Load() {
			recorder.Record(ev, effects)
		}
	}
	n.node.Handlers.StartAttempt = func(a rpcore.StartAttempt) {
		n.post(rpcore.AttemptFirstToken{Stamp: stampNow(), Attempt: a.Attempt, Request: a.Request})
		n.post(rpcore.AttemptEnded{
			Stamp: stampNow(), Attempt: a.Attempt, Request: a.Request, Reason: rpcore.AttemptComplete,
			Verdict: rpverdict.Ran, TokensRelayed: 32,
		})
		n.ended <- struct{}{}
	}
	n.node.Handlers.RefuseRequest = func(r rpcore.RefuseRequest) { b.Errorf("refused: %v", r.Refusal) }
	n.node.Handlers.ReadTable = func(read rpcore.ReadTable) { go n.post(rpcore.TableReadDone{Stamp: stampNow(), Op: read.Op}) }
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	self := rpcore.Identity{Instance: "entry-1a", Incarnation: "1", FailureDomain: "d1"}
	go func() { _ = n.node.Run(ctx, rpcore.Start{Self: self, Seed: 1}) }()
	n.loadState()
	return n
}

func (n *benchNode) loadState() {
	body := benchDocument()
	row := rpcore.DocumentRow{Service: "mix", Version: 1, Hash: rpdocument.Hash(body), AcceptedAt: time.Now()}
	members := []rpcore.Member{
		{ID: "entry-1a", Kind: rpcore.MemberInstance, FailureDomain: "d1", Incarnation: "1"},
		{ID: "entry-1b", Kind: rpcore.MemberInstance, FailureDomain: "d1", Incarnation: "1"},
	}
	for i := range benchEngines {
		members = append(members, rpcore.Member{
			ID: fmt.Sprintf("engine-%d", i), Kind: rpcore.MemberEngine, Service: "mix", FailureDomain: "d1", Incarnation: "1", Memory: 80 * rpdocument.GiB,
		})
	}
	n.post(rpcore.MembersListed{Stamp: stampNow(), Members: members})
	n.post(rpcore.PeerReceived{Stamp: stampNow(), From: "entry-1b", Message: rpcore.PeerMessage{DocumentPush: &rpcore.DocumentPush{DocumentRow: row, Body: body}}})
	for i := range benchEngines {
		report := rpcore.EngineReport{Endpoint: rpcore.EndpointID(fmt.Sprintf("engine-%d", i)), Incarnation: "1", Sequence: 1, TakenAt: time.Now(), Memory: 80 * rpdocument.GiB}
		for m := range benchModels {
			key := rpcore.ModelKey{Service: "mix", Name: fmt.Sprintf("model-%03d", m)}
			report.Loaded = append(report.Loaded, rpcore.LoadedModel{Key: key, Version: "1", Memory: rpdocument.GiB})
		}
		n.post(rpcore.EngineReported{Stamp: stampNow(), Report: report})
	}
}

// runRequests sends requests, benchConcurrentRequests of them at once, and
// returns the processor time that the process used meanwhile.
func (n *benchNode) runRequests(requests int, recording bool) time.Duration {
	n.recording.Store(recording)
	begin := processorTime()
	for range min(requests, benchConcurrentRequests) {
		n.sendRequest()
	}
	for i := range requests {
		<-n.ended
		if i+benchConcurrentRequests < requests {
			n.sendRequest()
		}
	}
	return processorTime() - begin
}

func (n *benchNode) sendRequest() {
	n.lastRequest++
	n.post(rpcore.RequestArrived{Stamp: stampNow(), Request: rpcore.Request{
		ID: rpcore.RequestID("3f0c9a4e-5a34-4c6e-9d5b-" + strconv.Itoa(100000000000+n.lastRequest)), ModelName: fmt.Sprintf("mix/model-%03d", n.lastRequest%benchModels),
		PromptTokens: 64, MaxTokens: 32,
	}})
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkNodeLoop measures the processor time that recording costs. Short
// rounds with and without recording alternate on one node in the order off, on,
// on, off, so that both see the same load of the machine and the same heap. The
// result is the median over all such cycles.
func BenchmarkNodeLoop(b *testing.B) {
	recorder := &rptimeline.Recorder{}
	n := withBenchNode(b, recorder)
	n.runRequests(rptimeline.DefaultEntries, true) // Fills the ring.
	var without, with, more []float64
	for b.Loop() {
		first, second := n.runRequests(benchRoundRequests, false), n.runRequests(benchRoundRequests, true)
		third, fourth := n.runRequests(benchRoundRequests, true), n.runRequests(benchRoundRequests, false)
		without = append(without, float64(first+fourth)/2/benchRoundRequests)
		with = append(with, float64(second+third)/2/benchRoundRequests)
		more = append(more, 100*(float64(second+third)/float64(first+fourth)-1))
	}
	b.ReportMetric(median(without), "cpu-ns/request-off")
	b.ReportMetric(median(with), "cpu-ns/request-on")
	b.ReportMetric(median(more), "percent-more")
	if page := recorder.Select(rptimeline.Query{Limit: 1}); page.Head.Overwritten == 0 {
		b.Error("the ring was not full")
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
