package rpgateway

import (
	"context"
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
}

// evidenceRow is the value of a row. The ages in the evidence are as of WrittenAtMs,
// the time of day in milliseconds since 1970, because the row is read on other
// machines. A wrong time of day only changes how long the evidence counts.
type evidenceRow struct {
	_ struct{} `cbor:",toarray"`

	WrittenAtMs int64
	Evidence    rpfleet.CrashEvidence
}

func (e *storeEvidence) post(key string, evidence rpfleet.CrashEvidence) {
	value, err := cbor.Marshal(evidenceRow{WrittenAtMs: time.Now().UnixMilli(), Evidence: evidence})
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
		defer cancel()
		err = e.store.Put(ctx, rpwire.Row{Table: rpwire.TableCrashes, Key: key, Value: value})
	}
	if err != nil {
		e.log.Warn().Err(err).Msg("failed to write evidence of crashes to the store")
		return
	}
	e.log.Info().Str("key", key).Int("crashes", len(evidence.Crashes)).Int("quarantined", len(evidence.Quarantined)).
		Msg("wrote evidence of crashes to the store")
}

// follower returns a follower that applies the evidence in the store to the loop
// while the reducer needs it.
func (e *storeEvidence) follower() *follower {
	return &follower{
		store: e.store, table: rpwire.TableCrashes, loop: e.loop, log: e.log,
		pollWait: func() time.Duration { return demandPollWait },
		idle:     func() bool { return !e.loop.followsEvidence() },
		apply: func(rows []rpwire.Row, _ uint64, _ bool) {
			var event rpfleet.EvidenceRead
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
