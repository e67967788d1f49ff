package rpdocument_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpmessage"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const sum = "00000000000000000000000000000000000000000000000000000000000000aa"

const head = `format = 1
service = "mixadvies"
team = "counter"
editors = ["` + sum + `"]
spend = { accelerators = 4 }
`

const bagSmall = `[[models]]
name = "bag-small"
version = "1"
checkpoint = "w/1"
memory = "1GiB"
max_replicas = 2
`

// wantProblem returns the expected problem of a case in TestEachProblem: its
// line, its key and a part of its Wrong.
func wantProblem(line int, key string, wrong string) string {
	return fmt.Sprintf("%d %s %s", line, key, wrong)
}

// Guards against a kind of problem that is accepted, or reported with a wrong
// line or key. Lines 1 to 5 are those of head, 6 to 11 those of bagSmall.
func TestEachProblem(t *testing.T) {
	cases := map[string]struct{ body, want string }{
		"not TOML":           {head + "[[models]\n", wantProblem(6, "", "The file is not valid TOML")},
		"unknown key":        {head + "colour = 1\n", wantProblem(6, "colour", "unknown")},
		"wrong type":         {strings.Replace(head, `"counter"`, "7", 1), wantProblem(3, "team", "a whole number")},
		"missing":            {strings.Replace(head, `team = "counter"`, "", 1), wantProblem(1, "team", "missing")},
		"missing in entry":   {head + strings.Replace(bagSmall, `memory = "1GiB"`, "", 1), wantProblem(6, "models[0].memory", "missing")},
		"format":             {strings.Replace(head, "format = 1", "format = 2", 1), wantProblem(1, "format", "out of range")},
		"no editors":         {strings.Replace(head, `"`+sum+`"`, "", 1), wantProblem(4, "editors", "empty")},
		"not a sum":          {strings.Replace(head, sum, "secret", 1), wantProblem(4, "editors[0]", "not a SHA-256 sum")},
		"repeated sum":       {head[:strings.Index(head, "spend")] + "callers = [\"" + sum + "\",\n\"" + sum + "\"]\n", wantProblem(6, "callers[1]", "already")},
		"name":               {strings.Replace(head, "mixadvies", "Mix", 1), wantProblem(2, "service", "not allowed")},
		"number not finite":  {head + "[ranks.urgent]\nworth = inf\n", wantProblem(7, "ranks.urgent.worth", "finite")},
		"duration":           {head + "[ranks.urgent]\ntarget = 500\n", wantProblem(7, "ranks.urgent.target", "a whole number")},
		"duration range":     {head + "[ranks.urgent]\ndeadline = \"48h\"\n", wantProblem(7, "ranks.urgent.deadline", "out of range")},
		"target":             {head + "[ranks.urgent]\ntarget = \"20s\"\n", wantProblem(7, "ranks.urgent.target", "longer than the deadline")},
		"floors":             {head + "[ranks.urgent]\nfloor = 0.9\n", wantProblem(6, "ranks", "sum up to 1.1")},
		"memory":             {head + strings.Replace(bagSmall, "1GiB", "1GB", 1), wantProblem(10, "models[0].memory", "not an amount of memory")},
		"memory range":       {head + strings.Replace(bagSmall, "1GiB", "0B", 1), wantProblem(10, "models[0].memory", "out of range")},
		"max replicas":       {head + strings.Replace(bagSmall, "replicas = 2", "replicas = 0", 1), wantProblem(11, "models[0].max_replicas", "out of range")},
		"warm above max":     {head + bagSmall + "warm_replicas = 3\n", wantProblem(12, "models[0].warm_replicas", "more than max_replicas")},
		"above spend":        {head + bagSmall + "accelerators = 5\n", wantProblem(12, "models[0].accelerators", "more than spend")},
		"rank":               {head + bagSmall + "rank = \"slow\"\n", wantProblem(12, "models[0].rank", "not a rank")},
		"checkpoint":         {head + strings.Replace(bagSmall, "w/1", "w 1", 1), wantProblem(9, "models[0].checkpoint", "not allowed")},
		"repeated model":     {head + bagSmall + bagSmall, wantProblem(13, "models[1].name", "declared on line 7")},
		"adapter as model":   {head + bagSmall + "[[adapters]]\nname = \"bag-small\"\nversion = \"1\"\nbase_model = \"bag-small\"\ncheckpoint = \"a\"\nmemory = \"1MiB\"\n", wantProblem(13, "adapters[0].name", "already")},
		"no base model":      {head + "[[adapters]]\nname = \"a\"\nversion = \"1\"\nbase_model = \"b\"\ncheckpoint = \"a\"\nmemory = \"1MiB\"\n", wantProblem(9, "adapters[0].base_model", "no model")},
		"repeated route":     {head + "[[routes]]\npath_prefix = \"/a\"\nmethods = [\"GET\"]\n[[routes]]\npath_prefix = \"/a/\"\nmethods = [\"GET\"]\n", wantProblem(11, "routes[1].methods[0]", "already")},
		"method":             {head + "[[routes]]\npath_prefix = \"/a\"\nmethods = [\"get\"]\n", wantProblem(8, "routes[0].methods[0]", "not a method")},
		"path":               {head + "[[routes]]\npath_prefix = \"/a/../b\"\nmethods = [\"GET\"]\n", wantProblem(7, "routes[0].path_prefix", "not allowed")},
		"too many routes":    {head + strings.Repeat("[[routes]]\npath_prefix = \"/\"\nmethods = [\"GET\"]\n", 201), wantProblem(6, "routes", "201 entries")},
		"body too large":     {strings.Repeat("#", rpdocument.MaxBodyBytes+1), wantProblem(0, "", "bytes")},
		"table for a list":   {head + strings.Replace(bagSmall, "[[models]]", "[models]", 1), wantProblem(6, "models", "a table")},
		"number too large":   {strings.Replace(head, "= 4", "= 99999999999999999999", 1), wantProblem(5, "", "not valid TOML")},
		"name has UTF-8":     {strings.Replace(head, "mixadvies", "mixadviés", 1), wantProblem(2, "service", "not allowed")},
		"spend for no model": {strings.Replace(head, "= 4", "= -1", 1), wantProblem(5, "spend.accelerators", "out of range")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			doc, problems := rpdocument.Parse([]byte(tc.body))
			g.Expect(doc).To(BeNil())
			g.Expect(problems).NotTo(BeEmpty())
			found := false
			for _, problem := range problems {
				prefix := fmt.Sprintf("%d %s ", problem.Line, problem.Key)
				rest, ok := strings.CutPrefix(tc.want, prefix)
				found = found || (ok && strings.Contains(problem.Wrong, rest))
				g.Expect(problem.Wrong).To(HaveSuffix("."))
				_, ok = rpmessage.Find(rpmessage.AreaProblem, problem.Code)
				g.Expect(ok).To(BeTrue(), "the table of messages lacks the code %q", problem.Code)
				g.Expect(problem.Fix).To(HaveSuffix("."), "the fix is not a sentence: %s", problem.Fix)
			}
			g.Expect(found).To(BeTrue(), "%s is not in %v", tc.want, problems)
			if name != "too many routes" {
				g.Expect(problems).To(HaveLen(1))
			}
		})
	}
}

