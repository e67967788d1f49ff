package rpcore

import (
	"fmt"
	"slices"
)

// tableOps tracks the operations on the table that are under way.
type tableOps struct {
	lastOp     OpID
	nonceCount uint64
	reads      map[OpID]func(*State, TableReadDone)
	writes     map[OpID]*pendingWrite
}

// pendingWrite is a transaction without a final answer.
type pendingWrite struct {
	writes []RowWrite
	// retries counts the repetitions.
	retries int
	// uncertain says that the answer to a copy was lost, so that copy may have
	// taken effect or may still do so.
	uncertain bool
	done      func(*State, WriteOutcome, []Row)
}

// maxWriteRetries bounds the repetitions of one transaction. After them the
// outcome is WriteUnknown where the answer to a copy was lost.
const maxWriteRetries = 5

// readTable reads rows and calls done with the answer.
func (s *State) readTable(keys []RowKey, done func(*State, TableReadDone)) {
	op := s.registerRead(done)
	s.emit(ReadTable{Op: op, Keys: slices.Clone(keys)})
}

// readTableKind reads all rows of a kind and calls done with the answer.
func (s *State) readTableKind(kind RowKind, done func(*State, TableReadDone)) {
	op := s.registerRead(done)
	s.emit(ReadTable{Op: op, Prefix: kind})
}

func (s *State) registerRead(done func(*State, TableReadDone)) OpID {
	s.table.lastOp++
	if s.table.reads == nil {
		s.table.reads = make(map[OpID]func(*State, TableReadDone))
	}
	s.table.reads[s.table.lastOp] = done
	return s.table.lastOp
}

// writeTable writes a transaction and calls done with its outcome. A lost
// answer is resolved here: the rows are read back, and a row that carries the
// nonce of this transaction proves that it was applied.
//
// WriteConflict and WriteUnavailable say that no copy was or will be applied.
// On WriteConflict done gets the rows as they are now. WriteUnknown says that
// a copy may have been applied or may still be. Where the rows were overwritten
// after a lost answer, done gets them with WriteUnknown: an entry in a row that
// carries a nonce of its own may show more.
func (s *State) writeTable(writes []RowWrite, done func(*State, WriteOutcome, []Row)) {
	s.sendWrite(&pendingWrite{writes: slices.Clone(writes), done: done})
}

func (s *State) sendWrite(write *pendingWrite) {
	s.table.lastOp++
	if s.table.writes == nil {
		s.table.writes = make(map[OpID]*pendingWrite)
	}
	s.table.writes[s.table.lastOp] = write
	s.emit(WriteTable{Op: s.table.lastOp, Writes: write.writes})
}

func (s *State) tableReadDone(ev TableReadDone) {
	done, ok := s.table.reads[ev.Op]
	if !ok {
		return
	}
	delete(s.table.reads, ev.Op)
	done(s, ev)
}

func (s *State) tableWriteDone(ev TableWriteDone) {
	write, ok := s.table.writes[ev.Op]
	if !ok {
		return
	}
	delete(s.table.writes, ev.Op)
	switch ev.Outcome {
	case WriteApplied:
		write.done(s, WriteApplied, nil)
	case WriteUnavailable:
		if write.uncertain {
			// An earlier copy of this transaction may still take effect.
			s.retryWrite(write)
			return
		}
		write.done(s, WriteUnavailable, nil)
	case WriteConflict:
		s.readBackWrite(write, WriteConflict)
	default:
		write.uncertain = true
		s.readBackWrite(write, WriteUnknown)
	}
}

// readBackWrite reads the rows back to find out whether a transaction was
// applied.
func (s *State) readBackWrite(write *pendingWrite, outcome WriteOutcome) {
	keys := make([]RowKey, len(write.writes))
	for i := range write.writes {
		keys[i] = write.writes[i].Key
	}
	s.readTable(keys, func(s *State, read TableReadDone) {
		s.resolveReadBack(write, outcome, read)
	})
}

func (s *State) resolveReadBack(write *pendingWrite, outcome WriteOutcome, read TableReadDone) {
	switch {
	case read.Unavailable:
		s.retryWrite(write)
	case writeApplied(write.writes, read.Rows):
		write.done(s, WriteApplied, read.Rows)
	case !write.uncertain || provesNotApplied(write.writes, read.Rows):
		write.done(s, WriteConflict, read.Rows)
	case outcome == WriteUnknown && versionsUnchanged(write.writes, read.Rows):
		s.retryWrite(write)
	default:
		// The rows have changed since the lost answer. The transaction may be
		// among the changes.
		write.done(s, WriteUnknown, read.Rows)
	}
}

// retryWrite repeats a transaction. Repeating is harmless: both copies expect
// the same versions, so at most one is applied.
func (s *State) retryWrite(write *pendingWrite) {
	if write.retries >= maxWriteRetries {
		outcome := WriteUnavailable
		if write.uncertain {
			outcome = WriteUnknown
		}
		write.done(s, outcome, nil)
		return
	}
	write.retries++
	s.runAfter(retryDelay(write.retries), func(s *State) { s.sendWrite(write) })
}

// writeApplied reports whether a row still carries the nonce of the
// transaction. Rows that others have overwritten since show nothing, so the
// entries inside a row carry nonces of their own.
func writeApplied(writes []RowWrite, rows []Row) bool {
	for i := range writes {
		if row := findRow(rows, writes[i].Key); row != nil && row.Nonce == writes[i].Nonce {
			return true
		}
	}
	return false
}

// provesNotApplied reports whether the rows, none of which carries the nonce of
// the transaction, prove that no copy of it was applied or will be: another
// writer made the very version that the transaction would have made. Only rows
// of kinds that are never deleted prove it, because the versions of a row that
// is created again start anew. One row must prove it alone, since the rows may
// have been read one after the other.
func provesNotApplied(writes []RowWrite, rows []Row) bool {
	for i := range writes {
		w := &writes[i]
		if !w.Delete && neverDeleted(w.Key.Kind) && rowVersion(rows, w.Key) == w.ExpectVersion+1 {
			return true
		}
	}
	return false
}

// neverDeleted reports whether rows of a kind stay for good: the history of a
// document and the fencing counter of an engine must not start anew.
func neverDeleted(kind RowKind) bool { return kind == RowDocument || kind == RowEngine }

func versionsUnchanged(writes []RowWrite, rows []Row) bool {
	for i := range writes {
		if rowVersion(rows, writes[i].Key) != writes[i].ExpectVersion {
			return false
		}
	}
	return true
}

// findRow returns the row with the key, or nil.
func findRow(rows []Row, key RowKey) *Row {
	for i := range rows {
		if rows[i].Key == key {
			return &rows[i]
		}
	}
	return nil
}

func rowVersion(rows []Row, key RowKey) uint64 {
	if row := findRow(rows, key); row != nil {
		return row.Version
	}
	return 0
}

func formatNonce(self Identity, n uint64) string {
	return fmt.Sprintf("%s.%s.%d", self.Instance, self.Incarnation, n)
}
