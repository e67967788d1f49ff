package rpcapacity_test

import (
	"encoding/json"
	"flag"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcapacity"
	"github.com/rattanpaddle/rattanpaddle/internal/rppeer"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

var (
	measure = flag.Bool("measure", false, "measure the slopes into docs/capacity.json")
	update  = flag.Bool("update", false, "render docs/CAPACITY.md")
)

const (
	slopesFile = "../../docs/capacity.json"
	pageFile   = "../../docs/CAPACITY.md"
)

// Guards against a page whose figures do not match the measured slopes.
func TestPage(t *testing.T) {
	g := NewWithT(t)
	slopes, err := rpcapacity.Load(slopesFile)
	g.Expect(err).NotTo(HaveOccurred())
	page := rpcapacity.Page(slopes)
	if *update {
		g.Expect(os.WriteFile(pageFile, []byte(page), 0o644)).To(Succeed())
	}
	body, err := os.ReadFile(pageFile)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal(page), "run: scripts/capacity")
}

// Guards against formulas that ignore the request rate: the processor time must
// be the requests of one instance times the slope, and double with the rate.
func TestCostsScale(t *testing.T) {
	g := NewWithT(t)
	slopes := rpcapacity.Slopes{RequestNS: rpcapacity.Slope{Today: 10e3, Design: 50e3}}
	size := rpcapacity.Design
	before := rpcapacity.Total(slopes.Costs(size))
	size.RequestsPerSecond *= 2
	after := rpcapacity.Total(slopes.Costs(size))
	g.Expect(after.CPUPercent).To(BeNumerically("~", 2*before.CPUPercent, 1e-9))
	g.Expect(before.CPUPercent).To(BeNumerically("~", 36000.0/460*50e3/1e7, 1e-9))
}

// Guards against a set-up whose requests are not served, so that the benchmarks
// would not run the code that they are to measure.
func TestFixtureServesRequests(t *testing.T) {
	g := NewWithT(t)
	s := withBenchState(rpcapacity.Snoepschep)
	g.Expect(s.request()).To(BeTrue())
	g.Expect(s.state.Status().Documents).To(HaveLen(2))
}

// TestMeasure measures and writes the slopes. It is no check: it runs only with
// -measure, from scripts/capacity.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure")
	}
	g := NewWithT(t)
	slopes := rpcapacity.Slopes{MeasuredAt: time.Now().UTC().Format(time.DateOnly), Machine: machine()}
	slopes.RequestNS = measureBoth(benchRequest)
	slopes.HeartbeatInNS = measureBoth(benchHeartbeatIn)
	slopes.HeartbeatTickNS = measureBoth(benchHeartbeatTick)
	slopes.ReportOwnNS = measureBoth(benchReportOwn)
	slopes.ReportShareNS = measureBoth(benchReportShare)
	slopes.ListSameNS = measureBoth(func(s *benchState, b *testing.B) { benchList(s, b, false) })
	slopes.ListChangedNS = measureBoth(func(s *benchState, b *testing.B) { benchList(s, b, true) })
	for _, engines := range []int{100, 1000, 12000} {
		slopes.StateBytes = append(slopes.StateBytes, rpcapacity.Point{Engines: engines, Value: stateBytes(engines)})
	}
	measureBytes(g, &slopes)
	slopes.RelayTokenNS = relayTokenNS(t)
	g.Expect(slopes.Store(slopesFile)).To(Succeed())
}

func machine() string {
	body, _ := os.ReadFile("/proc/cpuinfo")
	for line := range strings.Lines(string(body)) {
		if name, ok := strings.CutPrefix(line, "model name"); ok {
			return strings.TrimSpace(strings.TrimLeft(name, "\t :"))
		}
	}
	return runtime.GOARCH
}

// measureRuns is the number of runs of a benchmark. The result is their median.
const measureRuns = 5

func measureBoth(run func(*benchState, *testing.B)) rpcapacity.Slope {
	return rpcapacity.Slope{Today: medianNS(rpcapacity.Snoepschep, run), Design: medianNS(rpcapacity.Design, run)}
}

func medianNS(size rpcapacity.Size, run func(*benchState, *testing.B)) float64 {
	s := withBenchState(size)
	var values []float64
	for range measureRuns {
		result := testing.Benchmark(func(b *testing.B) { run(s, b) })
		values = append(values, float64(result.T.Nanoseconds())/float64(result.N))
	}
	slices.Sort(values)
	return values[measureRuns/2]
}

// advance moves the time forward by a step, so that alarms become due at a
// realistic rate. Their effects are not answered.
func (s *benchState) advance(step time.Duration) { s.now = s.now.Add(step) }

