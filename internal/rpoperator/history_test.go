package rpoperator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// withHistory returns a server whose table has versions 1 and 2 of the example.
// Version 2 is in force. The object store has only the body of version 1.
func withHistory(t *testing.T) (*Server, *fakeReducer) {
	t.Helper()
	server, reducer := withServer(t, nil)
	first := rpcore.AcceptedVersion{Version: 1, Hash: "first", Editor: sumOf(editor)}
	reducer.table.Version, reducer.table.Hash = 2, "second"
	reducer.table.History = []rpcore.AcceptedVersion{first}
	// A row received from a peer has no history.
	reducer.inForce.Row.Version = 2
	server.AcceptedRow = func(context.Context, string) (*rpcore.DocumentRow, error) {
		row := reducer.table
		return &row, nil
	}
	server.LoadBody = func(_ context.Context, hash string) ([]byte, error) {
		if hash != "first" {
			return nil, errors.New("down")
		}
		return []byte("body of the first"), nil
	}
	return server, reducer
}

func sendGet(server *Server, path, credential string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/operator/v1/documents/"+path, nil)
	if credential != "" {
		r.Header.Set("Authorization", "Bearer "+credential)
	}
	w := httptest.NewRecorder()
	server.Handler().ServeHTTP(w, r)
	return w
}

// Guards against showing the history or an earlier body to a caller, another team
// or a client without a credential, and against wrong codes.
func TestHistoryRights(t *testing.T) {
	for name, tc := range map[string]struct {
		path, credential string
		status           int
		code             Code
	}{
		"no credential":      {"mixadvies/history", "", 401, CodeCredentialMissing},
		"caller":             {"mixadvies/history", caller, 403, CodeCredentialNotAllowed},
		"another team":       {"mixadvies/history", "stranger", 403, CodeCredentialNotAllowed},
		"body, another team": {"mixadvies/history/1", "stranger", 403, CodeCredentialNotAllowed},
		"unknown service":    {"bestelbalie/history", editor, 404, CodeUnknownService},
		"version not kept":   {"mixadvies/history/3", editor, 404, CodeVersionNotKept},
		"no number":          {"mixadvies/history/x", editor, 404, CodeVersionNotKept},
		"store is down":      {"mixadvies/history/2", editor, 503, CodePlatformUnreadable},
		"allowed":            {"mixadvies/history", editor, 200, ""},
		"body, allowed":      {"mixadvies/history/1", otherEditor, 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server, _ := withHistory(t)
			response := sendGet(server, tc.path, tc.credential)
			g.Expect(response.Code).To(Equal(tc.status), response.Body.String())
			if tc.code == "" {
				return
			}
			var refusal Refusal
			g.Expect(json.Unmarshal(response.Body.Bytes(), &refusal)).To(Succeed())
			g.Expect(refusal.Code).To(Equal(tc.code))
			g.Expect(response.Body.String()).NotTo(Or(ContainSubstring("second"), ContainSubstring("body of the first")))
		})
	}
}

// Guards against reading the history from the instance's own row, which may lack
// it, and against showing an empty history if the table is unavailable.
func TestHistoryComesFromTheTable(t *testing.T) {
	g := NewWithT(t)
	server, _ := withHistory(t)
	var response HistoryResponse
	g.Expect(json.Unmarshal(sendGet(server, "mixadvies/history", editor).Body.Bytes(), &response)).To(Succeed())
	g.Expect(response.Versions).To(HaveLen(2))
	g.Expect(response.Versions[0].Hash).To(Equal("second"))
	g.Expect(response.Versions[1].Hash).To(Equal("first"))
	server.AcceptedRow = func(context.Context, string) (*rpcore.DocumentRow, error) { return nil, errors.New("down") }
	g.Expect(sendGet(server, "mixadvies/history", editor).Body.String()).To(ContainSubstring(string(CodePlatformUnreadable)))
}

// Guards against showing a version to an editor whom it removes, if it is accepted
// after the authorization check and before the row is read.
func TestHistoryRacesWithAccept(t *testing.T) {
	g := NewWithT(t)
	server, reducer := withHistory(t)
	without, problems := rpdocument.Parse(documentBody(`"`+sumOf(editor)+`", `, ""))
	g.Expect(problems).To(BeEmpty())
	read := server.AcceptedRow
	inForce := false
	server.AcceptedRow = func(ctx context.Context, service string) (*rpcore.DocumentRow, error) {
		reducer.table.Version, reducer.table.Hash = 3, "third"
		if inForce {
			reducer.inForce.Document, reducer.inForce.Row = without, reducer.table
		}
		return read(ctx, service)
	}
	response := sendGet(server, "mixadvies/history", editor)
	g.Expect(response.Body.String()).To(And(ContainSubstring(string(CodeInstanceBehind)), Not(ContainSubstring("third"))))
	inForce = true
	response = sendGet(server, "mixadvies/history", editor)
	g.Expect(response.Body.String()).To(And(ContainSubstring(string(CodeCredentialNotAllowed)), Not(ContainSubstring("third"))))
	g.Expect(sendGet(server, "mixadvies/history", otherEditor).Body.String()).To(ContainSubstring("third"))
}
