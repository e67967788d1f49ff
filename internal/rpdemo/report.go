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
	// DurationSeconds is the time of the whole demo.
	DurationSeconds float64 `json:"duration_seconds"`
}

// Check is one check of a demo.
type Check struct {
	Name string `json:"name"`
	// Figures is a short sentence with what was measured.
	Figures string `json:"figures"`
	// Problem is empty when the check held.
	Problem string `json:"problem,omitempty"`
}

// Passed reports whether every check held.
func (r Report) Passed() bool {
	for _, check := range r.Checks {
		if check.Problem != "" {
			return false
		}
	}
	return len(r.Checks) > 0
}

// WriteText writes the report for people.
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
	_, err = fmt.Fprintf(w, "%d checks held, %d failed, in %.1f s\n", len(r.Checks)-failed, failed, r.DurationSeconds)
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
