// Package rpverdict describes requests that got no answer: whether they may have
// run, why they were refused and when a retry makes sense.
//
// # Usage
//
// Code that forwards a request reports a Verdict if it fails. The verdict is
// NotRun until the first byte that could start the work was sent to an endpoint,
// and MayHaveRun after that:
//
//	verdict := rpverdict.NotRun
//	if written > 0 {
//		verdict = rpverdict.MayHaveRun
//	}
//
// A Refusal answers a request that the system does not serve:
//
//	refusal := rpverdict.Refuse(rpverdict.CodeQueueFull, "The queue of rank normal is full.")
//	refusal.RetryAfter = 2 * time.Second
//
// Codes are part of the public interface. They never change their meaning.
package rpverdict

import "fmt"

// Verdict says whether a request may have run at an endpoint. The zero value
// is NotRun.
type Verdict int

const (
	// NotRun means that no byte that could start the work was sent to an
	// endpoint, or that the endpoint itself reported that it did not start.
	NotRun Verdict = iota
	// MayHaveRun means that the work may have started. It is the verdict unless
	// NotRun or Ran is certain.
	MayHaveRun
	// Ran means that an endpoint answered the request completely.
	Ran
)

var verdictNames = [...]string{"not_run", "may_have_run", "ran"}

// String returns the name used in refusals and reports.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict(%d)", int(v))
	}
	return verdictNames[v]
}

// MarshalText encodes the verdict by name.
func (v Verdict) MarshalText() ([]byte, error) {
	if v < 0 || int(v) >= len(verdictNames) {
		return nil, UnknownVerdictError{Name: v.String()}
	}
	return []byte(verdictNames[v]), nil
}

// UnmarshalText decodes a verdict from its name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return UnknownVerdictError{Name: string(text)}
}

// UnknownVerdictError reports a verdict that this version does not know.
type UnknownVerdictError struct {
	Name string
}

func (e UnknownVerdictError) Error() string {
	return fmt.Sprintf("unknown verdict %q", e.Name)
}
