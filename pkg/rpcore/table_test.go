package rpcore

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tableHarness writes transactions through one State while other writers change
// the same rows.
type tableHarness struct {
	*sim
	rt      *rapid.T
	applied map[Nonce]int
	writes  int
	results map[Nonce]WriteOutcome
}

// withTableHarness returns a running instance whose table refuses transactions,
// loses answers and applies writes late.
func withTableHarness(rt *rapid.T) *tableHarness {
	h := &tableHarness{sim: withSim(rt, rapid.Uint64().Draw(rt, "seed"), 1, 1), rt: rt}
	h.applied = make(map[Nonce]int)
	h.results = make(map[Nonce]WriteOutcome)
	h.table.onApplied = append(h.table.onApplied, func(writes []RowWrite) { h.applied[writes[0].Nonce]++ })
	h.table.maxDelay = 20 * time.Millisecond
	h.table.refusalRate = rapid.Float64Range(0, 0.4).Draw(rt, "refused")
	h.table.answerLossRate = rapid.Float64Range(0, 0.9).Draw(rt, "lost")
	h.table.lateWriteRate, h.table.maxLateDelay = 0.5, 20*time.Second
	h.startAll()
	return h
}

// write starts a transaction of the State under test.
func (h *tableHarness) write(keys []RowKey, remove bool) {
	h.writes++
	nonce := Nonce(fmt.Sprintf("own-%d", h.writes))
	var writes []RowWrite
	for i, key := range keys {
		w := h.put(key, nonce)
		w.Delete = remove && i == 0 && w.ExpectVersion > 0
		writes = append(writes, w)
	}
	n := h.nodes[0]
	n.state.writeTable(writes, func(_ *State, outcome WriteOutcome, _ []Row) {
		if _, twice := h.results[nonce]; twice {
			h.rt.Fatalf("%s was answered twice", nonce)
		}
		h.results[nonce] = outcome
	})
	n.schedule(0, func() { n.reduce(func(at Stamp) Event { return Tick{at} }) })
	// writeTable was called outside Reduce, so the test executes its effect.
	n.execute(n.state.effects[len(n.state.effects)-1])
}

func (h *tableHarness) put(key RowKey, nonce Nonce) RowWrite {
	w := RowWrite{Key: key, ExpectVersion: h.table.rows[key].Version, Nonce: nonce}
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

// changeConcurrently makes another writer change a row, or delete it if its
// kind allows that.
func (h *tableHarness) changeConcurrently(key RowKey) {
	w := h.put(key, Nonce(fmt.Sprintf("other-%d", h.rng.Uint64())))
	w.Delete = w.ExpectVersion > 0 && !neverDeleted(key.Kind) && h.rng.IntN(2) == 0
	h.table.apply([]RowWrite{w})
}

// Guards against wrong outcomes of a transaction: applied although it was not,
// and conflict or unavailable although it was applied then or later. Answers
// get lost, writes are applied late, and other writers overwrite, delete and
// recreate the rows.
func TestWriteOutcomes(t *testing.T) {
	document := RowKey{Kind: RowDocument, Service: "mixadvies"}
	engine := RowKey{Kind: RowEngine, Name: "engine-1"}
	model := RowKey{Kind: RowModel, Service: "mixadvies", Name: "bag-small"}
	claim := RowKey{Kind: RowClaim, Service: "bestelbalie", Name: "key"}
	transactions := [][]RowKey{{document}, {engine}, {model}, {claim}, {model, engine}, {engine, model}}
	checkProperty(t, func(rt *rapid.T) {
		h := withTableHarness(rt)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			keys := transactions[rapid.IntRange(0, len(transactions)-1).Draw(rt, "rows")]
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				h.write(keys, rapid.Bool().Draw(rt, "delete") && !neverDeleted(keys[0].Kind))
			default:
				h.changeConcurrently(keys[0])
			}
			h.advance(h.delay(0, 400*time.Millisecond))
		}
		h.advance(time.Minute)
		h.check()
	})
}

func (h *tableHarness) check() {
	if len(h.results) != h.writes {
		h.rt.Fatalf("%d of %d transactions were answered", len(h.results), h.writes)
	}
	for nonce, outcome := range h.results {
		applied := h.applied[nonce] > 0
		switch outcome {
		case WriteApplied:
			if !applied {
				h.rt.Fatalf("%s was reported as applied, but was not", nonce)
			}
		case WriteConflict, WriteUnavailable:
			if applied {
				h.rt.Fatalf("%s was applied, but reported as %s", nonce, outcome)
			}
		}
	}
}
