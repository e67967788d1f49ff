package rpfront

import (
	"net/http"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Model is an entry of GET /v1/models.
type Model struct {
	Key rpcore.ModelKey
	// Created is the time at which the document of the model was accepted, in
	// seconds since the Unix epoch.
	Created int64
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	entries := []modelEntry{}
	if s.Models != nil {
		for _, m := range s.Models(r.Context()) {
			entries = append(entries, modelEntry{ID: m.Key.String(), Object: "model", Created: m.Created, OwnedBy: m.Key.Service})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": entries})
}
