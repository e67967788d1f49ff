package rpcore

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// declaredFunctions returns the names of the functions and methods in a file.
func declaredFunctions(t *testing.T, file string) map[string]bool {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	names := make(map[string]bool)
	for _, decl := range parsed.Decls {
		if function, ok := decl.(*ast.FuncDecl); ok {
			names[function.Name.Name] = true
		}
	}
	return names
}

// modelSteps returns the inlines of a model and the first lines of the comments
// before its steps.
func modelSteps(source string) []string {
	var steps []string
	for _, match := range regexp.MustCompile(`(?m)^inline (\w+)`).FindAllStringSubmatch(source, -1) {
		steps = append(steps, "inline `"+match[1]+"`")
	}
	comment := ""
	for line := range strings.Lines(source) {
		line = strings.TrimSpace(line)
		text := strings.TrimSpace(strings.TrimSuffix(strings.TrimLeft(line, "/* "), "*/"))
		switch {
		case strings.HasPrefix(line, "/*"):
			comment = text
		case strings.HasPrefix(line, "*"):
			if comment == "" {
				comment = text
			}
		case strings.HasPrefix(line, "#"):
		default:
			if comment != "" && (strings.HasPrefix(line, "::") || line == "if") {
				steps = append(steps, comment)
			}
			comment = ""
		}
	}
	return steps
}

// Guards against names in docs/spec.md of functions that were renamed or
// removed, and against steps of a model that the page maps to no function.
func TestSpecMapping(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/spec.md")
	g.Expect(err).NotTo(HaveOccurred())
	named := regexp.MustCompile("`(\\w+\\.go)` `(\\w+)`").FindAllStringSubmatch(string(page), -1)
	g.Expect(len(named)).To(BeNumerically(">", 60))
	for _, name := range named {
		g.Expect(declaredFunctions(t, name[1])).To(HaveKey(name[2]), "%s in %s", name[2], name[1])
	}
	for _, model := range []string{"replica", "claim", "document"} {
		_, section, found := strings.Cut(string(page), "(`spec/"+model+".pml`)")
		g.Expect(found).To(BeTrue(), model)
		section, _, _ = strings.Cut(section, "\n## ")
		source, err := os.ReadFile("../../spec/" + model + ".pml")
		g.Expect(err).NotTo(HaveOccurred())
		for _, code := range regexp.MustCompile("(?m)^\\| \\w+, `([^`]+)`").FindAllStringSubmatch(section, -1) {
			g.Expect(string(source)).To(ContainSubstring(code[1]), model)
		}
		steps := modelSteps(string(source))
		g.Expect(len(steps)).To(BeNumerically(">", 6), model)
		for _, step := range steps {
			g.Expect(section).To(MatchRegexp(`(?m)^\|[^|]*`+regexp.QuoteMeta(step)), model)
		}
	}
}
