package rpoperator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	editor      = "editor-credential"
	otherEditor = "other-editor-credential"
	caller      = "caller-credential"
)

func sumOf(credential string) string { return rpdocument.Hash([]byte(credential)) }

// documentBody returns the example document with both editors and a caller, after
// the given replacements.
func documentBody(replacements ...string) []byte {
	example := strings.Repeat("0", 63) + "1"
	body := strings.Replace(rpdocument.Example(), `"`+example+`"`, `"`+sumOf(editor)+`", "`+sumOf(otherEditor)+`"`, 1)
	body = strings.Replace(body, "callers = []", `callers = ["`+sumOf(caller)+`"]`, 1)
	return []byte(strings.NewReplacer(replacements...).Replace(body))
}

// fakeReducer accepts documents by compare-and-set, like the reducer does with the
// table. It also provides the document in force.
type fakeReducer struct {
	mu      sync.Mutex
	table   rpcore.DocumentRow
	inForce InForce
	server  *Server
	posted  int
}

func (f *fakeReducer) document(service string) (InForce, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForce, f.inForce.Document != nil && f.inForce.Row.Service == service
}

func (f *fakeReducer) post(ev rpcore.Event) {
	submitted := ev.(rpcore.DocumentSubmitted)
	go func() { f.server.AnswerSubmission(f.accept(submitted)) }()
}

func (f *fakeReducer) accept(ev rpcore.DocumentSubmitted) rpcore.AnswerSubmission {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.posted++
	if f.table.Version != ev.EditedVersion {
		current := f.table
		return rpcore.AnswerSubmission{Submission: ev.Submission, Result: rpcore.SubmissionConflict, Current: &current}
	}
	f.table = rpcore.DocumentRow{
		Service: ev.Service, Version: ev.EditedVersion + 1, Hash: ev.Hash, Editor: ev.Editor,
		AcceptedAt: time.Unix(0, 0), Submission: ev.Submission,
	}
	return rpcore.AnswerSubmission{Submission: ev.Submission, Result: rpcore.SubmissionAccepted, Version: f.table.Version}
}

// withServer returns a server with version 1 of the example document in force.
func withServer(t *testing.T, log *bytes.Buffer) (*Server, *fakeReducer) {
	t.Helper()
	doc, problems := rpdocument.Parse(documentBody())
	NewWithT(t).Expect(problems).To(BeEmpty())
	row := rpcore.DocumentRow{Service: "mixadvies", Version: 1, Editor: sumOf(editor), AcceptedAt: time.Unix(0, 0)}
	reducer := &fakeReducer{table: row, inForce: InForce{Row: row, Document: doc, Body: documentBody()}}
	server := &Server{
		Document: reducer.document, Post: reducer.post, BootstrapEditors: []string{sumOf(otherEditor)},
		Log: zerolog.Nop(),
	}
	if log != nil {
		server.Log = zerolog.New(log)
	}
	reducer.server = server
	return server, reducer
}

func sendPut(server *Server, service, version, credential string, body []byte) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPut, "/operator/v1/documents/"+service, bytes.NewReader(body))
	if version != "" {
		r.Header.Set("If-Match", version)
	}
	if credential != "" {
		r.Header.Set("Authorization", "Bearer "+credential)
	}
	w := httptest.NewRecorder()
	server.Handler().ServeHTTP(w, r)
	return w
}

// Guards against accepting two concurrent submissions for the same version, and
// against a conflict response that does not name the accepted version and its
// editor.
func TestConcurrentPuts(t *testing.T) {
	g := NewWithT(t)
	server, reducer := withServer(t, nil)
	responses := make([]*httptest.ResponseRecorder, 2)
	var group sync.WaitGroup
	for i, credential := range []string{editor, otherEditor} {
		group.Go(func() {
			responses[i] = sendPut(server, "mixadvies", `"1"`, credential, documentBody("max_replicas = 3", "max_replicas = 4"))
		})
	}
	group.Wait()
	won, lost := responses[0], responses[1]
	if won.Code != http.StatusOK {
		won, lost = lost, won
	}
	g.Expect(won.Code).To(Equal(http.StatusOK))
	var accepted AcceptResponse
	g.Expect(json.Unmarshal(won.Body.Bytes(), &accepted)).To(Succeed())
	g.Expect(accepted.Version).To(BeEquivalentTo(2))
	g.Expect(accepted.Changes).To(Equal([]rpdocument.Change{{Text: "Model bag-small: at most 4 replicas, was 3."}}))

	g.Expect(lost.Code).To(Equal(http.StatusPreconditionFailed))
	var refusal Refusal
	g.Expect(json.Unmarshal(lost.Body.Bytes(), &refusal)).To(Succeed())
	g.Expect(refusal.Code).To(Equal(CodeVersionConflict))
	g.Expect(refusal.Current.Version).To(BeEquivalentTo(2))
	g.Expect(refusal.Current.Editor).To(Equal(accepted.Editor))
	g.Expect(refusal.Detail).To(ContainSubstring("Version 2 is accepted, by editor " + ShortEditor(accepted.Editor)))
	g.Expect(reducer.posted).To(Equal(2))
}

