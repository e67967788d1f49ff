package rpfleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// BenchmarkDemand measures the planner's work for one full demand at the size
// of the first deployment: 18 engines, 96 models, 6 instances. The planner gets
// two full demands per second from every instance.
func BenchmarkDemand(b *testing.B) {
	benchmarkDemand(b, 18, 96, 6)
}

// BenchmarkDemandGrown is BenchmarkDemand at the size of the grown deployment.
func BenchmarkDemandGrown(b *testing.B) {
	benchmarkDemand(b, 60, 323, 74)
}

func benchmarkDemand(b *testing.B, engines, models, instances int) {
	config := testConfig(1)
	spec := config.Services[testService].Engine
	for i := range models {
		spec.Models[fmt.Sprintf("m%d", i)] = spec.Models["m0"]
	}
	var list []rpfleet.Endpoint
	for i := range engines {
		e := testEndpoint(fmt.Sprintf("e%d", i), testService, homeDomain)
		for j := range 3 {
			e.Models = append(e.Models, rpfleet.HeldModel{Name: fmt.Sprintf("m%d", (3*i+j)%models), Version: "1"})
		}
		for j := range models {
			e.Cached[fmt.Sprintf("m%d", j)] = rpcore.PlaceDisk
		}
		list = append(list, e)
	}
	var state rpfleet.State
	now := time.Unix(1_800_000_000, 0)
	stamp := func() rpfleet.Stamp { return rpfleet.Stamp{At: now} }
	state.Reduce(rpfleet.Start{Stamp: stamp(), Self: rpcore.Identity{Instance: "front-1", FailureDomain: homeDomain}, Seed: 1})
	state.Reduce(rpfleet.ConfigRead{Stamp: stamp(), Config: config})
	state.Reduce(rpfleet.EndpointsRead{Stamp: stamp(), Complete: true, Entries: list})
	state.Reduce(rpfleet.LeaseRead{Stamp: stamp(), AskedAt: now})
	for _, e := range list {
		state.Reduce(rpfleet.EngineReported{Stamp: stamp(), Endpoint: e.ID, Report: rpfleet.EngineReport{Incarnation: "1", Models: e.Models}})
	}
	row := rpfleet.LeaseRow{Revision: 1, Holder: "front-1", Epoch: 1}
	demand := rpfleet.Demand{Full: true}
	for i := range models {
		demand.Rates = append(demand.Rates, rpfleet.ModelRate{Service: testService, Model: fmt.Sprintf("m%d", i), Fast: 160, Slow: 160})
	}
	for i := range 10 {
		demand.Needs = append(demand.Needs, rpfleet.Need{Service: testService, Model: fmt.Sprintf("m%d", models-1-i), Waiting: 1})
	}
	for i := range b.N {
		now = now.Add(20 * time.Millisecond)
		if i%20 == 0 {
			state.Reduce(rpfleet.LeaseWritten{Stamp: stamp(), AskedAt: now, Outcome: rpcore.WriteApplied, Row: row})
		}
		demand.Instance = rpcore.InstanceID(fmt.Sprintf("front-%d", i%instances))
		state.Reduce(rpfleet.DemandReceived{Stamp: stamp(), Call: uint64(i), Demand: demand})
	}
}
