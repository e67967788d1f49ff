package rpconfigcheck_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpconfigcheck"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmessage"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

var update = flag.Bool("update", false, "write the golden files")

// callerKey matches the keys in the files of testdata.
var callerKey = regexp.MustCompile(`secret-\w+`)

func withConfigFile(t *testing.T, name string) *rpwire.ConfigFile {
	t.Helper()
	g := NewWithT(t)
	data, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	file, err := rpwire.ReadConfigFile(data)
	g.Expect(err).NotTo(HaveOccurred())
	return file
}

// expectGolden compares a text with a golden file. No text may contain a key.
func expectGolden(t *testing.T, name, text string) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(callerKey.FindString(text)).To(BeEmpty())
	if *update {
		g.Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(string(want)))
}

// forEachConfig runs a test for each file of a directory of testdata.
func forEachConfig(t *testing.T, dir string, check func(t *testing.T, base string)) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("testdata", dir, "*.json"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(names).NotTo(BeEmpty())
	for _, name := range names {
		base := strings.TrimSuffix(name, ".json")
		t.Run(filepath.Base(base), func(t *testing.T) { check(t, base) })
	}
}

func problemsText(problems []rpdocument.Problem) string {
	var text strings.Builder
	for _, problem := range problems {
		fmt.Fprintln(&text, problem.Error())
	}
	return text.String()
}

// Guards against a finding that is not reported, has another line, path or text, or
// shows a caller's key, and against findings in a sound file.
func TestCheck(t *testing.T) {
	forEachConfig(t, "check", func(t *testing.T, base string) {
		problems := rpconfigcheck.Check(withConfigFile(t, base+".json"), rpconfigcheck.Endpoints{"assistant": 3, "orders": 2})
		expectGolden(t, base+".golden", problemsText(problems))
	})
	NewWithT(t).Expect(problemsText(rpconfigcheck.Check(withConfigFile(t, "testdata/check/clean.json"), nil))).To(BeEmpty())
}

// Guards against a change for callers that is not reported or is in the wrong group.
func TestDiff(t *testing.T) {
	inForce := withConfigFile(t, "testdata/inforce.json")
	forEachConfig(t, "diff", func(t *testing.T, base string) {
		file := withConfigFile(t, base+".json")
		text := problemsText(rpconfigcheck.CheckVersion(inForce, file))
		for _, change := range rpconfigcheck.Diff(inForce, file) {
			text += fmt.Sprintf("%s: %s\n", change.Group, change.Text)
		}
		expectGolden(t, base+".golden", text)
	})
}

// Guards against a code without advice in docs/messages.md, and against a code without
// a golden file.
func TestCodesAreCovered(t *testing.T) {
	g := NewWithT(t)
	source, err := os.ReadFile("check.go")
	g.Expect(err).NotTo(HaveOccurred())
	golden, err := filepath.Glob("testdata/*/*.golden")
	g.Expect(err).NotTo(HaveOccurred())
	var texts strings.Builder
	for _, name := range golden {
		text, err := os.ReadFile(name)
		g.Expect(err).NotTo(HaveOccurred())
		texts.Write(text)
	}
	codes := regexp.MustCompile(`(?m)^\tCode\w+\s+= "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	g.Expect(len(codes)).To(BeNumerically(">", 10))
	for _, code := range codes {
		_, ok := rpmessage.Find(rpmessage.AreaProblem, code[1])
		g.Expect(ok).To(BeTrue(), code[1])
		g.Expect(texts.String()).To(ContainSubstring("("+code[1]+")"), code[1])
	}
}
