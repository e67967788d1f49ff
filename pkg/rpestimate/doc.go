// Package rpestimate learns how fast the engines of a service are, and estimates the
// time to the first event of a request at an engine and the pause between events. It
// is pure: it has no I/O and no clock.
//
// A speed is relative to the service: 1 is as fast as the service, below 1 is slower
// and above 1 is faster. 0 means that the speed is not known.
//
// # Usage
//
// Each instance keeps one Times for a service and one Engine for each incarnation of an
// engine. It records what it sees of its attempts:
//
//	times.RecordFirstEvent(load, promptTokens, took)
//	times.RecordAttempt(now, &engine, model, events, span, took)
//
// It reports the observations to the planner, which pools those of all instances, and
// learns the pooled speed:
//
//	samples, speed := engine.TakeReport()
//	pooled.Add(now, samples, speed)
//	engine.Learn(now, pooled.Speed(now))
//
// Estimates then follow from the load of an engine:
//
//	load := rpestimate.Load{Slots: 12, Running: 4, Speed: engine.Speed(now)}
//	wait := times.FirstEvent(load, promptTokens)
//
// The zero values of all types work. A new incarnation of an engine is a new Engine and
// a new Pooled, so it starts as fast as the service.
package rpestimate
