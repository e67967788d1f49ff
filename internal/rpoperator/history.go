package rpoperator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// platformReadTimeout is the timeout of a read from the table or the object store
// for an operator.
const platformReadTimeout = 3 * time.Second

// HistoryResponse is the response to GET
// /operator/v1/documents/{service}/history.
type HistoryResponse struct {
	Service string `json:"service"`
	// Versions holds the current version and the earlier versions in the
	// history of its row, the newest first.
	Versions []rpcore.AcceptedVersion `json:"versions"`
}

// VersionResponse is the response to GET
// /operator/v1/documents/{service}/history/{version}.
type VersionResponse struct {
	Service string                 `json:"service"`
	Version rpcore.AcceptedVersion `json:"version"`
	// Body is the TOML text.
	Body string `json:"body"`
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	versions, refusal := s.history(r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, HistoryResponse{Service: mux.Vars(r)["service"], Versions: versions})
}

func (s *Server) getVersion(w http.ResponseWriter, r *http.Request) {
	versions, refusal := s.history(r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	response, refusal := s.version(r, versions)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// history returns the versions of a service from its row in the table. It reads the
// table, because an instance that received a document from a peer may have its
// document row without the history.
func (s *Server) history(r *http.Request) ([]rpcore.AcceptedVersion, *Refusal) {
	service, editor := mux.Vars(r)["service"], credentialSum(r)
	if editor == "" {
		return nil, credentialMissing()
	}
	if _, refusal := s.checkEditable(service, editor); refusal != nil {
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(r.Context(), platformReadTimeout)
	defer cancel()
	row, err := s.acceptedRow(ctx, service)
	if err != nil {
		return nil, platformUnreadable("The table could not be read.")
	}
	// The row may be newer than the document that authorized the request, so
	// check again with the document that is in force now.
	version, refusal := s.checkEditable(service, editor)
	switch {
	case refusal != nil:
		return nil, refusal
	case row.Version > version:
		return nil, instanceBehind(version, row.Version)
	}
	return append([]rpcore.AcceptedVersion{row.Accepted()}, row.History...), nil
}

// checkEditable checks that an editor may edit the document in force, and returns
// the version of that document.
func (s *Server) checkEditable(service, editor string) (uint64, *Refusal) {
	current, ok := s.inForce(service)
	if !ok {
		return 0, unknownService(service)
	}
	return current.Row.Version, s.checkEditRight(editor, current, true)
}

func (s *Server) acceptedRow(ctx context.Context, service string) (*rpcore.DocumentRow, error) {
	if s.AcceptedRow == nil {
		return nil, http.ErrNotSupported
	}
	return s.AcceptedRow(ctx, service)
}

func (s *Server) version(r *http.Request, versions []rpcore.AcceptedVersion) (*VersionResponse, *Refusal) {
	wanted, err := strconv.ParseUint(mux.Vars(r)["version"], 10, 64)
	i := slices.IndexFunc(versions, func(v rpcore.AcceptedVersion) bool { return v.Version == wanted })
	if err != nil || i < 0 {
		return nil, &Refusal{
			Status: http.StatusNotFound, Code: CodeVersionNotKept,
			Detail: fmt.Sprintf("The history has no such version. It has the versions %d to %d.", versions[len(versions)-1].Version, versions[0].Version),
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), platformReadTimeout)
	defer cancel()
	if s.LoadBody == nil {
		return nil, platformUnreadable("The object store could not be read.")
	}
	body, err := s.LoadBody(ctx, versions[i].Hash)
	if err != nil {
		return nil, platformUnreadable(fmt.Sprintf("The body of version %d could not be read from the object store.", wanted))
	}
	return &VersionResponse{Service: mux.Vars(r)["service"], Version: versions[i], Body: string(body)}, nil
}

func platformUnreadable(detail string) *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: CodePlatformUnreadable, RetryAfter: retryAfterUnavailable, Detail: detail,
	}
}

// History returns the accepted versions of a service, the newest first.
func (c *Client) History(ctx context.Context, service string) (HistoryResponse, error) {
	var response HistoryResponse
	err := c.do(ctx, http.MethodGet, documentPath(service)+"/history", c.authorization(), nil, &response)
	return response, err
}

// Version returns one accepted version of a service and its body.
func (c *Client) Version(ctx context.Context, service string, version uint64) (VersionResponse, error) {
	var response VersionResponse
	path := documentPath(service) + "/history/" + strconv.FormatUint(version, 10)
	err := c.do(ctx, http.MethodGet, path, c.authorization(), nil, &response)
	return response, err
}

func (c *Client) authorization() http.Header {
	return http.Header{"Authorization": {"Bearer " + c.Credential}}
}
