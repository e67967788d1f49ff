package rpdocument_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

func withDocument(t *testing.T, body string) *rpdocument.Document {
	t.Helper()
	doc, problems := rpdocument.Parse([]byte(body))
	NewWithT(t).Expect(problems).To(BeEmpty())
	return doc
}

// Guards against a change that is missing from the list shown to operators, or
// that lacks its warning. The changes are compared with _fixtures/diff.txt.
func TestDiff(t *testing.T) {
	g := NewWithT(t)
	old := withDocument(t, rpdocument.Example())
	body := strings.NewReplacer(
		`team = "counter"`, `team = "desk"`,
		"01\"]", "02\"]",
		"callers = []", `callers = ["`+sum+`"]`,
		"accelerators = 8", "accelerators = 4",
		"hours_per_day = 120", "hours_per_day = 90.5",
		`deadline = "10s"`, `deadline = "5s"`,
		`version = "7"`, `version = "8"`,
		`"weights/bag-small/7"`, `"weights/bag-small/8"`,
		`"12GiB"`, `"13GiB"`,
		"max_replicas = 3", "max_replicas = 2",
		"warm_replicas = 1", "warm_replicas = 0",
		"single_run = false", "single_run = true",
		`name = "bag-small-nl"`, `name = "bag-small-be"`,
		"repeatable = true", "repeatable = false",
		`methods = ["GET"]`, `methods = ["GET", "POST"]`,
	).Replace(rpdocument.Example())
	changed := withDocument(t, body)

	var text strings.Builder
	fmt.Fprintln(&text, "# new service")
	for _, change := range rpdocument.Diff(nil, old) {
		fmt.Fprintln(&text, change)
	}
	fmt.Fprintln(&text, "# changed")
	for _, change := range rpdocument.Diff(old, changed) {
		fmt.Fprintln(&text, change)
	}
	fmt.Fprintln(&text, "# changed back")
	for _, change := range rpdocument.Diff(changed, old) {
		fmt.Fprintln(&text, change)
	}
	want, err := os.ReadFile("_fixtures/diff.txt")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text.String()).To(Equal(string(want)))
	g.Expect(rpdocument.Diff(old, old)).To(BeEmpty())
}
