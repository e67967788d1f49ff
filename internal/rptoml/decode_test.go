package rptoml_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
)

type entry struct {
	Name string   `toml:"name"`
	Tags []string `toml:"tags"`
}

type target struct {
	Count   int     `toml:"count"`
	Share   float64 `toml:"share"`
	Open    bool    `toml:"open"`
	Entries []entry `toml:"entries"`
	Inner   entry   `toml:"inner"`
}

// Guards against a problem with the wrong line or key, for each syntax that TOML
// has for tables and lists.
func TestLinesAndKeys(t *testing.T) {
	g := NewWithT(t)
	report := rptoml.Decode([]byte(`count = "three"
open = 1
inner.name = 7
share = nan
"strange key" = 1

[[entries]]
name = "a"
tags = [
  "x",
  5,
]

[[entries]]
title = "b"
`), &target{})
	problems := report.Problems()
	g.Expect(problems).To(HaveLen(7))
	g.Expect(problems[0]).To(Equal(rptoml.Problem{
		Code: rptoml.CodeTypeWrong, Line: 1, Key: "count", Wrong: "The value is a string.", Fix: "Write a whole number, without quotes.",
	}))
	places := make([]string, len(problems))
	for i, problem := range problems {
		places[i] = fmt.Sprintf("%d %s", problem.Line, problem.Key)
	}
	g.Expect(places).To(Equal([]string{
		"1 count", "2 open", "3 inner.name", "4 share", `5 "strange key"`, "11 entries[0].tags[1]", "15 entries[1].title",
	}))
}

// Guards against a syntax error that is reported without its line.
func TestInvalidTOML(t *testing.T) {
	g := NewWithT(t)
	report := rptoml.Decode([]byte("count = 1\ncount = 2\n"), &target{})
	g.Expect(report.Unreadable()).To(BeTrue())
	g.Expect(report.Problems()).To(HaveLen(1))
	g.Expect(report.Problems()[0].Line).To(Equal(2))
}

// Guards against memory use that grows with the square of the nesting depth or
// of the length of a key.
func TestDeepNesting(t *testing.T) {
	g := NewWithT(t)
	deepList := "count = " + strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	deepKey := strings.Repeat("a.", 30000) + "a = 1"
	longTable := "[" + strings.Repeat("b", 30000) + "]\n" + "c = 1\nd = 1\n"
	for _, body := range []string{deepList, deepKey, longTable} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		report := rptoml.Decode([]byte(body), &target{})
		runtime.ReadMemStats(&after)
		g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 64<<20))
		g.Expect(report.Problems()).To(HaveLen(1))
	}
}

// Guards against a second, misleading problem for a key that could not be
// decoded, and against a report of unlimited size.
func TestOneProblemForEachKey(t *testing.T) {
	g := NewWithT(t)
	report := rptoml.Decode([]byte("inner = 3\ncount = \"x\"\n"), &target{})
	rptoml.Require(report, "inner.name", `"a"`)
	rptoml.CheckRange(report, "count", 0, 1, 5)
	g.Expect(report.Problems()).To(HaveLen(2))

	var body strings.Builder
	for i := range 3000 {
		body.WriteString(strings.Repeat("z", 1+i%40) + strings.Repeat("y", 1+i/40) + " = 1\n")
	}
	problems := rptoml.Decode([]byte(body.String()), &target{}).Problems()
	g.Expect(len(problems)).To(Equal(rptoml.MaxProblems + 1))
}
