package rpmeasure

import (
	"math"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// figures holds the results of one run by name.
type figures map[string]float64

type measure func(Deployment, Options) figures

// Case is one measure of one deployment with one policy, run with several seeds.
type Case struct {
	Measure    string               `json:"measure"`
	Deployment string               `json:"deployment"`
	Policy     string               `json:"policy"`
	Seeds      []uint64             `json:"seeds"`
	Median     map[string]float64   `json:"median"`
	Runs       map[string][]float64 `json:"runs"`
	run        measure
	size       Deployment
	policy     rpcore.Policy
}

// parallelRuns limits the number of concurrent runs, and thereby the memory.
const parallelRuns = 5

var baselines = map[string]rpcore.Policy{
	"now":                 {},
	"load_per_instance":   {LoadPerInstance: true},
	"fixed_keep_alive_5m": {FixedKeepAlive: 5 * time.Minute},
	"first_in_first_out":  {FirstInFirstOut: true},
	"random_routing":      {RandomRouting: true},
}

// Cases returns all cases, grouped by measure.
func Cases() []*Case {
	measures := []struct {
		name     string
		run      measure
		policies []string
	}{
		{"cold_start_memory", coldBurst(rpcore.PlaceMemory), []string{"now", "load_per_instance"}},
		{"cold_start_disk", coldBurst(rpcore.PlaceDisk), []string{"now", "load_per_instance"}},
		{"cold_start_remote", coldBurst(rpcore.PlaceRemote), []string{"now", "load_per_instance"}},
		{"wake_40_models", wakeMany, []string{"now", "load_per_instance"}},
		{"overload_background", overload([3]float64{0.3, 0.2, 10}), []string{"now", "first_in_first_out", "random_routing"}},
		{"overload_urgent", overload([3]float64{10, 0.5, 0.5}), []string{"now", "first_in_first_out", "random_routing"}},
		{"idle_day", idleDay, []string{"now", "fixed_keep_alive_5m"}},
	}
	var cases []*Case
	for _, m := range measures {
		for _, d := range []Deployment{Snoepschep, Office} {
			for _, policy := range m.policies {
				cases = append(cases, &Case{
					Measure: m.name, Deployment: d.Name, Policy: policy, run: m.run, size: d, policy: baselines[policy],
				})
			}
		}
	}
	return cases
}

// Run runs the case with the seeds 1 to seeds and sets Median and Runs.
func (c *Case) Run(seeds int) {
	results := make([]figures, seeds)
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i := range results {
		c.Seeds = append(c.Seeds, uint64(i+1))
		group.Go(func() error {
			results[i] = c.run(c.size, Options{Seed: uint64(i + 1), Policy: c.policy})
			return nil
		})
	}
	_ = group.Wait()
	c.Median, c.Runs = make(map[string]float64), make(map[string][]float64)
	for name := range results[0] {
		for _, result := range results {
			c.Runs[name] = append(c.Runs[name], result[name])
		}
		c.Median[name] = quantile(slices.Clone(c.Runs[name]), 0.5)
	}
}

// quantile returns the nearest-rank quantile. It sorts values in place.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.MaxFloat64
	}
	slices.Sort(values)
	return values[max(0, int(math.Ceil(q*float64(len(values))))-1)]
}

// firstTokenSeconds returns the time to the first token of each call. A call
// without a token counts as one hour.
func firstTokenSeconds(calls []*Call) []float64 {
	times := make([]float64, len(calls))
	for i, call := range calls {
		times[i] = time.Hour.Seconds()
		if !call.First.IsZero() {
			times[i] = call.First.Sub(call.Sent).Seconds()
		}
	}
	return times
}

func countWithoutToken(calls []*Call) int {
	n := 0
	for _, call := range calls {
		if call.First.IsZero() {
			n++
		}
	}
	return n
}

func filterByRank(calls []*Call, rank rpdocument.Rank) []*Call {
	return slices.DeleteFunc(slices.Clone(calls), func(call *Call) bool { return call.Rank != rank })
}
