package rpconfigcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// The codes of findings. Codes don't change between versions.
const (
	CodeKeyMissing     = "key_missing"
	CodeValueInvalid   = "value_invalid"
	CodeDuplicate      = "duplicate"
	CodeContradiction  = "contradiction"
	CodeNeverMatches   = "never_matches"
	CodeNoKeys         = "account_without_keys"
	CodeKeyShared      = "key_shared"
	CodeServiceUnknown = "service_unknown"
	CodeWeightZero     = "weight_zero"
	CodeModelTooLarge  = "model_too_large"
	CodeVersionOld     = "version_old"
)

// Endpoints is the number of endpoints of the services for which it is known.
type Endpoints map[string]int

// checker collects the findings about one file.
type checker struct {
	file      *rpwire.ConfigFile
	endpoints Endpoints
	problems  []rpdocument.Problem
	services  map[string]bool
}

// Check returns the problems of a configuration in the order of their lines, those of
// the reader included.
func Check(file *rpwire.ConfigFile, endpoints Endpoints) []rpdocument.Problem {
	c := &checker{file: file, endpoints: endpoints, problems: slices.Clone(file.Problems), services: map[string]bool{}}
	if file.Version == 0 {
		c.report(rpwire.FieldVersion, CodeKeyMissing, "The version is missing or 0.", "Write a version that is higher than that in force.")
	}
	c.checkServices()
	c.checkRoutes()
	c.checkAccounts()
	slices.SortStableFunc(c.problems, func(a, b rpdocument.Problem) int { return cmp.Compare(a.Line, b.Line) })
	return c.problems
}

// CheckVersion returns the problem of a configuration that would not come into force
// after the one in force.
func CheckVersion(inForce, file *rpwire.ConfigFile) []rpdocument.Problem {
	if file.Version > inForce.Version {
		return nil
	}
	return []rpdocument.Problem{{
		Code: CodeVersionOld, Line: file.Line(rpwire.FieldVersion), Key: rpwire.FieldVersion,
		Wrong: fmt.Sprintf("The version is %d, but version %d is in force, so instances ignore the file.", file.Version, inForce.Version),
		Fix:   "Write a higher version.",
	}}
}

// report adds a finding, unless the reader could not read the value: it counts as
// missing then.
func (c *checker) report(path, code, wrong, fix string) {
	for i := range c.file.Problems {
		if c.file.Problems[i].Key == path {
			return
		}
	}
	c.problems = append(c.problems, rpdocument.Problem{Code: code, Line: c.file.Line(path), Key: path, Wrong: wrong, Fix: fix})
}

// checkName reports a missing name and one that an earlier entry has. seen contains the
// lines of the earlier names.
func (c *checker) checkName(path, name string, seen map[string]int) {
	path = rpwire.FieldPath(path, rpwire.FieldName)
	if name == "" {
		c.report(path, CodeKeyMissing, "The name is missing.", "Write a name.")
		return
	}
	if line, ok := seen[name]; ok {
		c.report(path, CodeDuplicate, fmt.Sprintf("Line %d has the same name %q.", line, name), "Rename or remove one of the two.")
		return
	}
	seen[name] = c.file.Line(path)
}
