package rpoperator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
)

// maxTimelineBytes is the maximum number of bytes that the client reads of a time
// line. The largest ring buffer of entries is about 16 MiB as JSON.
const maxTimelineBytes = 64 << 20

// timelineHead is the first line of a time line.
type timelineHead struct {
	Head *rptimeline.Head `json:"head"`
}

var errNoHead = errors.New("the first line is not the head of a time line")

func (s *Server) timeline(w http.ResponseWriter, r *http.Request) {
	query, err := rptimeline.ParseQuery(r.URL.Query())
	if err != nil {
		writeRefusal(w, &Refusal{Status: http.StatusBadRequest, Code: CodeQueryInvalid, Detail: err.Error() + "."})
		return
	}
	var page rptimeline.Page
	if s.Timeline != nil {
		page = s.Timeline(query)
	}
	w.Header().Set("Content-Type", linesContentType)
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	_ = encoder.Encode(timelineHead{&page.Head})
	for i := range page.Entries {
		if encoder.Encode(&page.Entries[i]) != nil {
			return
		}
	}
	_ = buffered.Flush()
}

// Timeline returns the entries of the instance's time line that match a query.
func (c *Client) Timeline(ctx context.Context, query rptimeline.Query) (rptimeline.Page, error) {
	var page rptimeline.Page
	path := "/operator/v1/timeline"
	if values := query.Values(); len(values) > 0 {
		path += "?" + values.Encode()
	}
	err := c.send(ctx, http.MethodGet, path, nil, nil, func(res *http.Response) error {
		var err error
		page, err = decodeTimeline(res)
		return err
	})
	return page, err
}

func decodeTimeline(res *http.Response) (rptimeline.Page, error) {
	var page rptimeline.Page
	if res.StatusCode != http.StatusOK {
		return page, decodeResponse(res, nil)
	}
	decoder := json.NewDecoder(io.LimitReader(res.Body, maxTimelineBytes))
	var head timelineHead
	if err := decoder.Decode(&head); err != nil {
		return page, err
	}
	if head.Head == nil {
		return page, errNoHead
	}
	page.Head = *head.Head
	for {
		var entry rptimeline.Entry
		switch err := decoder.Decode(&entry); {
		case errors.Is(err, io.EOF):
			return page, nil
		case err != nil:
			return page, err
		}
		page.Entries = append(page.Entries, entry)
	}
}
