package rpcore

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tableTrial writes transactions through one State while other writers change
// the same rows.
type tableTrial struct {
	*sim
	rt      *rapid.T
	applied map[Nonce]int
	writes  int
	results map[Nonce]WriteOutcome
}

func newTableTrial(rt *rapid.T) *tableTrial {
	trial := &tableTrial{sim: newSim(rt, rapid.Uint64().Draw(rt, "seed"), 1, 1), rt: rt}
	trial.applied = make(map[Nonce]int)
	trial.results = make(map[Nonce]WriteOutcome)
	trial.table.onApplied = append(trial.table.onApplied, func(writes []RowWrite) { trial.applied[writes[0].Nonce]++ })
	trial.table.maxDelay = 20 * time.Millisecond
	trial.table.refused = rapid.Float64Range(0, 0.4).Draw(rt, "refused")
	trial.table.lost = rapid.Float64Range(0, 0.9).Draw(rt, "lost")
	trial.table.late, trial.table.maxLateDelay = 0.5, 20*time.Second
	trial.startAll()
	return trial
}

// write starts a transaction of the State under test.
func (trial *tableTrial) write(keys []RowKey, remove bool) {
	trial.writes++
	nonce := Nonce(fmt.Sprintf("own-%d", trial.writes))
	var writes []RowWrite
	for i, key := range keys {
		w := trial.put(key, nonce)
		w.Delete = remove && i == 0 && w.ExpectVersion > 0
		writes = append(writes, w)
	}
	n := trial.nodes[0]
	n.state.writeTable(writes, func(_ *State, outcome WriteOutcome, _ []Row) {
		if _, twice := trial.results[nonce]; twice {
			trial.rt.Fatalf("%s was answered twice", nonce)
		}
		trial.results[nonce] = outcome
	})
	n.schedule(0, func() { n.reduce(func(at Stamp) Event { return Tick{at} }) })
	// writeTable was called outside Reduce, so the test executes its effect.
	n.execute(n.state.effects[len(n.state.effects)-1])
}

func (trial *tableTrial) put(key RowKey, nonce Nonce) RowWrite {
	w := RowWrite{Key: key, ExpectVersion: trial.table.rows[key].Version, Nonce: nonce}
	switch key.Kind {
	case RowDocument:
		w.Document = &DocumentRow{Service: key.Service, Version: w.ExpectVersion + 1}
	case RowModel:
		w.Model = &ModelRow{}
	case RowEngine:
		w.Engine = &EngineRow{}
	case RowClaim:
		w.Claim = &ClaimRow{}
	}
	return w
}

// disturb makes another writer change a row, or delete it if its kind allows
// that.
func (trial *tableTrial) disturb(key RowKey) {
	w := trial.put(key, Nonce(fmt.Sprintf("other-%d", trial.rng.Uint64())))
	w.Delete = w.ExpectVersion > 0 && !neverDeleted(key.Kind) && trial.rng.IntN(2) == 0
	trial.table.apply([]RowWrite{w})
}

// Guards against wrong outcomes of a transaction: applied, though it was not,
// and conflict or unavailable, though it was applied then or later. Answers get
// lost, writes are applied late, and other writers overwrite, delete and
// recreate the rows.
func TestWriteOutcomes(t *testing.T) {
	document := RowKey{Kind: RowDocument, Service: "mixadvies"}
	engine := RowKey{Kind: RowEngine, Name: "engine-1"}
	model := RowKey{Kind: RowModel, Service: "mixadvies", Name: "bag-small"}
	claim := RowKey{Kind: RowClaim, Service: "bestelbalie", Name: "key"}
	transactions := [][]RowKey{{document}, {engine}, {model}, {claim}, {model, engine}, {engine, model}}
	checkProperty(t, func(rt *rapid.T) {
		trial := newTableTrial(rt)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			keys := transactions[rapid.IntRange(0, len(transactions)-1).Draw(rt, "rows")]
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				trial.write(keys, rapid.Bool().Draw(rt, "delete") && !neverDeleted(keys[0].Kind))
			default:
				trial.disturb(keys[0])
			}
			trial.advance(trial.delay(0, 400*time.Millisecond))
		}
		trial.advance(time.Minute)
		trial.check()
	})
}

func (trial *tableTrial) check() {
	if len(trial.results) != trial.writes {
		trial.rt.Fatalf("%d of %d transactions were answered", len(trial.results), trial.writes)
	}
	for nonce, outcome := range trial.results {
		applied := trial.applied[nonce] > 0
		switch outcome {
		case WriteApplied:
			if !applied {
				trial.rt.Fatalf("%s was called applied", nonce)
			}
		case WriteConflict, WriteUnavailable:
			if applied {
				trial.rt.Fatalf("%s was applied and called %s", nonce, outcome)
			}
		}
	}
}