// Guards against a check that stops at the first problem.
func TestAllProblemsAtOnce(t *testing.T) {
	g := NewWithT(t)
	_, problems := rpdocument.Parse([]byte("format = 3\nservice = \"A\"\ncolour = 1\n[[models]]\nmemory = 5\n"))
	keys := make([]string, len(problems))
	for i := range problems {
		keys[i] = problems[i].Key
	}
	g.Expect(keys).To(ConsistOf("format", "service", "colour", "team", "editors", "spend.accelerators",
		"models[0].name", "models[0].version", "models[0].checkpoint", "models[0].memory", "models[0].max_replicas"))
	g.Expect(problems[0].Error()).To(Equal("line 1: format: The value 3 is out of range. Write 1. (out_of_range)"))
}

// Guards against a misleading second problem: a check that compares two keys
// must not run if one of them already has a problem.
func TestComparisonsNeedValidKeys(t *testing.T) {
	g := NewWithT(t)
	body := head + `[ranks.urgent]
floor = 3
deadline = "nothing"
target = "30s"
` + strings.Replace(bagSmall, "replicas = 2", `replicas = "two"`, 1) + "warm_replicas = 1\n" +
		"[[adapters]]\nname = \"a\"\nversion = \"1\"\nbase_model = \"b\"\ncheckpoint = \"a\"\nmemory = \"1MiB\"\n" +
		"[[models]]\nname = 1\nversion = \"1\"\ncheckpoint = \"a\"\nmemory = \"1MiB\"\nmax_replicas = 1\n"
	_, problems := rpdocument.Parse([]byte(body))
	keys := make([]string, len(problems))
	for i := range problems {
		keys[i] = problems[i].Key
	}
	g.Expect(keys).To(ConsistOf("ranks.urgent.floor", "ranks.urgent.deadline", "models[0].max_replicas", "models[1].name"))
}

