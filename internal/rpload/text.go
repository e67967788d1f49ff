package rpload

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// Text returns the report as human-readable text.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Run %s with seed %d and schedule %s.\n", r.RunID, r.Seed, r.ScheduleHash)
	if r.Interrupted {
		b.WriteString("The run was interrupted.\n")
	}
	fmt.Fprintf(&b, "Requests: %d planned, %d due, %d started, %d not started, %d cancelled.\n",
		r.PlannedRequests, r.DueRequests, r.StartedRequests, r.NotStartedRequests, r.CancelledRequests)
	if r.NotStartedRequests > 0 {
		fmt.Fprintf(&b, "Requests were not started because %d were in progress. The latencies don't include them.\n", r.Settings.InProgressLimit)
	}
	fmt.Fprintf(&b, "Time: arrivals %.3f s, until the last answer %.3f s.\n", r.ArrivalsSeconds, r.ElapsedSeconds)
	fmt.Fprintf(&b, "Rates: offered %.1f requests/s, started %.1f requests/s, achieved %.1f requests/s, %.1f tokens/s.\n",
		r.Rates.Offered, r.Rates.Started, r.Rates.Achieved, r.Rates.Tokens)
	r.writeLatencies(&b)
	r.writeGroups(&b)
	r.writeResults(&b)
	return b.String()
}

func (r Report) allGroups() []Group {
	groups := append([]Group{r.Total}, r.Ranks...)
	return append(groups, r.Phases...)
}

func newTable(b *strings.Builder) *tabwriter.Writer { return tabwriter.NewWriter(b, 0, 0, 2, ' ', 0) }

func (r Report) writeLatencies(b *strings.Builder) {
	b.WriteString("\nLatencies in ms, from the scheduled arrival:\n")
	w := newTable(b)
	_, _ = fmt.Fprintln(w, "group\ttime\tcount\tp50\tp90\tp95\tp99\tp99.9\tmax")
	writeLatencyRow(w, "total", "start lag", r.StartLag)
	for _, group := range r.allGroups() {
		writeLatencyRow(w, group.Name, "first token", group.FirstToken)
		writeLatencyRow(w, group.Name, "between tokens", group.BetweenTokens)
		writeLatencyRow(w, group.Name, "whole answer", group.WholeAnswer)
		writeLatencyRow(w, group.Name, "refusal", group.Refusal)
	}
	_ = w.Flush()
}

func writeLatencyRow(w *tabwriter.Writer, group, what string, l Latency) {
	if l.Count > 0 {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", group, what, l.Count, l.P50, l.P90, l.P95, l.P99, l.P999, l.Max)
	}
}

func (r Report) writeGroups(b *strings.Builder) {
	b.WriteString("\nRequests:\n")
	w := newTable(b)
	_, _ = fmt.Fprintln(w, "group\tdue\tnot started\tok\tretries\ttokens\tlate answers\tlate refusals\tmax lateness ms")
	for _, g := range r.allGroups() {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\n",
			g.Name, g.Due, g.NotStarted, g.OK, g.Retries, g.Tokens, g.LateAnswers, g.LateRefusals, g.MaxLateness)
	}
	_ = w.Flush()
}

func (r Report) writeResults(b *strings.Builder) {
	b.WriteString("\nResults:\n")
	w := newTable(b)
	_, _ = fmt.Fprintln(w, "group\tcode\tverdict\tcount\twith Retry-After")
	for _, group := range r.allGroups() {
		for _, result := range group.Results {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", group.Name, result.Code, result.Verdict, result.Count, result.WithRetryAfter)
		}
	}
	_ = w.Flush()
}
