package rptimeline

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// DefaultLimit bounds the entries of an answer.
const DefaultLimit = 10000

// Query selects entries. An empty field selects all.
type Query struct {
	// Since selects entries at or after a clock.
	Since Clock
	// Limit keeps the newest entries; 0 stands for DefaultLimit.
	Limit    int
	Service  string
	Model    string
	Request  string
	Endpoint string
	Part     string
}

// ParseQuery reads the parameters of a URL.
func ParseQuery(values url.Values) (Query, error) {
	query := Query{
		Service: values.Get("service"), Model: values.Get("model"), Request: values.Get("request"),
		Endpoint: values.Get("endpoint"), Part: values.Get("part"),
	}
	if since := values.Get("since"); since != "" {
		if err := query.Since.UnmarshalText([]byte(since)); err != nil {
			return Query{}, err
		}
	}
	if limit := values.Get("limit"); limit != "" {
		var err error
		if query.Limit, err = strconv.Atoi(limit); err != nil || query.Limit < 1 {
			return Query{}, InvalidLimitError{Text: limit}
		}
	}
	if query.Part != "" {
		if _, err := ParsePart(query.Part); err != nil {
			return Query{}, err
		}
	}
	return query, nil
}

// Values returns the parameters that ParseQuery reads.
func (q *Query) Values() url.Values {
	values := url.Values{}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	if q.Since > 0 {
		set("since", q.Since.String())
	}
	if q.Limit > 0 {
		set("limit", strconv.Itoa(q.Limit))
	}
	set("service", q.Service)
	set("model", q.Model)
	set("request", q.Request)
	set("endpoint", q.Endpoint)
	set("part", q.Part)
	return values
}

// InvalidLimitError reports a limit that is not a number above 0.
type InvalidLimitError struct {
	Text string
}

func (e InvalidLimitError) Error() string {
	return strconv.Quote(e.Text) + " is not a limit: write a whole number above 0"
}

// Matches reports whether the query selects an entry. Model is the name with
// or without its service.
func (q *Query) Matches(e *Entry) bool {
	return e.Clock >= q.Since &&
		(q.Service == "" || q.Service == e.Service) &&
		(q.Model == "" || q.Model == e.Model || q.Model == e.ModelName()) &&
		(q.Request == "" || MatchesRequest(q.Request, e.Request)) &&
		(q.Endpoint == "" || q.Endpoint == e.Endpoint) &&
		(q.Part == "" || q.Part == e.Part.String())
}

// MatchesRequest reports whether an id is the one that was asked for. The
// front adds a dot and a unique part to an id that a caller chose, so the part
// before it matches too.
func MatchesRequest(asked, id string) bool {
	return strings.HasPrefix(id, asked) && (len(id) == len(asked) || id[len(asked)] == '.')
}

// Head describes the time line of an instance and a selection of it.
type Head struct {
	Instance      string `json:"instance"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	// Started is the first clock of the process. Entries of an earlier process
	// are gone.
	Started Clock `json:"started"`
	// Oldest is the clock of the oldest entry that is still there.
	Oldest Clock `json:"oldest"`
	// Now is the clock of the selection.
	Now Clock `json:"now"`
	// Overwritten counts the entries that the bounds of the ring removed.
	Overwritten uint64 `json:"overwritten"`
	// Selected and Omitted count the entries that the query selects, with and
	// beyond its limit.
	Selected int `json:"selected"`
	Omitted  int `json:"omitted"`
	// RejectedClocks counts messages whose clock was too far ahead.
	RejectedClocks uint64 `json:"rejected_clocks"`
}

// Page is a selection of the time line of one instance, oldest entry first.
type Page struct {
	Head    Head
	Entries []Entry
}

// readBatchEntries bounds the entries that are decoded while the event loop may
// wait.
const readBatchEntries = 256

// Select returns the newest entries that a query selects. It never holds the
// event loop for longer than a batch.
func (r *Recorder) Select(query Query) Page {
	limit := query.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	var page Page
	origins := newOrigins()
	keep := func(e *Entry) {
		origins.fill(e)
		if !query.Matches(e) {
			return
		}
		page.Entries = append(page.Entries, *e)
		if len(page.Entries) >= 2*limit {
			page.Head.Omitted += len(page.Entries) - limit
			page.Entries = slices.Delete(page.Entries, 0, len(page.Entries)-limit)
		}
	}
	end := r.scan(keep)
	if extra := len(page.Entries) - limit; extra > 0 {
		page.Head.Omitted += extra
		page.Entries = slices.Delete(page.Entries, 0, extra)
	}
	r.fillHead(&page, end)
	return page
}

// scan hands the entries to keep, the oldest first, and returns the sequence
// number of the oldest entry at the end.
func (r *Recorder) scan(keep func(*Entry)) uint64 {
	var batch []Entry
	var place cursor
	for {
		var first uint64
		batch, first = r.readNextBatch(batch[:0], &place)
		if len(batch) == 0 {
			return first
		}
		for i := range batch {
			keep(&batch[i])
		}
	}
}

// readNextBatch decodes a batch and moves the cursor on.
func (r *Recorder) readNextBatch(batch []Entry, place *cursor) (entries []Entry, first uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ring == nil {
		return batch, 0
	}
	r.encodePublishedPending()
	for len(batch) < readBatchEntries && r.ring.normalize(place) {
		entry := r.ring.read(place)
		entry.Instance = string(r.self.Instance)
		batch = append(batch, entry)
	}
	return batch, r.ring.oldestSequence
}

// fillHead fills the head. first is the oldest entry that was there when the
// scan ended.
func (r *Recorder) fillHead(page *Page, first uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := &page.Head
	head.Instance = string(r.self.Instance)
	head.Incarnation = string(r.self.Incarnation)
	head.FailureDomain = string(r.self.FailureDomain)
	head.Started = r.started
	head.Now = r.Tick()
	head.Overwritten = first
	head.Selected = len(page.Entries)
	head.RejectedClocks = r.rejectedClocks.Load()
	if r.ring != nil {
		head.Oldest = r.ring.oldestClock()
	}
}
