package rpcore

import (
	"fmt"
	"slices"
)

// tableOps tracks the table operations in progress.
type tableOps struct {
	lastOp     OpID
	nonceCount uint64
	reads      map[OpID]func(*State, TableReadDone)
	writes     map[OpID]*pendingWrite
}

// pendingWrite is a transaction whose outcome is not final yet.
type pendingWrite struct {
	writes []RowWrite
	// retries counts how often the transaction was sent again.
	retries int
	// uncertain is set if the answer to any copy of the transaction was lost.
	// That copy may have been applied or may still be applied.
	uncertain bool
	done      func(*State, WriteOutcome, []Row)
}

// maxWriteRetries is the maximum number of retries of a transaction. If they
// are used up, the outcome is WriteUnknown if the answer to any copy was lost,
// otherwise WriteUnavailable.
const maxWriteRetries = 5

// readTable reads rows and calls done with the result.
func (s *State) readTable(keys []RowKey, done func(*State, TableReadDone)) {
	op := s.registerRead(done)
	s.emit(ReadTable{Op: op, Keys: slices.Clone(keys)})
}

// readTableKind reads all rows of a kind and calls done with the result.
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

// writeTable writes a transaction and calls done with the outcome. If the
// answer to a write is lost, the rows are read back: a row with the nonce of
// this transaction proves that the transaction was applied.
//
// WriteConflict and WriteUnavailable mean that no copy of the transaction was
// or will be applied. With WriteConflict, done also gets the current rows.
// WriteUnknown means that a copy may have been applied or may still be. If the
// rows were overwritten after a lost answer, done gets the current rows with
// WriteUnknown: entries within the rows carry nonces of their own, from which
// the caller may learn more.
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
			// An earlier copy of this transaction may still be applied.
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

// readBackWrite reads the rows of a transaction to find out whether it was
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

// resolveReadBack decides the outcome of a transaction from the current rows.
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
		// The rows have changed since the answer was lost. The transaction may
		// be one of the changes.
		write.done(s, WriteUnknown, read.Rows)
	}
}

// retryWrite sends a transaction again after a delay, or gives up after
// maxWriteRetries. Sending it again is safe: all copies expect the same row
// versions, so at most one copy is applied.
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

// writeApplied reports whether any row still carries the nonce of the
// transaction. Rows that were overwritten since show nothing; for them, callers
// look for the nonces of the entries within the row.
func writeApplied(writes []RowWrite, rows []Row) bool {
	for i := range writes {
		if row := findRow(rows, writes[i].Key); row != nil && row.Nonce == writes[i].Nonce {
			return true
		}
	}
	return false
}

// provesNotApplied reports whether the rows prove that no copy of the
// transaction was or will be applied. The caller has checked that no row
// carries its nonce. The proof is a row with the version that the transaction
// would have given it: another writer wrote that version. Rows of kinds that
// may be deleted prove nothing, since a row that is created again restarts its
// versions. A single row must be sufficient proof, because the rows may have
// been read one after the other.
func provesNotApplied(writes []RowWrite, rows []Row) bool {
	for i := range writes {
		w := &writes[i]
		if !w.Delete && neverDeleted(w.Key.Kind) && rowVersion(rows, w.Key) == w.ExpectVersion+1 {
			return true
		}
	}
	return false
}

// neverDeleted reports whether rows of a kind are never deleted. The history of
// a document and the fencing counter of an engine must not restart.
func neverDeleted(kind RowKind) bool { return kind == RowDocument || kind == RowEngine }

// versionsUnchanged reports whether all rows still have the versions that the
// transaction expects.
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
