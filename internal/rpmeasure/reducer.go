package rpmeasure

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Reducer measures a State with the given number of engines, one instance for
// every 26 engines, as at the design size, and one model for every 12. The
// results are the nanoseconds and allocations of a request (three events), of a
// report, of a heartbeat and of a tick one second after the last event
// (upkeep_second), and the heap size of the State in bytes.
func Reducer(engines int) map[string]float64 {
	services := max(1, engines/120)
	w, n := reducerState(engines, services)
	result := map[string]float64{"state_bytes": stateBytes(engines, services)}
	at, sequence := w.now, uint64(1)
	benchmark := func(name string, run func(i int)) {
		r := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				run(i)
			}
		})
		result[name+"_ns"], result[name+"_allocations"] = float64(r.NsPerOp()), float64(r.AllocsPerOp())
	}
	key := rpcore.ModelKey{Service: "s000", Name: modelName(0)}
	report := rpcore.EngineReport{
		Endpoint: "s000-e00", Incarnation: "s000-e00.1", Memory: engineMemoryGiB << 30,
		Loaded: []rpcore.LoadedModel{{Key: key, Version: "1", Memory: 16 << 30}},
	}
	stamp := func(step time.Duration) rpcore.Stamp {
		at = at.Add(step)
		return rpcore.Stamp{At: at}
	}
	reported := func(int) {
		sequence++
		report.Sequence = sequence
		n.state.Reduce(rpcore.EngineReported{Stamp: stamp(time.Microsecond), Report: report})
	}
	benchmark("report", reported)
	benchmark("heartbeat", func(int) {
		m := rpcore.PeerMessage{Heartbeat: &rpcore.Heartbeat{Identity: rpcore.Identity{Instance: "i3", Incarnation: "i3.1", FailureDomain: domain(3)}}}
		n.state.Reduce(rpcore.PeerReceived{Stamp: stamp(time.Microsecond), From: "i3", Message: m})
	})
	benchmark("request", func(i int) {
		id := rpcore.RequestID(fmt.Sprint("b", i))
		for _, effect := range n.state.Reduce(rpcore.RequestArrived{Stamp: stamp(time.Microsecond), Request: rpcore.Request{ID: id, ModelName: key.String()}}) {
			if start, ok := effect.(rpcore.StartAttempt); ok {
				n.state.Reduce(rpcore.AttemptFirstToken{Stamp: stamp(0), Attempt: start.Attempt, Request: id})
				n.state.Reduce(rpcore.AttemptEnded{Stamp: stamp(0), Attempt: start.Attempt, Request: id, Reason: rpcore.AttemptComplete, Verdict: rpverdict.Ran})
				break
			}
		}
	})
	benchmark("upkeep_second", func(int) { n.state.Reduce(rpcore.Tick{Stamp: stamp(time.Second)}) })
	return result
}

func reducerState(engines, services int) (*World, *instance) {
	d := Deployment{Instances: 1, Delay: time.Millisecond, StartsPerSecond: 12}
	for i := range services {
		per := engines / services
		d.Services = append(d.Services, Service{
			Name: fmt.Sprintf("s%03d", i), Engines: per, Models: max(1, per/12), Adapters: max(1, per/9),
			ModelMemory: 16, MaxReplicas: 2, Accelerators: per,
		})
	}
	w := NewWorld(d, Options{Seed: 1, Concurrency: 64})
	w.Run(20 * time.Millisecond)
	for i := 1; i < max(9, engines/26); i++ {
		w.addMember(rpcore.Member{ID: fmt.Sprint("i", i), Kind: rpcore.MemberInstance, FailureDomain: rpcore.FailureDomain(fmt.Sprint("fd", i%27))}, w.instances[0])
	}
	w.instances[0].state.Reduce(rpcore.MembersListed{Stamp: w.stamp(), Members: w.members})
	return w, w.instances[0]
}

func stateBytes(engines, services int) float64 {
	w, n := reducerState(engines, services)
	before := heapBytes()
	n.state = rpcore.State{}
	bytes := before - heapBytes()
	runtime.KeepAlive(w)
	return bytes
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
