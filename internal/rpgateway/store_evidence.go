package rpgateway

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// storeEvidence passes evidence of crashed engines through the store, between
// instances that don't reach the planner and from one planner to the next.
type storeEvidence struct {
	loop  *loop
	store *rpwire.Store
	log   zerolog.Logger

	mu sync.Mutex
	// pending holds the newest value of each row that is not written yet, and
	// writing the rows that a goroutine writes.
	pending map[string]evidenceRow
	writing map[string]bool
}

const (
	// evidenceAttempts bounds the writes of one value. With the delays between them,
	// which double from initialRetryDelay to maxEvidenceDelay, they take about 12 s
	// if the store refuses each at once.
	evidenceAttempts = 10
	maxEvidenceDelay = 2 * time.Second
)

// evidenceRow is the value of a row. The ages in the evidence are as of WrittenAtMs,
// the time of day in milliseconds since 1970, because the row is read on other
// machines. A wrong time of day only changes how long the evidence counts.
type evidenceRow struct {
	_ struct{} `cbor:",toarray"`

	WrittenAtMs int64
	Evidence    rpfleet.CrashEvidence
}

// post writes evidence in the background, after the row's earlier values.
func (e *storeEvidence) post(key string, evidence rpfleet.CrashEvidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending == nil {
		e.pending, e.writing = map[string]evidenceRow{}, map[string]bool{}
	}
	e.pending[key] = evidenceRow{WrittenAtMs: time.Now().UnixMilli(), Evidence: evidence}
	if !e.writing[key] {
		e.writing[key] = true
		go e.writePending(key)
	}
}

// writePending writes the newest value of a row until there is none left. A failed
// write is repeated, unless there is a newer value.
func (e *storeEvidence) writePending(key string) {
	delay, attempts := initialRetryDelay, 0
	for {
		row, ok := e.takePending(key)
		if !ok {
			return
		}
		if e.write(key, row) {
			delay, attempts = initialRetryDelay, 0
			continue
		}
		if attempts++; attempts < evidenceAttempts {
			e.putBack(key, row)
		} else {
			attempts = 0
		}
		time.Sleep(delay)
		delay = min(2*delay, maxEvidenceDelay)
	}
}

func (e *storeEvidence) takePending(key string) (evidenceRow, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	row, ok := e.pending[key]
	delete(e.pending, key)
	if !ok {
		delete(e.writing, key)
	}
	return row, ok
}

func (e *storeEvidence) putBack(key string, row evidenceRow) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.pending[key]; !ok {
		e.pending[key] = row
	}
}

func (e *storeEvidence) write(key string, row evidenceRow) bool {
	value, err := cbor.Marshal(row)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
		defer cancel()
		err = e.store.Put(ctx, rpwire.Row{Table: rpwire.TableCrashes, Key: key, Value: value})
	}
	if err != nil {
		e.log.Warn().Err(err).Msg("failed to write evidence of crashes to the store")
		return false
	}
	e.log.Info().Str("key", key).Int("crashes", len(row.Evidence.Crashes)).Int("quarantined", len(row.Evidence.Quarantined)).
		Msg("wrote evidence of crashes to the store")
	return true
}

// follower returns a follower that applies the evidence in the store to the loop
// while the reducer needs it.
func (e *storeEvidence) follower() *follower {
	return &follower{
		store: e.store, table: rpwire.TableCrashes, loop: e.loop, log: e.log,
		pollWait: func() time.Duration { return demandPollWait },
		idle:     func() bool { return !e.loop.followsEvidence() },
		apply: func(rows []rpwire.Row, _ rpfleet.Revision, complete bool) {
			event := rpfleet.EvidenceRead{Complete: complete}
			for _, row := range rows {
				e.addRow(&event, row)
			}
			event.Stamp = e.loop.stamp()
			e.loop.apply(event)
		},
	}
}

// addRow adds a row to the event, with the ages as of now.
func (e *storeEvidence) addRow(event *rpfleet.EvidenceRead, row rpwire.Row) {
	if row.Removed {
		return
	}
	var value evidenceRow
	if err := cbor.Unmarshal(row.Value, &value); err != nil {
		e.log.Warn().Err(err).Str("key", row.Key).Msg("can't decode evidence of crashes from the store")
		return
	}
	value.Evidence.AddAge(max(0, time.Since(time.UnixMilli(value.WrittenAtMs))))
	if row.Key == rpwire.KeyQuarantine {
		event.Quarantined = value.Evidence.Quarantined
		return
	}
	event.Evidence = append(event.Evidence, value.Evidence)
}
