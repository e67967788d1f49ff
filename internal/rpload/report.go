package rpload

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Report is the result of a run. The JSON names of values with a unit end with the
// unit.
type Report struct {
	RunID string `json:"run_id"`
	// Seed and ScheduleHash are equal for runs with the same schedule.
	Seed         uint64    `json:"seed"`
	ScheduleHash string    `json:"schedule_hash"`
	StartedAt    time.Time `json:"started_at"`
	// Interrupted is true if the context ended before the run was complete.
	Interrupted bool     `json:"interrupted"`
	Settings    Settings `json:"settings"`

	// PlannedRequests is the sum of DueRequests and CancelledRequests. Requests
	// are cancelled if they were not due before an interruption. DueRequests is
	// the sum of StartedRequests and NotStartedRequests. Requests are not started
	// if too many others are in progress.
	PlannedRequests    int64 `json:"planned_requests"`
	DueRequests        int64 `json:"due_requests"`
	StartedRequests    int64 `json:"started_requests"`
	NotStartedRequests int64 `json:"not_started_requests"`
	CancelledRequests  int64 `json:"cancelled_requests"`

	// ArrivalsSeconds is the length of the period in which requests were due,
	// ElapsedSeconds the time from the start to the end of the last answer.
	ArrivalsSeconds float64 `json:"arrivals_s"`
	ElapsedSeconds  float64 `json:"elapsed_s"`
	Rates           Rates   `json:"rates"`
	// StartLag is the time from the scheduled arrival of a request until it was
	// sent. Large values mean that the generator was too slow.
	StartLag Latency `json:"start_lag"`

	Total  Group   `json:"total"`
	Ranks  []Group `json:"ranks"`
	Phases []Group `json:"phases"`
}

// Settings repeats the settings of the run, so that reports can be compared.
type Settings struct {
	Targets         int            `json:"targets"`
	Kinds           int            `json:"models_and_routes"`
	Zipf            float64        `json:"zipf_exponent"`
	Ranks           string         `json:"rank_weights"`
	Timeouts        string         `json:"rank_timeouts"`
	Arrivals        ArrivalProcess `json:"arrivals"`
	Rate            float64        `json:"base_requests_per_s"`
	DurationSeconds float64        `json:"duration_s"`
	Bursts          []string       `json:"bursts"`
	Gaps            []string       `json:"gaps"`
	Wakes           []string       `json:"wakes"`
	PromptTokens    int            `json:"prompt_tokens"`
	MaxTokens       int            `json:"max_tokens"`
	InProgressLimit int            `json:"in_progress_limit"`
	RetryNotRun     bool           `json:"retry_not_run"`
	LateAllowance   float64        `json:"late_allowance_ms"`
}

// Rates holds rates over the period in which requests were due.
type Rates struct {
	// Offered is the rate of requests that were due, Started the rate of those
	// that were sent.
	Offered float64 `json:"offered_requests_per_s"`
	Started float64 `json:"started_requests_per_s"`
	// Achieved is the rate of complete answers that ended in the period.
	Achieved float64 `json:"achieved_requests_per_s"`
	// Tokens is the rate of tokens received. It is over the elapsed time.
	Tokens float64 `json:"tokens_per_s"`
}

// Group holds the results of one rank, one phase or the whole run.
type Group struct {
	Name       string `json:"name"`
	Due        int64  `json:"due_requests"`
	Started    int64  `json:"started_requests"`
	NotStarted int64  `json:"not_started_requests"`
	OK         int64  `json:"ok_requests"`
	// Retries counts requests that were sent to a second target.
	Retries int64 `json:"retries"`
	Tokens  int64 `json:"tokens"`
	// LateRefusals and LateAnswers count refusals and complete answers that
	// ended later than Config.LateAllowance after the deadline.
	LateRefusals int64 `json:"late_refusals"`
	LateAnswers  int64 `json:"late_answers"`
	// MaxLateness is the longest time between the deadline of a request and its
	// end.
	MaxLateness float64 `json:"max_lateness_ms"`
	// FirstToken, WholeAnswer and Refusal are measured from the scheduled
	// arrival. FirstToken includes answers that broke off later.
	FirstToken    Latency       `json:"first_token"`
	BetweenTokens Latency       `json:"between_tokens"`
	WholeAnswer   Latency       `json:"whole_answer"`
	Refusal       Latency       `json:"refusal"`
	Results       []ResultCount `json:"results"`
}

// ResultCount counts the requests with one result.
type ResultCount struct {
	Result
	Count int64 `json:"count"`
	// WithRetryAfter counts the requests whose answer had a Retry-After header.
	WithRetryAfter int64 `json:"with_retry_after"`
}

// Latency holds percentiles and the maximum in milliseconds. The percentiles are at
// most 0.1% too high; the maximum is exact. All are 0 if Count is 0.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// unspecifiedRank stands for RankUnset in reports.
const unspecifiedRank = "unspecified"

