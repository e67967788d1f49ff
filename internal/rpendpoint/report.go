package rpendpoint

import (
	"encoding/json"
	"fmt"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// UnexpectedReportError reports that a different engine responds at the address of
// the polled engine.
type UnexpectedReportError struct {
	Want, Got rpcore.EndpointID
}

func (e UnexpectedReportError) Error() string {
	return fmt.Sprintf("the report is from engine %q, not from %q", e.Got, e.Want)
}

// decodeReport decodes the report of the engine want.
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

// cacheBatch is the response to a poll of cache events. Events have sequence
// numbers that start at 1. The batch contains the net effect of the events from
// First to Next-1.
type cacheBatch struct {
	Incarnation rpcore.Incarnation `json:"incarnation"`
	First       uint64             `json:"first"`
	Next        uint64             `json:"next"`
	// Reset is set if Added is the complete content of the cache. An engine sets
	// it in the response to after=0.
	Reset   bool     `json:"reset"`
	Added   []uint64 `json:"added"`
	Removed []uint64 `json:"removed"`
}

// InvalidBatchError reports a batch of cache events with invalid sequence numbers.
type InvalidBatchError struct {
	First, Next uint64
}

func (e InvalidBatchError) Error() string {
	return fmt.Sprintf("invalid sequence numbers of cache events: first %d, next %d", e.First, e.Next)
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

// cacheCursor is the position up to which the cache events of an engine were read.
type cacheCursor struct {
	incarnation rpcore.Incarnation
	// next is the sequence number with which the next batch must start; 0
	// requests the complete content.
	next uint64
}

// pollAfter returns the sequence number after which to poll. A new incarnation of
// the engine resets the cursor.
func (c *cacheCursor) pollAfter(incarnation rpcore.Incarnation) uint64 {
	if c.incarnation != incarnation {
		*c = cacheCursor{incarnation: incarnation}
	}
	if c.next == 0 {
		return 0
	}
	return c.next - 1
}

// advance moves the cursor past a batch and reports whether the batch changes the
// view of the cache. After a gap in the sequence numbers, the next poll requests
// the complete content.
func (c *cacheCursor) advance(batch cacheBatch) bool {
	gap := !batch.Reset && batch.First != c.next
	same := c.next == batch.Next && c.incarnation == batch.Incarnation
	changed := batch.Reset && !same || gap || !batch.Reset && batch.Next > batch.First
	c.incarnation = batch.Incarnation
	c.next = batch.Next
	if gap {
		c.next = 0
	}
	return changed
}
