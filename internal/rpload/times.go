package rpload

import (
	"iter"
	"math/rand/v2"
	"slices"
	"time"
)

// arrivalTimes yields the arrival times of a process that runs for the given length
// of time, starting at 0.
func arrivalTimes(process ArrivalProcess, rate float64, length time.Duration, rng *rand.Rand) iter.Seq[time.Duration] {
	if process == Constant {
		return constantTimes(rate, length)
	}
	return poissonTimes(rate, length, rng)
}

func constantTimes(rate float64, length time.Duration) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		for i := 0; ; i++ {
			// Computing the time from i keeps rounding errors from adding up.
			at := float64(i) / rate * float64(time.Second)
			if at >= float64(length) || !yield(time.Duration(at)) {
				return
			}
		}
	}
}

func poissonTimes(rate float64, length time.Duration, rng *rand.Rand) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		at := time.Duration(0)
		for {
			wait := rng.ExpFloat64() / rate * float64(time.Second)
			if wait >= float64(length-at) {
				return
			}
			at += time.Duration(wait)
			if !yield(at) {
				return
			}
		}
	}
}

// wakeTimes returns the sorted times of the first requests of a wake-up, which are
// distributed uniformly.
func wakeTimes(wake Wake, rng *rand.Rand) []time.Duration {
	times := make([]time.Duration, wake.Count)
	for i := range times {
		times[i] = wake.Start + time.Duration(rng.Int64N(int64(wake.Within)))
	}
	slices.Sort(times)
	return times
}

// shiftTimes yields the times with start added.
func shiftTimes(times iter.Seq[time.Duration], start time.Duration) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		for at := range times {
			if !yield(at + start) {
				return
			}
		}
	}
}

// skipGaps maps times without gaps to times with the sorted gaps inserted: each
// time is delayed by the gaps before it.
func skipGaps(times iter.Seq[time.Duration], gaps []Gap) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		skipped, next := time.Duration(0), 0
		for at := range times {
			for next < len(gaps) && at+skipped >= gaps[next].Start {
				skipped += gaps[next].Duration
				next++
			}
			if !yield(at + skipped) {
				return
			}
		}
	}
}
