package rptoml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxProblems is the maximum number of problems in one report. It limits the
// size of the output, because even a small file can have many problems.
const MaxProblems = 1000

// Problem is one thing that is wrong with a file.
type Problem struct {
	// Code identifies the kind of problem. Codes don't change between versions.
	Code string
	// Line counts from 1. It is 0 if the problem has no line.
	Line int
	// Key is the TOML key, such as models[2].memory. It is empty if the problem
	// has no key.
	Key string
	// Wrong states in one sentence what is wrong, and Fix what to write instead.
	Wrong string
	Fix   string
}

// Report collects the problems of one file.
type Report struct {
	lines    map[string]int
	problems []Problem
	// reported contains the keys that have a problem, and failed the keys that
	// could not be decoded.
	reported   map[string]bool
	failed     map[string]bool
	unreadable bool
	// dropped is the number of problems beyond MaxProblems.
	dropped int
}

func newReport() *Report {
	return &Report{lines: map[string]int{}, reported: map[string]bool{}, failed: map[string]bool{}}
}

// Unreadable reports whether the file is not valid TOML. Its keys are then
// unknown and can't be checked.
func (r *Report) Unreadable() bool { return r.unreadable }

// Has reports whether the file contains the key.
func (r *Report) Has(key string) bool {
	_, ok := r.lines[key]
	return ok
}

// Line returns the line of the key. If the file lacks the key, it returns the
// line of the nearest table or list that would contain it, or 1.
func (r *Report) Line(key string) int {
	for ; key != ""; key = parentKey(key) {
		if line, ok := r.lines[key]; ok {
			return line
		}
	}
	return 1
}

// Add adds a problem of a key, unless the key already has one, or the key or a
// table or list that contains it could not be decoded.
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

// Valid reports whether none of the keys has a problem. A check that compares
// several keys needs this.
func (r *Report) Valid(keys ...string) bool {
	for _, key := range keys {
		if r.reported[key] || r.isUnderFailedKey(key) {
			return false
		}
	}
	return true
}

// Problems returns the problems in order of their lines. If there are more than
// MaxProblems, a last problem without a line gives the number of the others.
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

// addDecodeFailure adds the problem of a key that could not be decoded.
func (r *Report) addDecodeFailure(key, code, wrong, fix string) {
	r.Add(key, code, wrong, fix)
	r.failed[key] = true
}

// isUnderFailedKey reports whether the key, or a table or list that contains it,
// could not be decoded.
func (r *Report) isUnderFailedKey(key string) bool {
	for ; key != ""; key = parentKey(key) {
		if r.failed[key] {
			return true
		}
	}
	return false
}

// parentKey returns the key without its last part. The parents of a[0].b are
// a[0], a and "".
func parentKey(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}
