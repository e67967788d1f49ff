package rpcommand

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// fakeInstance serves the operators' interface and accepts every submitted
// document.
type fakeInstance struct {
	mu      sync.Mutex
	current rpoperator.InForce
	// dropAnswers makes the instance accept a document without an answer.
	dropAnswers bool
	address     string
	server      *rpoperator.Server
}

func withInstance(t *testing.T, credentials ...string) *fakeInstance {
	t.Helper()
	n := &fakeInstance{}
	n.server = &rpoperator.Server{
		Document: n.document, Post: n.post, AnswerTimeout: 10 * time.Millisecond,
		Documents: func() []rpcore.DocumentRow { return []rpcore.DocumentRow{n.current.Row} },
		Status:    func() any { return withStatus("entry-1a", "d1", 8) },
	}
	for _, credential := range credentials {
		n.server.BootstrapEditors = append(n.server.BootstrapEditors, rpdocument.Hash([]byte(credential)))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.server.Serve(ctx, listener) }()
	n.address = listener.Addr().String()
	return n
}

func (n *fakeInstance) document(string) (rpoperator.InForce, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current, n.current.Document != nil
}

func (n *fakeInstance) post(ev rpcore.Event) {
	submitted := ev.(rpcore.DocumentSubmitted)
	n.mu.Lock()
	doc, _ := rpdocument.Parse(submitted.Body)
	n.current = rpoperator.InForce{Document: doc, Body: submitted.Body, Row: rpcore.DocumentRow{
		Service: submitted.Service, Version: submitted.EditedVersion + 1, Hash: submitted.Hash,
		Editor: submitted.Editor, AcceptedAt: time.Unix(0, 0), Submission: submitted.Submission,
	}}
	n.mu.Unlock()
	if !n.dropAnswers {
		n.server.AnswerSubmission(rpcore.AnswerSubmission{
			Submission: submitted.Submission, Result: rpcore.SubmissionAccepted, Version: submitted.EditedVersion + 1,
		})
	}
}

// exampleBody returns the example document with anna and bram as editors.
// replacements are pairs of old and new text.
func exampleBody(replacements ...string) string {
	sums := rpdocument.Hash([]byte("anna")) + `", "` + rpdocument.Hash([]byte("bram"))
	text := strings.Replace(rpdocument.Example(), strings.Repeat("0", 63)+"1", sums, 1)
	return strings.NewReplacer(replacements...).Replace(text)
}

// Guards against a conflict report that does not name the editor and the changes
// of the accepted version, and against a failure that is reported although an
// earlier attempt, whose answer was lost, was accepted.
func TestAccept(t *testing.T) {
	g := NewWithT(t)
	n := withInstance(t, "anna")
	first, annas, brams := withFile(t, exampleBody()), withFile(t, exampleBody("max_replicas = 3", "max_replicas = 4")), withFile(t, exampleBody("max_replicas = 3", "max_replicas = 2"))
	accept := func(credential, file, version string) result {
		t.Setenv(CredentialVariable, credential)
		return withRun(t, &Program{}, "document", "accept", file, "--edited-version", version, "--operator", n.address)
	}
	anna := rpdocument.Hash([]byte("anna"))[:12]

	got := accept("anna", first, "0")
	g.Expect(got.code).To(Equal(ExitDone), got.stderr)
	g.Expect(got.stdout).To(HavePrefix("Version 1 of service mixadvies is accepted, by editor " + anna + ".\nService mixadvies is new.\n"))
	g.Expect(accept("anna", annas, "1").code).To(Equal(ExitDone))

	got = accept("bram", brams, "1")
	g.Expect(got.code).To(Equal(ExitConflict))
	g.Expect(got.stdout).To(Equal("Version 2 is accepted, by editor " + anna + " at 1970-01-01T00:00:00Z. " +
		"You edited version 1. Your document was not accepted.\n" +
		"Your file would change version 2 as follows:\n" +
		"Model bag-small: at most 2 replicas, was 4.\n  Warning: Replicas above 2 are unloaded.\n"))

	got = accept("anna", annas, "1")
	g.Expect(got.code).To(Equal(ExitDone))
	g.Expect(got.stdout).To(ContainSubstring("is this document and was accepted before"))
	got = accept("stranger", brams, "2")
	g.Expect(got.code).To(Equal(ExitRefused))
	g.Expect(got.stderr).NotTo(ContainSubstring("stranger"))

	n.dropAnswers = true
	got = accept("bram", brams, "2")
	g.Expect(got.code).To(Equal(ExitDone))
	g.Expect(got.stdout).To(ContainSubstring("Version 3 of service mixadvies is this document and is accepted"))
	n.server.Post = func(rpcore.Event) {}
	got = accept("bram", first, "3")
	g.Expect(got.code).To(Equal(ExitUnknown))
	g.Expect(got.stdout).To(ContainSubstring("It is not known whether the document was accepted."))
}

// Guards against a report that differs from what the instance returned.
func TestReportsMatchInstance(t *testing.T) {
	g := NewWithT(t)
	n := withInstance(t, "anna")
	t.Setenv(CredentialVariable, "anna")
	t.Setenv("RATTANPADDLE_OPERATOR", n.address)
	file := withFile(t, exampleBody("max_replicas = 3", "max_replicas = 4"))
	g.Expect(withRun(t, &Program{}, "document", "put", withFile(t, exampleBody()), "--edited-version", "0").code).To(Equal(ExitDone))
	g.Expect(withRun(t, &Program{}, "document", "ls").stdout).To(ContainSubstring("mixadvies                       1  1970-01-01T00:00:00Z"))
	g.Expect(withRun(t, &Program{}, "document", "show", "mixadvies").stdout).To(HaveSuffix(exampleBody()))
	g.Expect(withRun(t, &Program{}, "document", "diff", file).stdout).To(
		Equal("Changes to version 1:\nModel bag-small: at most 4 replicas, was 3.\n"))
	g.Expect(withRun(t, &Program{}, "status").stdout).To(Equal(wantStatus))
}
