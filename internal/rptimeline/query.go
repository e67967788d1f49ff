package rptimeline

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// DefaultLimit is the maximum number of selected entries if Query.Limit is 0.
const DefaultLimit = 10000

// Query selects entries. An empty field does not restrict the selection.
type Query struct {
	// Since selects entries at or after this timestamp.
	Since Clock
	// Limit is the number of newest entries to return; 0 means DefaultLimit.
	Limit    int
	Service  string
	Model    string
	Request  string
	Endpoint string
	Part     string
}

// ParseQuery reads a query from the parameters of a URL.
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

// Values returns the query as the parameters that ParseQuery reads.
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

// InvalidLimitError reports a limit that is not a positive integer.
type InvalidLimitError struct {
	Text string
}

func (e InvalidLimitError) Error() string {
	return strconv.Quote(e.Text) + " is not a limit: write a whole number above 0"
}

// Matches reports whether the query selects an entry. The model of the query may
// be given with or without its service.
func (q *Query) Matches(e *Entry) bool {
	return e.Clock >= q.Since &&
		(q.Service == "" || q.Service == e.Service) &&
		(q.Model == "" || q.Model == e.Model || q.Model == e.ModelName()) &&
		(q.Request == "" || MatchesRequest(q.Request, e.Request)) &&
		(q.Endpoint == "" || q.Endpoint == e.Endpoint) &&
		(q.Part == "" || q.Part == e.Part.String())
}

// MatchesRequest reports whether id is the request id asked, or asked followed
// by a dot and a suffix. The front end appends such a unique suffix to ids that
// callers choose, and callers know only the id without it.
func MatchesRequest(asked, id string) bool {
	return strings.HasPrefix(id, asked) && (len(id) == len(asked) || id[len(asked)] == '.')
}

// Head describes the time line of an instance and the entries selected from it.
type Head struct {
	Instance      string `json:"instance"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	// Started is the first timestamp of the process. Entries of an earlier
	// process are lost.
	Started Clock `json:"started"`
	// Oldest is the timestamp of the oldest entry in the ring.
	Oldest Clock `json:"oldest"`
	// Now is the timestamp at which the entries were selected.
	Now Clock `json:"now"`
	// Overwritten counts the entries that were dropped from the full ring.
	Overwritten uint64 `json:"overwritten"`
	// Selected counts the entries in the answer. Omitted counts the older
	// entries that match the query but exceed its limit.
	Selected int `json:"selected"`
	Omitted  int `json:"omitted"`
	// RejectedClocks counts the messages whose timestamp was more than MaxAhead
	// ahead.
	RejectedClocks uint64 `json:"rejected_clocks"`
}

// Page holds the selected entries of one instance, the oldest first.
type Page struct {
	Head    Head
	Entries []Entry
}

// readBatchEntries limits the entries that are decoded while the mutex is held,
// because the event loop may wait for it.
const readBatchEntries = 256

// Select returns the newest entries that match a query. It blocks the event
// loop for no longer than the decoding of one batch.
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

// scan calls keep for each entry, the oldest first. It returns the sequence
// number of the entry that was the oldest when the scan ended.
func (r *Recorder) scan(keep func(*Entry)) uint64 {
	var batch []Entry
	var position cursor
	for {
		var first uint64
		batch, first = r.readNextBatch(batch[:0], &position)
		if len(batch) == 0 {
			return first
		}
		for i := range batch {
			keep(&batch[i])
		}
	}
}

// readNextBatch decodes a batch of entries and advances the cursor. It also
// returns the sequence number of the oldest entry.
func (r *Recorder) readNextBatch(batch []Entry, position *cursor) (entries []Entry, first uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ring == nil {
		return batch, 0
	}
	r.encodePublishedPending()
	for len(batch) < readBatchEntries && r.ring.normalize(position) {
		entry := r.ring.read(position)
		entry.Instance = string(r.self.Instance)
		batch = append(batch, entry)
	}
	return batch, r.ring.oldestSequence
}

// fillHead fills in the head of a page. first is the sequence number of the
// entry that was the oldest when the scan ended.
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