// Guards against accepting a document from a credential without the right to edit:
// of a caller, of an unknown client, of an editor of an older version, or of a
// client that is listed only in its own new document.
func TestEditRights(t *testing.T) {
	newService := documentBody(`service = "mixadvies"`, `service = "bestelbalie"`)
	withoutOther := documentBody(`service = "mixadvies"`, `service = "bestelbalie"`, `, "`+sumOf(otherEditor)+`"`, "")
	for name, tc := range map[string]struct {
		service, version, credential string
		body                         []byte
		status                       int
		code                         Code
	}{
		"no credential":         {"mixadvies", "1", "", nil, 401, CodeCredentialMissing},
		"caller":                {"mixadvies", "1", caller, nil, 403, CodeCredentialNotAllowed},
		"stranger":              {"mixadvies", "1", "stranger", nil, 403, CodeCredentialNotAllowed},
		"the sum itself":        {"mixadvies", "1", sumOf(editor), nil, 403, CodeCredentialNotAllowed},
		"instance behind":       {"mixadvies", "2", editor, documentBody(), 503, CodeInstanceBehind},
		"older version":         {"mixadvies", "0", editor, documentBody(), 412, CodeVersionConflict},
		"no version":            {"mixadvies", "", editor, documentBody(), 428, CodeEditedVersionMissing},
		"bad version":           {"mixadvies", "*", editor, documentBody(), 400, CodeEditedVersionInvalid},
		"not bootstrap":         {"bestelbalie", "0", editor, newService, 403, CodeCredentialNotAllowed},
		"not in own editors":    {"bestelbalie", "0", otherEditor, withoutOther, 403, CodeCredentialNotAllowed},
		"not first document":    {"bestelbalie", "4", otherEditor, newService, 503, CodeInstanceBehind},
		"service of other path": {"mixadvies", "1", editor, newService, 422, CodeDocumentInvalid},
		"not valid":             {"mixadvies", "1", editor, []byte("format = 1"), 422, CodeDocumentInvalid},
		"too large":             {"mixadvies", "1", editor, bytes.Repeat([]byte("#"), rpdocument.MaxBodyBytes+1), 413, CodeBodyTooLarge},
		"bad service name":      {"Mix", "1", editor, nil, 404, CodeUnknownService},
		"allowed":               {"mixadvies", "1", otherEditor, documentBody(), 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server, reducer := withServer(t, nil)
			response := sendPut(server, tc.service, tc.version, tc.credential, tc.body)
			g.Expect(response.Code).To(Equal(tc.status), response.Body.String())
			if tc.code == "" {
				return
			}
			var refusal Refusal
			g.Expect(json.Unmarshal(response.Body.Bytes(), &refusal)).To(Succeed())
			g.Expect(refusal.Code).To(Equal(tc.code))
			g.Expect(response.Header().Get("Content-Type")).To(Equal(problemContentType))
			g.Expect(reducer.posted).To(BeZero())
		})
	}
}

// Guards against rejecting a valid first document of a service.
func TestNewService(t *testing.T) {
	g := NewWithT(t)
	server, reducer := withServer(t, nil)
	reducer.table, reducer.inForce = rpcore.DocumentRow{}, InForce{}
	response := sendPut(server, "mixadvies", "0", otherEditor, documentBody())
	g.Expect(response.Code).To(Equal(http.StatusOK))
	g.Expect(response.Body.String()).To(ContainSubstring("Service mixadvies is new."))
}

// Guards against a comparison whose duration reveals how much of a sum is correct
// or which entry matches.
func TestSumsAreComparedInConstantTime(t *testing.T) {
	g := NewWithT(t)
	g.Expect(reflect.ValueOf(compareSums).Pointer()).To(Equal(reflect.ValueOf(subtle.ConstantTimeCompare).Pointer()))
	calls := 0
	compareSums = func(a, b []byte) int {
		calls++
		return subtle.ConstantTimeCompare(a, b)
	}
	defer func() { compareSums = subtle.ConstantTimeCompare }()
	g.Expect(containsSum("a", []string{"a", "b", "c"})).To(BeTrue())
	g.Expect(calls).To(Equal(3))
	g.Expect(containsSum("", nil)).To(BeFalse())
}

// Guards against a definite response if the reducer does not answer in time, and
// against a waiting entry that is never removed.
func TestOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server, _ := withServer(t, nil)
		var late rpcore.DocumentSubmitted
		server.Post = func(ev rpcore.Event) { late = ev.(rpcore.DocumentSubmitted) }
		start := time.Now()
		response := sendPut(server, "mixadvies", "1", editor, documentBody())
		g.Expect(time.Since(start)).To(Equal(DefaultAnswerTimeout))
		g.Expect(response.Code).To(Equal(http.StatusGatewayTimeout))
		g.Expect(response.Body.String()).To(And(ContainSubstring("outcome_unknown"), ContainSubstring("may have been accepted")))
		server.AnswerSubmission(rpcore.AnswerSubmission{Submission: late.Submission, Result: rpcore.SubmissionAccepted})
		g.Expect(server.submissions.waiting).To(BeEmpty())
	})
}

