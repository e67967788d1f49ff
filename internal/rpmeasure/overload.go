package rpmeasure

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	overloadConcurrency = 16
	// overloadTokens is the mean number of tokens of a request. The numbers are
	// uniform within overloadSpread of it, because requests of equal length
	// would all end at the same time on an engine.
	overloadTokens = 33
	overloadSpread = 25
	overloadModels = 5
	// The overload lasts for overloadTime. Requests and completions count only
	// after the first overloadSettle of it.
	overloadTime   = 60 * time.Second
	overloadSettle = 15 * time.Second
	urgentTarget   = 560 * time.Millisecond
)

// overloadFloors holds the floors of the ranks in the document of the measure.
var overloadFloors = [rpdocument.RankCount]float64{0.1, 0.2, 0.1}

// overload sends requests to a service whose models are loaded on all its
// engines. offered holds the load of each rank as a multiple of the capacity.
func overload(offered [rpdocument.RankCount]float64) measure {
	return func(d Deployment, o Options) figures {
		o.Concurrency = overloadConcurrency
		s := &Service{Name: d.Services[0].Name, Engines: d.Services[0].Engines, Models: overloadModels, ModelMemory: 64}
		s.MaxReplicas, s.Accelerators = s.Engines/overloadModels, s.Engines
		s.Warm = s.MaxReplicas
		s.Urgent, s.Normal = urgentRank, "target = \"2s\"\ndeadline = \"30s\"\nworth = 10\nfloor = 0.2\n"
		d.Services = []Service{*s}
		w := NewWorld(d, o)
		w.Run(time.Minute)
		capacity := float64(s.Engines*overloadConcurrency) / (prefillTime + overloadTokens*tokenTime).Seconds()
		begin := w.now
		for i, share := range offered {
			if share > 0 {
				w.sendArrivals(d, rpdocument.Ranks[i], share*capacity, begin.Add(overloadTime))
			}
		}
		w.Run(overloadTime + 2*time.Minute)
		return w.overloadFigures(capacity, begin.Add(overloadSettle), begin.Add(overloadTime))
	}
}

// sendArrivals sends requests of a rank as a Poisson process until a time.
func (w *World) sendArrivals(d Deployment, rank rpdocument.Rank, perSecond float64, until time.Time) {
	if w.now.After(until) {
		return
	}
	w.Send(w.rng.IntN(len(w.instances)), Call{Model: d.models()[w.rng.IntN(overloadModels)], Rank: rank, Tokens: overloadTokens - overloadSpread + w.rng.IntN(2*overloadSpread+1)})
	w.after(secondsToDuration(w.rng.ExpFloat64()/perSecond), func() { w.sendArrivals(d, rank, perSecond, until) })
}

func (w *World) overloadFigures(capacity float64, from, to time.Time) figures {
	done := make(map[rpdocument.Rank]float64)
	var urgent, inTarget, late, all, unanswered float64
	deadlines := map[rpdocument.Rank]time.Duration{
		rpdocument.RankUrgent: 20 * time.Second, rpdocument.RankNormal: 30 * time.Second, rpdocument.RankBackground: time.Minute,
	}
	for _, call := range w.calls {
		if call.Ended.After(from) && call.Ended.Before(to) {
			done[call.Rank]++
			all++
		}
		if call.Refused.Sub(call.Sent) > deadlines[call.Rank] {
			late++
		}
		if call.Refused.IsZero() && call.Ended.IsZero() {
			unanswered++
		}
		if call.Rank == rpdocument.RankUrgent && call.Sent.After(from) && call.Sent.Before(to) {
			urgent++
			if !call.First.IsZero() && call.First.Sub(call.Sent) <= urgentTarget {
				inTarget++
			}
		}
	}
	total := capacity * to.Sub(from).Seconds()
	return figures{
		"urgent_in_target": inTarget / max(urgent, 1), "goodput": all / total, "late_refusals": late, "unanswered": unanswered,
		"urgent_share": done[rpdocument.RankUrgent] / total, "normal_share": done[rpdocument.RankNormal] / total,
		"background_share": done[rpdocument.RankBackground] / total,
	}
}
