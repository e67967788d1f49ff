package rpendpoint

import (
	"encoding/json"
	"fmt"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// UnexpectedReportError says that another engine answers at the address of
// the one that was asked.
type UnexpectedReportError struct {
	Want, Got rpcore.EndpointID
}

func (e UnexpectedReportError) Error() string {
	return fmt.Sprintf("the report is from %q, not from %q", e.Got, e.Want)
}

// decodeReport reads the report of an engine.
func decodeReport(body []byte, want rpcore.EndpointID) (rpcore.EngineReport, error) {
	var report rpcore.EngineReport
	if err := json.Unmarshal(body, &report); err != nil {
		return rpcore.EngineReport{}, err
	}
	if report.Endpoint != want {
		return rpcore.EngineReport{}, UnexpectedReportError{Want: want, Got: report.Endpoint}
	}
	return report, nil
}

// cacheBatch is the answer to a poll of cache events. Each event has a
// sequence number from 1; the batch holds the net effect of the events from
// First to Next-1.
type cacheBatch struct {
	Incarnation rpcore.Incarnation `json:"incarnation"`
	First       uint64             `json:"first"`
	Next        uint64             `json:"next"`
	// Reset says that Added is the whole content of the cache. An engine
	// answers so to after=0.
	Reset   bool     `json:"reset"`
	Added   []uint64 `json:"added"`
	Removed []uint64 `json:"removed"`
}

// InvalidBatchError reports a batch of cache events whose numbers make no
// sense.
type InvalidBatchError struct {
	First, Next uint64
}

func (e InvalidBatchError) Error() string {
	return fmt.Sprintf("a batch of cache events can't run from %d to %d", e.First, e.Next)
}

func decodeCacheBatch(body []byte) (cacheBatch, error) {
	var batch cacheBatch
	if err := json.Unmarshal(body, &batch); err != nil {
		return cacheBatch{}, err
	}
	if batch.First == 0 || batch.Next < batch.First {
		return cacheBatch{}, InvalidBatchError{First: batch.First, Next: batch.Next}
	}
	return batch, nil
}

// cacheCursor is the place in an engine's cache events up to which they were
// read.
type cacheCursor struct {
	incarnation rpcore.Incarnation
	// next is the sequence number that the next batch must start with; 0
	// asks for a reset.
	next uint64
}

// pollAfter returns the number to ask for.
func (c *cacheCursor) pollAfter(incarnation rpcore.Incarnation) uint64 {
	if c.incarnation != incarnation {
		*c = cacheCursor{incarnation: incarnation}
	}
	if c.next == 0 {
		return 0
	}
	return c.next - 1
}

// advance moves past a batch and reports whether it says anything. After a gap
// the whole content is asked for.
func (c *cacheCursor) advance(batch cacheBatch) bool {
	gap := !batch.Reset && batch.First != c.next
	same := c.next == batch.Next && c.incarnation == batch.Incarnation
	news := batch.Reset && !same || gap || !batch.Reset && batch.Next > batch.First
	c.incarnation = batch.Incarnation
	c.next = batch.Next
	if gap {
		c.next = 0
	}
	return news
}
