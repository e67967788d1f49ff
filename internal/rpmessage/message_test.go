package rpmessage_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpmessage"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against a page docs/messages.md that differs from the table.
func TestDocs(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/messages.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(rpmessage.Docs()), "run: go run ./cmd/rattanpaddle docs messages > docs/messages.md")
}

// Guards against a duplicate code, and against an incomplete or malformed
// description.
func TestTable(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for _, message := range rpmessage.All() {
		key := string(message.Area) + message.Code
		g.Expect(seen[key]).To(BeFalse(), key)
		seen[key] = true
		g.Expect(message.Happened).To(MatchRegexp(`^[A-Z].*\.$`), key)
		g.Expect(message.Do).To(MatchRegexp(`^[A-Z][^.]*(\.[a-z_][^.]*)*\.$`), key)
		if message.Area == rpmessage.AreaCaller {
			g.Expect(message.Happened).To(Equal(rpverdict.Refuse(rpverdict.Code(message.Code), "").Title()))
		}
	}
}

// withMatches returns the first capture group of all matches in the Go files
// below a directory, without tests.
func withMatches(t *testing.T, dir string, pattern *regexp.Regexp) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range pattern.FindAllStringSubmatch(string(source), -1) {
			found = append(found, match[1])
		}
		return err
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return found
}

// Guards against a code, problem, remark, log line or note in the source that
// the table lacks.
func TestSourceIsCovered(t *testing.T) {
	g := NewWithT(t)
	codes := regexp.MustCompile(`(?m)^\tCode\w+\s+Code = "(\w+)"`)
	for dir, area := range map[string]rpmessage.Area{"../../pkg/rpverdict": rpmessage.AreaCaller, "../rpoperator": rpmessage.AreaOperator} {
		found := withMatches(t, dir, codes)
		g.Expect(len(found)).To(BeNumerically(">", 15), dir)
		for _, code := range found {
			_, ok := rpmessage.Find(area, code)
			g.Expect(ok).To(BeTrue(), code)
		}
	}
	for _, code := range withMatches(t, "../rptimeview", regexp.MustCompile(`(?m)^\tRemark\w+\s+= "(\w+)"`)) {
		_, ok := rpmessage.Find(rpmessage.AreaTimeline, code)
		g.Expect(ok).To(BeTrue(), code)
	}
	problems := withMatches(t, "../rptoml", regexp.MustCompile(`(?m)^\tCode\w+\s+= "(\w+)"`))
	g.Expect(len(problems)).To(BeNumerically(">", 15))
	for _, code := range problems {
		_, ok := rpmessage.Find(rpmessage.AreaProblem, code)
		g.Expect(ok).To(BeTrue(), code)
	}
	lines := withMatches(t, "..", regexp.MustCompile(`(?m)^[^/\n]*\.Msg\("([^"]+)"`))
	notes := withMatches(t, "../../pkg/rpcore", regexp.MustCompile(`(?:Text: |[nN]ote\((?:"\w+", )?)"([^"]+)"`))
	g.Expect(len(lines)).To(BeNumerically(">", 20))
	g.Expect(len(notes)).To(BeNumerically(">", 15))
	fleetNotes := withMatches(t, "../../pkg/rpfleet", regexp.MustCompile(`note(?:Request)?\((?:r|"\w+"), "([^"]+)"`))
	g.Expect(len(fleetNotes)).To(BeNumerically(">", 15))
	notes = append(notes, fleetNotes...)
	for _, line := range append(lines, notes...) {
		_, ok := rpmessage.LogCode(line)
		g.Expect(ok).To(BeTrue(), line)
	}
}
