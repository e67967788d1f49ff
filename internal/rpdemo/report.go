package rpdemo

import (
	"fmt"
	"io"
	"time"
)

// Report is the result of a demo.
type Report struct {
	Deployment string  `json:"deployment"`
	Instances  int     `json:"instances"`
	Engines    int     `json:"engines"`
	Models     int     `json:"models"`
	Adapters   int     `json:"adapters"`
	Checks     []Check `json:"checks"`
	// DurationSeconds is the time from the start of the demo to the end of the
	// last check.
	DurationSeconds float64 `json:"duration_seconds"`
}

// Check is the result of one check.
type Check struct {
	Name string `json:"name"`
	// Figures is a short text with the measured values.
	Figures string `json:"figures"`
	// Problem says why the check failed. It is empty if the check passed.
	Problem string `json:"problem,omitempty"`
}

// Passed reports whether all checks passed. It is false if none ran.
func (r Report) Passed() bool {
	for _, check := range r.Checks {
		if check.Problem != "" {
			return false
		}
	}
	return len(r.Checks) > 0
}

// WriteText writes a summary as human-readable text.
func (r Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "\ndeployment %s: %d instances, %d engines, %d models, %d adapters\n",
		r.Deployment, r.Instances, r.Engines, r.Models, r.Adapters)
	if err != nil {
		return err
	}
	failed := 0
	for _, check := range r.Checks {
		if check.Problem != "" {
			failed++
		}
	}
	_, err = fmt.Fprintf(w, "%d checks passed, %d failed, in %.1f s\n", len(r.Checks)-failed, failed, r.DurationSeconds)
	return err
}

func (c Check) write(w io.Writer) {
	state := "ok"
	if c.Problem != "" {
		state = "FAILED"
	}
	_, _ = fmt.Fprintf(w, "%-6s %s: %s\n", state, c.Name, c.Figures)
	if c.Problem != "" {
		_, _ = fmt.Fprintf(w, "       %s\n", c.Problem)
	}
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%d ms", d.Milliseconds())
}