// Guards against a default that differs from the documented one.
func TestDefaults(t *testing.T) {
	g := NewWithT(t)
	doc, problems := rpdocument.Parse([]byte(head + "ranks.urgent.floor = 0.2\n" + bagSmall))
	g.Expect(problems).To(BeEmpty())
	g.Expect(doc.Models[0].Accelerators).To(Equal(1))
	g.Expect(doc.Models[0].Rank).To(Equal(rpdocument.RankNormal))
	g.Expect(doc.Spend.AcceleratorHoursPerDay).To(Equal(96.0))
	ranks := rpdocument.DefaultRanks()
	ranks.Urgent.Floor = 0.2
	g.Expect(doc.Ranks).To(Equal(ranks))
}

// Guards against an invalid example, which operators would copy.
func TestExample(t *testing.T) {
	g := NewWithT(t)
	doc, problems := rpdocument.Parse([]byte(rpdocument.Example()))
	g.Expect(problems).To(BeEmpty())
	g.Expect(doc.Ranks).To(Equal(rpdocument.DefaultRanks()), "the example shows the defaults")
}

// Guards against a panic on any input, and against an accepted document that
// exceeds the bounds which later steps rely on.
func FuzzParse(f *testing.F) {
	f.Add([]byte(rpdocument.Example()))
	f.Add([]byte(head + bagSmall))
	f.Add([]byte("models = [{}, 3]\nranks = 1\n[[routes]]\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		doc, problems := rpdocument.Parse(body)
		if (doc == nil) == (len(problems) == 0) {
			t.Fatal("Parse returns a document or problems, never both or none")
		}
		if doc != nil {
			checkBounds(t, doc)
		}
	})
}

func checkBounds(t *testing.T, doc *rpdocument.Document) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(rpdocument.ValidName(doc.Service) && rpdocument.ValidName(doc.Team)).To(BeTrue())
	g.Expect(len(doc.Models)).To(BeNumerically("<=", rpdocument.MaxModels))
	g.Expect(len(doc.Adapters)).To(BeNumerically("<=", rpdocument.MaxAdapters))
	g.Expect(len(doc.Routes)).To(BeNumerically("<=", rpdocument.MaxRoutes))
	g.Expect(len(doc.Editors)).To(And(BeNumerically(">", 0), BeNumerically("<=", rpdocument.MaxCredentials)))
	g.Expect(len(doc.Callers)).To(BeNumerically("<=", rpdocument.MaxCredentials))
	floors := 0.0
	for _, rank := range rpdocument.Ranks {
		policy := doc.Rank(rank)
		floors += policy.Floor
		g.Expect(policy.Floor).To(BeNumerically(">=", 0))
		g.Expect(policy.Target).To(And(BeNumerically(">", 0), BeNumerically("<=", policy.Deadline)))
		g.Expect(policy.Deadline).To(BeNumerically("<=", rpdocument.MaxDeadline))
		g.Expect(policy.Worth > 0 && !math.IsInf(policy.Worth, 0)).To(BeTrue())
		g.Expect(policy.QueueLimit).To(BeNumerically(">", 0))
	}
	g.Expect(floors).To(BeNumerically("<=", 1.000001))
	for _, model := range doc.Models {
		g.Expect(model.WarmReplicas).To(And(BeNumerically(">=", 0), BeNumerically("<=", model.MaxReplicas)))
		g.Expect(model.Memory).To(And(BeNumerically(">", 0), BeNumerically("<=", rpdocument.MaxMemory)))
		g.Expect(model.Rank.Index()).To(BeNumerically(">=", 0))
		g.Expect(model.Accelerators).To(BeNumerically(">", 0))
	}
	for _, adapter := range doc.Adapters {
		_, ok := doc.Model(adapter.BaseModel)
		g.Expect(ok).To(BeTrue())
	}
}
