package rptoml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxProblems bounds the problems of one report, so that the answer to a small
// file stays small.
const MaxProblems = 1000

// Problem is one thing that is wrong with a file.
type Problem struct {
	// Code names the kind of problem. It is stable.
	Code string
	// Line counts from 1; it is 0 where the problem has no line.
	Line int
	// Key is the TOML key, such as models[2].memory.
	Key string
	// Wrong says what is wrong and Fix what to write instead.
	Wrong string
	Fix   string
}

// Report collects the problems of one file.
type Report struct {
	lines    map[string]int
	problems []Problem
	// reported holds the keys that have a problem, failed those that could
	// not be decoded.
	reported   map[string]bool
	failed     map[string]bool
	unreadable bool
	dropped    int
}

func newReport() *Report {
	return &Report{lines: map[string]int{}, reported: map[string]bool{}, failed: map[string]bool{}}
}

// Unreadable reports whether the file is not TOML, so that checks of keys make
// no sense.
func (r *Report) Unreadable() bool { return r.unreadable }

// Has reports whether the file has the key.
func (r *Report) Has(key string) bool {
	_, ok := r.lines[key]
	return ok
}

// Line returns the line of the key, or of the nearest table that holds it.
func (r *Report) Line(key string) int {
	for ; key != ""; key = parentKey(key) {
		if line, ok := r.lines[key]; ok {
			return line
		}
	}
	return 1
}

// Add reports a problem of a key, unless the key has one already or stands in
// something that could not be decoded.
func (r *Report) Add(key, code, wrong, fix string) {
	if r.unreadable || r.reported[key] || r.isUnderFailedKey(key) {
		return
	}
	r.reported[key] = true
	if len(r.problems) >= MaxProblems {
		r.dropped++
		return
	}
	r.problems = append(r.problems, Problem{Code: code, Line: r.Line(key), Key: key, Wrong: wrong, Fix: fix})
}

// Valid reports whether none of the keys has a problem, so that a check which
// compares them makes sense.
func (r *Report) Valid(keys ...string) bool {
	for _, key := range keys {
		if r.reported[key] || r.isUnderFailedKey(key) {
			return false
		}
	}
	return true
}

// Problems returns the problems in the order of the file.
func (r *Report) Problems() []Problem {
	problems := slices.Clone(r.problems)
	slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	if r.dropped > 0 {
		problems = append(problems, Problem{
			Code:  CodeTooManyProblems,
			Wrong: fmt.Sprintf("The file has %d more problems.", r.dropped),
			Fix:   "Correct the problems above and check the file again.",
		})
	}
	return problems
}

func (r *Report) addDecodeFailure(key, code, wrong, fix string) {
	r.Add(key, code, wrong, fix)
	r.failed[key] = true
}

func (r *Report) isUnderFailedKey(key string) bool {
	for ; key != ""; key = parentKey(key) {
		if r.failed[key] {
			return true
		}
	}
	return false
}

// parentKey returns the key without its last part: a[0].b, a[0], a, "".
func parentKey(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}
