package rpsettings

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Problem is one thing that is wrong with a settings file.
type Problem struct {
	File string `json:"file"`
	rpdocument.Problem
}

func (p Problem) Error() string { return p.File + ": " + p.Problem.Error() }

// Load reads and checks a settings file and the files that it names. It
// returns either the settings or all problems.
func Load(file string) (*Settings, []Problem) {
	body, err := readFile(file, MaxBodyBytes)
	if err != nil {
		return nil, []Problem{{File: file, Problem: rpdocument.Problem{Code: rptoml.CodeFileUnreadable, Wrong: unreadableText(err), Fix: unreadableFix}}}
	}
	return Parse(file, body)
}

// Parse is Load for a settings file that was already read. The argument file is
// its name, which appears in problems and gives the directory of relative paths.
func Parse(file string, body []byte) (*Settings, []Problem) {
	settings := defaults()
	report := rptoml.Decode(body, settings)
	if !report.Unreadable() {
		c := checker{report: report, settings: settings, dir: filepath.Dir(file)}
		c.check()
	}
	found := report.Problems()
	if len(found) == 0 {
		return settings, nil
	}
	problems := make([]Problem, len(found))
	for i := range found {
		problems[i] = Problem{File: file, Problem: rpdocument.Problem(found[i])}
	}
	return nil, problems
}

const unreadableFix = "Name a file that exists and that this process may read."

func unreadableText(err error) string { return fmt.Sprintf("The file can't be read: %s.", err) }

// readFile reads a file of at most limit bytes.
func readFile(name string, limit int) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	body, err := io.ReadAll(io.LimitReader(file, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, tooLargeError{name: name, limit: limit}
	}
	return body, nil
}

// tooLargeError reports a file that is larger than its limit in bytes.
type tooLargeError struct {
	name  string
	limit int
}

func (e tooLargeError) Error() string {
	return fmt.Sprintf("%s has more than %d bytes", e.name, e.limit)
}
