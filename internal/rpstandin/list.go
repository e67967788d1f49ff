package rpstandin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const membersPath = "/v1/members"

// List is a stand-in for the platform's instance list:
//
//	GET    /v1/members                     a JSON array, with an ETag
//	PUT    /v1/members/{id}                adds or replaces one entry
//	DELETE /v1/members/{id}?incarnation=i  removes the entry of an incarnation
type List struct {
	Faults
	// Lag is the delay until a change is visible to GET.
	Lag time.Duration

	mu      sync.Mutex
	changes []listChange
}

// listChange adds or replaces an entry, or removes it if the body is nil.
type listChange struct {
	at          time.Time
	id          string
	incarnation string
	body        json.RawMessage
}

// Run serves the list until the context ends.
func (l *List) Run(ctx context.Context, listen netip.AddrPort) error {
	return listenAndServe(ctx, listen, l)
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.serveWithFaults(w, r, "the list is unavailable", l.serve)
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, isMember := strings.CutPrefix(r.URL.Path, membersPath+"/")
	switch {
	case r.Method == http.MethodGet && r.URL.Path == membersPath:
		l.get(w, r)
	case r.Method == http.MethodPut && isMember:
		l.put(w, r, id)
	case r.Method == http.MethodDelete && isMember:
		l.remove(w, id, r.URL.Query().Get("incarnation"))
	default:
		http.NotFound(w, r)
	}
}

func (l *List) get(w http.ResponseWriter, r *http.Request) {
	entries, revision := l.listedAt(time.Now().Add(-l.Lag))
	tag := strconv.Quote(strconv.Itoa(revision))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	bodies := make([]json.RawMessage, 0, len(entries))
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		bodies = append(bodies, entries[id].body)
	}
	_ = json.NewEncoder(w).Encode(bodies)
}

// listedAt returns the entries at a point in time, and the number of changes up to
// it.
func (l *List) listedAt(at time.Time) (map[string]listChange, int) {
	entries := make(map[string]listChange)
	for i, change := range l.changes {
		if change.at.After(at) {
			return entries, i
		}
		if change.body == nil {
			delete(entries, change.id)
			continue
		}
		entries[change.id] = change
	}
	return entries, len(l.changes)
}

func (l *List) put(w http.ResponseWriter, r *http.Request, id string) {
	var body json.RawMessage
	var entry struct{ ID, Incarnation string }
	err := json.NewDecoder(r.Body).Decode(&body)
	if err != nil || json.Unmarshal(body, &entry) != nil || entry.ID != id {
		http.Error(w, "the body is not the entry that the path names", http.StatusBadRequest)
		return
	}
	l.changes = append(l.changes, listChange{at: time.Now(), id: id, incarnation: entry.Incarnation, body: body})
	w.WriteHeader(http.StatusNoContent)
}

// remove removes an entry, unless it is of another incarnation. A late request of an
// earlier process must not remove the entry of its successor.
func (l *List) remove(w http.ResponseWriter, id, incarnation string) {
	entries, _ := l.listedAt(time.Now())
	if entry, ok := entries[id]; ok && (incarnation == "" || incarnation == entry.incarnation) {
		l.changes = append(l.changes, listChange{at: time.Now(), id: id})
	}
	w.WriteHeader(http.StatusNoContent)
}
