package rpcore

import (
	"slices"
	"time"
)

// rowChange is a transaction that decides on the rows as read and decides
// again when it met a conflict.
type rowChange struct {
	keys []RowKey
	// decide returns the writes, or none where there is nothing to do.
	decide func(*State, []Row) []RowWrite
	done   func(*State, changeResult)
	// since is the time since which the table has not answered.
	since     time.Time
	conflicts int
}

// changeResult says what became of a rowChange.
type changeResult int

const (
	changeApplied changeResult = iota
	// changeNothing: decide saw rows that need no write.
	changeNothing
	// changeRefused: the table refused the write, so nothing was written.
	changeRefused
	// changeUnread: the rows could not be read.
	changeUnread
	// changeConflict: others changed the rows again and again. An earlier
	// write may have been applied and overwritten.
	changeConflict
	// changeUnknown: the write may take effect, even later.
	changeUnknown
)

// tableFailureGap is the time between two failures from which they count as
// separate outages.
const tableFailureGap = 5 * time.Second

// maxChangeConflicts bounds the conflicts of one rowChange.
const maxChangeConflicts = 8

// changeRows starts a transaction.
func (s *State) changeRows(c *rowChange) {
	c.since = s.now
	s.readChange(c)
}

func (s *State) readChange(c *rowChange) {
	s.readTable(c.keys, func(s *State, read TableReadDone) {
		s.noteTable(!read.Unavailable)
		if read.Unavailable {
			c.done(s, changeUnread)
			return
		}
		s.takeRows(c.keys, read.Rows)
		s.writeChange(c, read.Rows)
	})
}

func (s *State) writeChange(c *rowChange, rows []Row) {
	writes := c.decide(s, rows)
	if len(writes) == 0 {
		c.done(s, changeNothing)
		return
	}
	s.writeTable(writes, func(s *State, outcome WriteOutcome, rows []Row) {
		s.changeWritten(c, writes, outcome, rows)
	})
}

func (s *State) changeWritten(c *rowChange, writes []RowWrite, outcome WriteOutcome, rows []Row) {
	s.noteTable(outcome == WriteApplied || outcome == WriteConflict)
	switch outcome {
	case WriteApplied:
		s.takeWrites(writes)
		c.done(s, changeApplied)
	case WriteConflict:
		s.changeConflicted(c, rows)
	case WriteUnavailable:
		c.done(s, changeRefused)
	default:
		c.done(s, changeUnknown)
	}
}

// changeConflicted decides again: at once on the rows that came with the first
// conflict, later on rows read after a random delay.
func (s *State) changeConflicted(c *rowChange, rows []Row) {
	c.since = s.now
	c.conflicts++
	switch {
	case c.conflicts > maxChangeConflicts:
		c.done(s, changeConflict)
	case c.conflicts == 1:
		s.writeChange(c, s.withKnownRows(c.keys, rows))
	default:
		s.runAfter(s.jitter(retryDelay(c.conflicts)), func(s *State) { s.readChange(c) })
	}
}

// withKnownRows completes the rows that came with a conflict, which are those
// that the transaction wrote, by the other rows as known. A row that is out of
// date leads to another conflict.
func (s *State) withKnownRows(keys []RowKey, rows []Row) []Row {
	all := slices.Clone(rows)
	for i := range rows {
		s.takeRow(rows[i])
	}
	for _, key := range keys {
		known := s.replicas.rows[key]
		if findRow(rows, key) == nil && known != nil && known.Version > 0 {
			all = append(all, known.Row)
		}
	}
	return all
}

// noteTable keeps the time since which the table fails.
func (s *State) noteTable(ok bool) {
	if ok {
		s.replicas.tableDown = time.Time{}
		return
	}
	if s.replicas.tableDown.IsZero() || s.now.Sub(s.replicas.tableFailedAt) > tableFailureGap {
		s.replicas.tableDown = s.now
	}
	s.replicas.tableFailedAt = s.now
}
