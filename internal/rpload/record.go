package rpload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms cover 1 µs to 2 h with 3 significant digits. Longer times are
// recorded as 2 h.
const (
	maxRecorded     = 2 * time.Hour
	recordedUnit    = time.Microsecond
	recordedDigits  = 3
	maxResults      = 64
	recorderShards  = 4
	maxNamedResults = maxResults - 1
)

// histogram counts durations. The zero value is empty and has no memory allocated
// for counts.
type histogram struct {
	hdr *hdrhistogram.Histogram
	// max is the exact maximum. The maximum of hdr is rounded.
	max time.Duration
}

func (h *histogram) add(d time.Duration) {
	h.allocate()
	h.max = max(h.max, d)
	// RecordValue fails only for values out of range, and this one is limited.
	_ = h.hdr.RecordValue(int64(min(max(d, 0), maxRecorded) / recordedUnit))
}

func (h *histogram) merge(other histogram) {
	if other.hdr != nil {
		h.allocate()
		h.hdr.Merge(other.hdr)
		h.max = max(h.max, other.max)
	}
}

func (h *histogram) allocate() {
	if h.hdr == nil {
		h.hdr = hdrhistogram.New(1, int64(maxRecorded/recordedUnit), recordedDigits)
	}
}

// tally counts the requests with one result, and those of them that had a
// Retry-After header.
type tally struct {
	count      int64
	retryAfter int64
}

// counts holds the measurements of a set of requests.
type counts struct {
	started          int64
	notStarted       int64
	ok               int64
	okDuringArrivals int64
	tokens           int64
	retries          int64
	lateRefusals     int64
	lateAnswers      int64
	maxLateness      time.Duration
	startLag         histogram
	firstToken       histogram
	betweenTokens    histogram
	wholeAnswer      histogram
	refusal          histogram
	results          map[Result]tally
}

func (c *counts) merge(o *counts) {
	c.started += o.started
	c.notStarted += o.notStarted
	c.ok += o.ok
	c.okDuringArrivals += o.okDuringArrivals
	c.tokens += o.tokens
	c.retries += o.retries
	c.lateRefusals += o.lateRefusals
	c.lateAnswers += o.lateAnswers
	c.maxLateness = max(c.maxLateness, o.maxLateness)
	c.startLag.merge(o.startLag)
	c.firstToken.merge(o.firstToken)
	c.betweenTokens.merge(o.betweenTokens)
	c.wholeAnswer.merge(o.wholeAnswer)
	c.refusal.merge(o.refusal)
	for result, t := range o.results {
		c.addResult(result, t)
	}
}

func (c *counts) addResult(result Result, t tally) {
	if c.results == nil {
		c.results = map[Result]tally{}
	}
	if _, ok := c.results[result]; !ok && len(c.results) >= maxNamedResults {
		result = Result{Code: CodeOther, Verdict: result.Verdict}
	}
	sum := c.results[result]
	sum.count += t.count
	sum.retryAfter += t.retryAfter
	c.results[result] = sum
}

// cell holds the counts of one phase and rank in one shard of a recorder.
type cell struct {
	mu sync.Mutex
	counts
}

func (c *cell) addBetweenTokens(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.betweenTokens.add(d)
}

func (c *cell) addNotStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notStarted++
}

// finishedRequest is an outcome with the times that its latency and lateness are
// computed from.
type finishedRequest struct {
	outcome
	// due is the scheduled arrival.
	due time.Time
	// timeout is 0 if the request was sent without one.
	timeout       time.Duration
	lateAllowance time.Duration
	// duringArrivals is true if the request ended before the end of arrivals.
	duringArrivals bool
}

func (c *cell) add(e finishedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	c.tokens += int64(e.tokens)
	c.retries += int64(e.retries)
	c.startLag.add(e.sent.Sub(e.due))
	if !e.firstToken.IsZero() {
		c.firstToken.add(e.firstToken.Sub(e.due))
	}
	t := tally{count: 1}
	if e.retryAfter {
		t.retryAfter = 1
	}
	c.addResult(e.result, t)
	c.addLatencies(e)
}

func (c *counts) addLatencies(e finishedRequest) {
	late := false
	if e.timeout > 0 {
		lateness := e.end.Sub(e.sent) - e.timeout
		c.maxLateness = max(c.maxLateness, lateness)
		late = lateness > e.lateAllowance
	}
	switch {
	case e.refused:
		c.refusal.add(e.end.Sub(e.due))
		c.lateRefusals += boolToInt(late)
	case e.result == resultOK:
		c.ok++
		c.okDuringArrivals += boolToInt(e.duringArrivals)
		c.wholeAnswer.add(e.end.Sub(e.due))
		c.lateAnswers += boolToInt(late)
	}
}

func boolToInt(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

// recorder holds the counts of a run. It has several shards to reduce lock
// contention between streams.
type recorder struct {
	cells [recorderShards][][ranks]cell
}

func newRecorder(phases int) *recorder {
	r := &recorder{}
	for i := range r.cells {
		r.cells[i] = make([][ranks]cell, phases)
	}
	return r
}

func (r *recorder) cell(a Arrival) *cell {
	return &r.cells[a.Seq%recorderShards][a.Phase][a.Rank]
}

// sum returns the sum of the counts of all cells for which choose returns true.
func (r *recorder) sum(choose func(phase, rank int) bool) *counts {
	sum := &counts{}
	for shard := range r.cells {
		for phase := range r.cells[shard] {
			for rank := range r.cells[shard][phase] {
				if choose(phase, rank) {
					c := &r.cells[shard][phase][rank]
					c.mu.Lock()
					sum.merge(&c.counts)
					c.mu.Unlock()
				}
			}
		}
	}
	return sum
}
