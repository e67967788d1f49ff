package rpmeasure

import (
	"math"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// table is a fake of the platform's transactional table.
type table map[rpcore.RowKey]rpcore.Row

func (t table) read(keys []rpcore.RowKey, prefix rpcore.RowKind) []rpcore.Row {
	var rows []rpcore.Row
	for _, key := range keys {
		if row, ok := t[key]; ok {
			rows = append(rows, row)
		}
	}
	for key, row := range t {
		if prefix != "" && key.Kind == prefix {
			rows = append(rows, row)
		}
	}
	return rows
}

func (t table) write(writes []rpcore.RowWrite) rpcore.WriteOutcome {
	for _, w := range writes {
		if t[w.Key].Version != w.ExpectVersion {
			return rpcore.WriteConflict
		}
	}
	for _, w := range writes {
		t[w.Key] = rpcore.Row{Key: w.Key, Version: w.ExpectVersion + 1, Nonce: w.Nonce, RowBody: w.RowBody}
	}
	return rpcore.WriteApplied
}

// maxLoadsAtFullSpeed is the number of concurrent loads that the weight store
// serves at full speed. With more, they share its throughput equally.
const maxLoadsAtFullSpeed = 4

// weightStore is a fake of the weight store. It starts loads at a limited rate
// and shares its throughput between the loads in progress.
type weightStore struct {
	clock        *clock
	perSecond    float64
	nextStart    time.Time
	active       []*storeLoad
	progressedAt time.Time
	round        uint64
	maxActive    int
}

type storeLoad struct {
	// left is the time that the rest of the load takes at full speed.
	left time.Duration
	done func()
}

func (s *weightStore) load(took time.Duration, done func()) {
	start := s.clock.now
	if s.nextStart.After(start) {
		start = s.nextStart
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.perSecond))
	s.clock.schedule(start, func() {
		s.advanceLoads()
		s.active = append(s.active, &storeLoad{took, done})
		s.maxActive = max(s.maxActive, len(s.active))
		s.scheduleNextEnd()
	})
}

func (s *weightStore) speed() float64 {
	return min(1, maxLoadsAtFullSpeed/float64(max(1, len(s.active))))
}

func (s *weightStore) advanceLoads() {
	passed := time.Duration(float64(s.clock.now.Sub(s.progressedAt)) * s.speed())
	s.progressedAt = s.clock.now
	for _, load := range s.active {
		load.left -= passed
	}
}

func (s *weightStore) scheduleNextEnd() {
	s.round++
	if len(s.active) == 0 {
		return
	}
	round, first := s.round, time.Duration(math.MaxInt64)
	for _, load := range s.active {
		first = min(first, load.left)
	}
	wait := time.Duration(float64(max(first, 0))/s.speed()) + time.Nanosecond
	s.clock.after(wait, func() {
		if s.round == round {
			s.finishLoads()
		}
	})
}

func (s *weightStore) finishLoads() {
	s.advanceLoads()
	var rest, done []*storeLoad
	for _, load := range s.active {
		if load.left <= 0 {
			done = append(done, load)
		} else {
			rest = append(rest, load)
		}
	}
	s.active = rest
	s.scheduleNextEnd()
	for _, load := range done {
		load.done()
	}
}