// Guards against an unlimited number of waiting submissions, and against a response
// that does not match the reducer's result.
func TestResults(t *testing.T) {
	g := NewWithT(t)
	server, _ := withServer(t, nil)
	for range maxSubmissions {
		server.submissions.register(time.Now().String() + string(rune(len(server.submissions.waiting))))
	}
	g.Expect(sendPut(server, "mixadvies", "1", editor, documentBody()).Body.String()).To(ContainSubstring("too_many_submissions"))
	server.submissions.waiting = nil
	for result, status := range map[rpcore.SubmissionResult]int{
		rpcore.SubmissionUnavailable: 503, rpcore.SubmissionUnknown: 504, rpcore.SubmissionInvalid: 422, "": 504,
	} {
		server.Post = func(ev rpcore.Event) {
			server.AnswerSubmission(rpcore.AnswerSubmission{Submission: ev.(rpcore.DocumentSubmitted).Submission, Result: result})
		}
		g.Expect(sendPut(server, "mixadvies", "1", editor, documentBody()).Code).To(Equal(status), string(result))
	}
}

// Guards against credentials or document bodies in the log or in responses.
func TestNothingSecretIsLogged(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	server, _ := withServer(t, &log)
	response := sendPut(server, "mixadvies", "1", editor, documentBody())
	refused := sendPut(server, "mixadvies", "1", caller, documentBody())
	g.Expect(log.String()).To(ContainSubstring(`"result":"accepted"`))
	for _, text := range []string{log.String(), response.Body.String(), refused.Body.String()} {
		g.Expect(text).NotTo(Or(ContainSubstring(editor), ContainSubstring(caller), ContainSubstring("checkpoint =")))
	}
	g.Expect(log.String()).NotTo(ContainSubstring(sumOf(editor)))
}

// Guards against missing paths and wrong responses of the read-only paths.
func TestPaths(t *testing.T) {
	g := NewWithT(t)
	server, _ := withServer(t, nil)
	get := func(path, accept string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Header.Set("Accept", accept)
		w := httptest.NewRecorder()
		server.Handler().ServeHTTP(w, r)
		return w
	}
	server.Metrics = http.NotFoundHandler()
	g.Expect(get("/readyz", "").Code).To(Equal(503))
	server.Ready = func() (bool, string) { return true, "" }
	g.Expect(get("/readyz", "").Code).To(Equal(200))
	g.Expect(get("/healthz", "").Code).To(Equal(200))
	server.Healthy = func() error { return errors.New("event loop is stuck") }
	g.Expect(get("/healthz", "").Body.String()).To(ContainSubstring("event loop is stuck"))
	g.Expect(get("/debug/pprof/", "").Code).To(Equal(200))
	g.Expect(get("/nothing", "").Body.String()).To(ContainSubstring("not_found"))
	g.Expect(get("/operator/v1/status", "").Code).To(Equal(200))
	g.Expect(get("/operator/v1/documents", "").Body.String()).To(Equal("{\"documents\":[]}\n"))
	g.Expect(get("/operator/v1/documents/none", "").Code).To(Equal(404))
	toml := get("/operator/v1/documents/mixadvies", "")
	g.Expect(toml.Header().Get("ETag")).To(Equal(`"1"`))
	g.Expect(toml.Body.Bytes()).To(Equal(documentBody()))
	g.Expect(get("/operator/v1/documents/mixadvies", jsonContentType).Body.String()).To(ContainSubstring(`"version":1`))
}

// Guards against a client that reports a submission as not sent although it may
// have been accepted, and against a server that does not stop.
func TestClientAndStop(t *testing.T) {
	g := NewWithT(t)
	server, _ := withServer(t, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error)
	go func() { served <- server.Serve(ctx, listener) }()
	client := &Client{Address: netip.MustParseAddrPort(listener.Addr().String()), Credential: editor}

	response, err := client.Accept(ctx, "mixadvies", 1, documentBody())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Version).To(BeEquivalentTo(2))
	_, err = client.Accept(ctx, "mixadvies", 0, documentBody())
	var refusal *Refusal
	g.Expect(errors.As(err, &refusal)).To(BeTrue())
	g.Expect(refusal.Current.Version).To(BeEquivalentTo(1))
	got, err := client.Document(ctx, "mixadvies")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Body).To(Equal(string(documentBody())))

	server.Post = func(rpcore.Event) { panic(http.ErrAbortHandler) }
	_, err = client.Accept(ctx, "mixadvies", 1, documentBody())
	var unreachable *UnreachableError
	g.Expect(errors.As(err, &unreachable)).To(BeTrue())
	g.Expect(unreachable.NotSent).To(BeFalse())

	cancel()
	g.Expect(<-served).To(Succeed())
	_, err = client.List(t.Context())
	g.Expect(errors.As(err, &unreachable)).To(BeTrue())
	g.Expect(unreachable.NotSent).To(BeTrue())
}