func benchRequest(s *benchState, b *testing.B) {
	for b.Loop() {
		s.advance(time.Microsecond)
		s.request()
	}
}

func (s *benchState) heartbeat(i int) rpcore.PeerReceived {
	identity := s.identity(i)
	heartbeat := &rpcore.Heartbeat{Identity: identity}
	return rpcore.PeerReceived{Stamp: s.stamp(), From: identity.Instance, Message: rpcore.PeerMessage{Heartbeat: heartbeat}}
}

func benchHeartbeatIn(s *benchState, b *testing.B) {
	i := 0
	for b.Loop() {
		i = i%(s.size.Instances-1) + 1
		s.advance(time.Microsecond)
		s.reduce(s.heartbeat(i))
	}
}

func benchHeartbeatTick(s *benchState, b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		for i := 1; i < s.size.Instances; i++ {
			s.reduce(s.heartbeat(i))
		}
		s.advance(time.Second)
		b.StartTimer()
		s.reduce(rpcore.Tick{Stamp: s.stamp()})
	}
}

func benchReportOwn(s *benchState, b *testing.B) {
	i := 0
	for b.Loop() {
		i = (i + 1) % len(s.localEngines)
		s.advance(time.Microsecond)
		s.report(s.localEngines[i])
	}
}

func benchReportShare(s *benchState, b *testing.B) {
	i := 0
	for b.Loop() {
		i = (i + 1) % len(s.localEngines)
		s.advance(time.Microsecond)
		report := s.engineReport(s.localEngines[i])
		s.reduce(rpcore.PeerReceived{
			Stamp: s.stamp(), From: s.identity(1).Instance,
			Message: rpcore.PeerMessage{ReportShare: &rpcore.ReportShare{Report: report}},
		})
	}
}

func benchList(s *benchState, b *testing.B, changed bool) {
	n := 0
	for b.Loop() {
		n++
		s.advance(time.Microsecond)
		members := s.members
		if changed {
			members = slices.Clone(members)
			last := &members[len(members)-1]
			last.Incarnation = rpcore.Incarnation([]string{"a", "b"}[n%2])
		}
		s.reduce(rpcore.MembersListed{Stamp: s.stamp(), Members: members})
	}
}

// stateBytes returns the heap size of a State at the design size, but with the
// given number of engines.
func stateBytes(engines int) float64 {
	size := rpcapacity.Design
	size.Engines = engines
	before := heapBytes()
	s := withBenchState(size)
	s.members, s.localEngines = nil, nil
	after := heapBytes()
	runtime.KeepAlive(s)
	return float64(after) - float64(before)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func measureBytes(g *WithT, slopes *rpcapacity.Slopes) {
	s := withBenchState(rpcapacity.Design)
	self := s.identity(1)
	frame := func(message rpcore.PeerMessage) float64 {
		body, err := cbor.Marshal(rppeer.Envelope{Version: rppeer.Version, From: self.Instance, Message: message})
		g.Expect(err).NotTo(HaveOccurred())
		return float64(len(body))
	}
	report := s.engineReport(s.localEngines[0])
	row := rpcore.DocumentRow{
		Service: serviceName(1), Version: 1000, Hash: rpdocument.Hash(nil), Editor: editorHash,
		AcceptedAt: s.now, Submission: "3f8f2c6e-5d0e-4c6b-8a55-0a2a3b4c5d6e",
	}
	slopes.HeartbeatBytes = frame(rpcore.PeerMessage{Heartbeat: &rpcore.Heartbeat{Identity: self, Digest: 1 << 60}})
	slopes.ReportShareBytes = frame(rpcore.PeerMessage{ReportShare: &rpcore.ReportShare{Report: report}})
	slopes.DemandBytes = frame(rpcore.PeerMessage{Demand: &rpcore.Demand{
		Model: rpcore.ModelKey{Service: serviceName(1), Name: "model-01"}, Rank: rpdocument.RankUrgent, Waiting: 3,
		Oldest: time.Second, FailureDomain: self.FailureDomain,
	}})
	slopes.NoticeBytes = frame(rpcore.PeerMessage{DocumentPush: &rpcore.DocumentPush{DocumentRow: row}})
	answer, err := json.Marshal(report)
	g.Expect(err).NotTo(HaveOccurred())
	// The request line and the headers of request and answer take about 300
	// bytes.
	slopes.ReportPollBytes = float64(len(answer)) + 300
	entry, err := json.Marshal(s.members[len(s.members)-1])
	g.Expect(err).NotTo(HaveOccurred())
	slopes.ListEntryBytes = float64(len(entry)) + 1
}
