package rpcore

import (
	"slices"
	"time"
)

// rowTransaction reads rows, decides on the writes, and decides again after a
// conflict.
type rowTransaction struct {
	keys []RowKey
	// decide returns the writes, or none if there is nothing to do.
	decide func(*State, []Row) []RowWrite
	done   func(*State, transactionResult)
	// unansweredSince is the time since which the table has not answered.
	unansweredSince time.Time
	conflicts       int
}

// transactionResult is the result of a rowTransaction.
type transactionResult int

const (
	transactionApplied transactionResult = iota
	// transactionNoChange: decide returned no writes.
	transactionNoChange
	// transactionRejected: the table refused the write, so nothing was written.
	transactionRejected
	// transactionReadFailed: the rows could not be read.
	transactionReadFailed
	// transactionConflict: other instances kept changing the rows. An earlier
	// write may have been applied and overwritten.
	transactionConflict
	// transactionUnknown: the write may take effect, even later.
	transactionUnknown
)

// tableFailureGap is the time between two failures from which they count as
// separate outages.
const tableFailureGap = 5 * time.Second

// maxTransactionConflicts limits the conflicts of one rowTransaction.
const maxTransactionConflicts = 8

// startTransaction reads the rows of a transaction and then writes what its
// decide function returns. It calls done with the result.
func (s *State) startTransaction(tx *rowTransaction) {
	tx.unansweredSince = s.now
	s.readTransactionRows(tx)
}

func (s *State) readTransactionRows(tx *rowTransaction) {
	s.readTable(tx.keys, func(s *State, read TableReadDone) {
		s.recordTableHealth(!read.Unavailable)
		if read.Unavailable {
			tx.done(s, transactionReadFailed)
			return
		}
		s.cacheRows(tx.keys, read.Rows)
		s.writeTransaction(tx, read.Rows)
	})
}

func (s *State) writeTransaction(tx *rowTransaction, rows []Row) {
	writes := tx.decide(s, rows)
	if len(writes) == 0 {
		tx.done(s, transactionNoChange)
		return
	}
	s.writeTable(writes, func(s *State, outcome WriteOutcome, rows []Row) {
		s.transactionWritten(tx, writes, outcome, rows)
	})
}

func (s *State) transactionWritten(tx *rowTransaction, writes []RowWrite, outcome WriteOutcome, rows []Row) {
	s.recordTableHealth(outcome == WriteApplied || outcome == WriteConflict)
	switch outcome {
	case WriteApplied:
		s.cacheWrites(writes)
		tx.done(s, transactionApplied)
	case WriteConflict:
		s.retryTransaction(tx, rows)
	case WriteUnavailable:
		tx.done(s, transactionRejected)
	default:
		tx.done(s, transactionUnknown)
	}
}

// retryTransaction decides again after a conflict. The first time it decides at
// once, on the rows that came with the conflict. Later it reads the rows again
// after a random delay.
func (s *State) retryTransaction(tx *rowTransaction, rows []Row) {
	tx.unansweredSince = s.now
	tx.conflicts++
	switch {
	case tx.conflicts > maxTransactionConflicts:
		tx.done(s, transactionConflict)
	case tx.conflicts == 1:
		s.writeTransaction(tx, s.withCachedRows(tx.keys, rows))
	default:
		s.runAfter(s.jitter(retryDelay(tx.conflicts)), func(s *State) { s.readTransactionRows(tx) })
	}
}

// withCachedRows adds cached rows to those that came with a conflict, which are
// only the rows that the transaction wrote. An outdated cached row leads to
// another conflict.
func (s *State) withCachedRows(keys []RowKey, rows []Row) []Row {
	all := slices.Clone(rows)
	for i := range rows {
		s.cacheRow(rows[i])
	}
	for _, key := range keys {
		known := s.replicas.rows[key]
		if findRow(rows, key) == nil && known != nil && known.Version > 0 {
			all = append(all, known.Row)
		}
	}
	return all
}

// recordTableHealth updates the time since which the table has been failing.
func (s *State) recordTableHealth(ok bool) {
	if ok {
		s.replicas.tableDownSince = time.Time{}
		return
	}
	if s.replicas.tableDownSince.IsZero() || s.now.Sub(s.replicas.tableFailedAt) > tableFailureGap {
		s.replicas.tableDownSince = s.now
	}
	s.replicas.tableFailedAt = s.now
}
