package rpcore

import (
	"fmt"
	"slices"
)

// tableOps tracks the operations on the table that are under way.
type tableOps struct {
	lastOp OpID
	nonces uint64
	reads  map[OpID]func(*State, TableReadDone)
	writes map[OpID]*pendingWrite
}

// pendingWrite is a transaction without a final answer.
type pendingWrite struct {
	writes []RowWrite
	// retries counts the repetitions after unknown outcomes.
	retries int
	done    func(*State, WriteOutcome, []Row)
}

// maxWriteRetries bounds the repetitions of one transaction whose answer is
// lost. After them the outcome stays WriteUnknown.
const maxWriteRetries = 5

// readTable reads rows and calls done with the answer.
func (s *State) readTable(keys []RowKey, done func(*State, TableReadDone)) {
	op := s.newRead(done)
	s.emit(ReadTable{Op: op, Keys: slices.Clone(keys)})
}

// readTableKind reads all rows of a kind and calls done with the answer.
func (s *State) readTableKind(kind RowKind, done func(*State, TableReadDone)) {
	op := s.newRead(done)
	s.emit(ReadTable{Op: op, Prefix: kind})
}

func (s *State) newRead(done func(*State, TableReadDone)) OpID {
	s.table.lastOp++
	if s.table.reads == nil {
		s.table.reads = make(map[OpID]func(*State, TableReadDone))
	}
	s.table.reads[s.table.lastOp] = done
	return s.table.lastOp
}

// writeTable writes a transaction and calls done with its outcome. A lost
// answer is resolved here: the rows are read back, and a row that carries the
// nonce of this transaction proves that it was applied. On WriteConflict done
// gets the rows as they are now. WriteUnknown reaches done only after
// maxWriteRetries; the transaction may then still take effect.
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
		if write.retries > 0 {
			// An earlier copy of this transaction may still take effect.
			s.retryWrite(write)
			return
		}
		write.done(s, WriteUnavailable, nil)
	case WriteConflict:
		s.resolveWrite(write, WriteConflict)
	default:
		s.resolveWrite(write, WriteUnknown)
	}
}

// resolveWrite reads the rows back to find out whether a transaction was
// applied.
func (s *State) resolveWrite(write *pendingWrite, outcome WriteOutcome) {
	keys := make([]RowKey, len(write.writes))
	for i := range write.writes {
		keys[i] = write.writes[i].Key
	}
	s.readTable(keys, func(s *State, read TableReadDone) {
		s.resolveRead(write, outcome, read)
	})
}

func (s *State) resolveRead(write *pendingWrite, outcome WriteOutcome, read TableReadDone) {
	switch {
	case read.Unavailable:
		s.retryWrite(write)
	case writeApplied(write.writes, read.Rows):
		write.done(s, WriteApplied, read.Rows)
	case outcome == WriteConflict || !expectationsHold(write.writes, read.Rows):
		write.done(s, WriteConflict, read.Rows)
	default:
		s.retryWrite(write)
	}
}

// retryWrite repeats a transaction. Repeating is harmless: both copies expect
// the same versions, so at most one is applied.
func (s *State) retryWrite(write *pendingWrite) {
	if write.retries >= maxWriteRetries {
		write.done(s, WriteUnknown, nil)
		return
	}
	write.retries++
	s.after(retryDelay(write.retries), func(s *State) { s.sendWrite(write) })
}

// writeApplied reports whether a row still carries the nonce of the
// transaction. Rows that others have overwritten since show nothing, so the
// entries inside a row carry nonces of their own.
func writeApplied(writes []RowWrite, rows []Row) bool {
	for i := range writes {
		for j := range rows {
			if rows[j].Key == writes[i].Key && rows[j].Nonce == writes[i].Nonce {
				return true
			}
		}
	}
	return false
}

func expectationsHold(writes []RowWrite, rows []Row) bool {
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