func (r *runner) report() Report {
	total := r.recorder.sum(func(int, int) bool { return true })
	report := Report{
		RunID: r.cfg.RunID, Seed: r.cfg.Seed, StartedAt: r.start.UTC(), Interrupted: r.interrupted,
		Settings:        r.cfg.reportSettings(),
		ArrivalsSeconds: r.arrivalPeriod.Seconds(), ElapsedSeconds: r.elapsed.Seconds(),
		StartLag: total.startLag.latency(),
		Total:    total.group("total"),
		Ranks:    r.rankGroups(),
		Phases:   r.phaseGroups(),
	}
	report.DueRequests = report.Total.Due
	report.StartedRequests = report.Total.Started
	report.NotStartedRequests = report.Total.NotStarted
	report.Rates = Rates{
		Offered:  perSecond(report.Total.Due, r.arrivalPeriod),
		Started:  perSecond(report.Total.Started, r.arrivalPeriod),
		Achieved: perSecond(total.okDuringArrivals, r.arrivalPeriod),
		Tokens:   perSecond(report.Total.Tokens, r.elapsed),
	}
	return report
}

// rankGroups returns a group for each rank that has requests, most urgent first.
func (r *runner) rankGroups() []Group {
	groups := []Group{}
	order := append(slices.Clone(rpdocument.Ranks[:]), rpdocument.RankUnset)
	for _, rank := range order {
		name := cmp.Or(rank.String(), unspecifiedRank)
		group := r.recorder.sum(func(_, i int) bool { return i == int(rank) }).group(name)
		if group.Due > 0 {
			groups = append(groups, group)
		}
	}
	return groups
}

// phaseGroups returns a group for each phase that has requests.
func (r *runner) phaseGroups() []Group {
	groups := []Group{}
	for phase, name := range r.cfg.phaseNames() {
		group := r.recorder.sum(func(i, _ int) bool { return i == phase }).group(name)
		if group.Due > 0 {
			groups = append(groups, group)
		}
	}
	return groups
}

func (c *counts) group(name string) Group {
	return Group{
		Name: name, Due: c.started + c.notStarted, Started: c.started, NotStarted: c.notStarted,
		OK: c.ok, Retries: c.retries, Tokens: c.tokens,
		LateRefusals: c.lateRefusals, LateAnswers: c.lateAnswers, MaxLateness: milliseconds(c.maxLateness),
		FirstToken: c.firstToken.latency(), BetweenTokens: c.betweenTokens.latency(),
		WholeAnswer: c.wholeAnswer.latency(), Refusal: c.refusal.latency(),
		Results: c.resultCounts(),
	}
}

// resultCounts returns the results: ok first, the others sorted by code and
// verdict.
func (c *counts) resultCounts() []ResultCount {
	rows := []ResultCount{}
	for result, t := range c.results {
		rows = append(rows, ResultCount{Result: result, Count: t.count, WithRetryAfter: t.retryAfter})
	}
	slices.SortFunc(rows, func(a, b ResultCount) int {
		return cmp.Or(-cmp.Compare(boolToInt(a.Code == CodeOK), boolToInt(b.Code == CodeOK)),
			cmp.Compare(a.Code, b.Code), cmp.Compare(a.Verdict, b.Verdict))
	})
	return rows
}

func (h *histogram) latency() Latency {
	if h.hdr == nil {
		return Latency{}
	}
	at := func(percentile float64) float64 {
		return milliseconds(min(time.Duration(h.hdr.ValueAtQuantile(percentile))*recordedUnit, h.max))
	}
	return Latency{
		Count: h.hdr.TotalCount(),
		P50:   at(50), P90: at(90), P95: at(95), P99: at(99), P999: at(99.9), Max: milliseconds(h.max),
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(recordedUnit)) / float64(time.Millisecond)
}

func perSecond(n int64, d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return float64(n) / d.Seconds()
}

func formatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }

func (c Config) reportSettings() Settings {
	return Settings{
		Targets: len(c.Targets), Kinds: len(c.Kinds), Zipf: c.Zipf,
		Ranks: c.Ranks.String(), Timeouts: c.Timeouts.String(), Arrivals: c.Arrivals, Rate: c.Rate,
		DurationSeconds: c.Duration.Seconds(),
		Bursts:          formatAll(c.Bursts), Gaps: formatAll(c.Gaps), Wakes: formatAll(c.Wakes),
		PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
		InProgressLimit: c.InProgressLimit, RetryNotRun: c.RetryNotRun, LateAllowance: milliseconds(c.LateAllowance),
	}
}

func formatAll[T fmt.Stringer](values []T) []string {
	list := []string{}
	for _, value := range values {
		list = append(list, value.String())
	}
	return list
}
