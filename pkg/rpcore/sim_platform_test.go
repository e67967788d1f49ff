package rpcore

import (
	"maps"
	"slices"
	"time"
)

// simTable is the platform's table. A transaction is answered, refused, or its
// answer is lost. In the last case it is applied at once, applied late, or
// never applied.
type simTable struct {
	rows     map[RowKey]Row
	down     bool
	maxDelay time.Duration
	// refusalRate is the probability that an operation is refused, and
	// answerLossRate that the answer to a write is lost. lateWriteRate is the
	// probability that a write with a lost answer is applied late, up to
	// maxLateDelay afterwards.
	refusalRate, answerLossRate, lateWriteRate float64
	maxLateDelay                               time.Duration
	// answersToLose is the number of coming writes whose answer is lost after
	// they were applied.
	answersToLose int
	// onApplied is called with every applied transaction.
	onApplied []func(writes []RowWrite)
}

func (t *simTable) reachableFrom(n *simNode) bool {
	return !t.down && !n.sim.net.platformCut[n.self.FailureDomain]
}

func (t *simTable) read(n *simNode, op ReadTable) {
	s := n.sim
	s.schedule(s.delay(time.Millisecond, t.maxDelay), func() {
		done := TableReadDone{Op: op.Op, Unavailable: !t.reachableFrom(n) || s.rng.Float64() < t.refusalRate}
		if !done.Unavailable {
			done.Rows = t.matchingRows(op)
		}
		n.schedule(s.delay(time.Millisecond, t.maxDelay), func() {
			n.reduce(func(at Stamp) Event { done.Stamp = at; return done })
		})
	})
}

func (t *simTable) matchingRows(op ReadTable) []Row {
	var rows []Row
	for _, row := range t.rows {
		if slices.Contains(op.Keys, row.Key) || (op.Prefix != "" && row.Key.Kind == op.Prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return slices.Compare([]string{string(a.Key.Kind), a.Key.Service, a.Key.Name}, []string{string(b.Key.Kind), b.Key.Service, b.Key.Name})
	})
	return rows
}

func (t *simTable) write(n *simNode, op WriteTable) {
	s := n.sim
	writes := slices.Clone(op.Writes)
	s.schedule(s.delay(time.Millisecond, t.maxDelay), func() {
		outcome := t.executeWrite(n, writes)
		n.schedule(s.delay(time.Millisecond, t.maxDelay), func() {
			n.reduce(func(at Stamp) Event { return TableWriteDone{at, op.Op, outcome} })
		})
	})
}

func (t *simTable) executeWrite(n *simNode, writes []RowWrite) WriteOutcome {
	s := n.sim
	if !t.reachableFrom(n) {
		return WriteUnavailable
	}
	fate := s.rng.Float64()
	switch {
	case t.answersToLose > 0 && t.apply(writes):
		t.answersToLose--
		return WriteUnknown
	case fate < t.refusalRate:
		return WriteUnavailable
	case fate < t.refusalRate+t.answerLossRate:
		switch {
		case s.rng.Float64() < t.lateWriteRate:
			s.schedule(s.delay(0, t.maxLateDelay), func() { t.apply(writes) })
		case s.rng.IntN(2) == 0:
			t.apply(writes)
		}
		return WriteUnknown
	case t.apply(writes):
		return WriteApplied
	default:
		return WriteConflict
	}
}

func (t *simTable) apply(writes []RowWrite) bool {
	for i := range writes {
		if t.rows[writes[i].Key].Version != writes[i].ExpectVersion {
			return false
		}
	}
	for i := range writes {
		w := writes[i]
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = Row{Key: w.Key, Version: w.ExpectVersion + 1, Nonce: w.Nonce, RowBody: w.RowBody}
	}
	for _, watch := range t.onApplied {
		watch(writes)
	}
	return true
}

// simObjects is the platform's object store.
type simObjects struct {
	bodies map[string][]byte
	down   bool
}

func (o *simObjects) reachableFrom(n *simNode) bool {
	return !o.down && !n.sim.net.platformCut[n.self.FailureDomain]
}

func (o *simObjects) load(n *simNode, effect LoadDocument) {
	s := n.sim
	n.schedule(s.delay(time.Millisecond, 50*time.Millisecond), func() {
		body, ok := o.bodies[effect.Hash]
		n.reduce(func(at Stamp) Event {
			return DocumentLoaded{at, effect.Service, effect.Version, effect.Hash, body, !ok || !o.reachableFrom(n)}
		})
	})
}

func (o *simObjects) store(n *simNode, effect StoreDocument) {
	s := n.sim
	n.schedule(s.delay(time.Millisecond, 50*time.Millisecond), func() {
		if o.reachableFrom(n) {
			o.bodies[effect.Hash] = effect.Body
		}
		n.reduce(func(at Stamp) Event { return DocumentStored{at, effect.Submission, !o.reachableFrom(n)} })
	})
}

// simList is the platform's instance list. Each snapshot shows the list as it
// was between minLag and maxLag ago; the lag varies from snapshot to snapshot.
type simList struct {
	entries        map[string]Member
	history        []simListSnapshot
	minLag, maxLag time.Duration
	down           bool
}

type simListSnapshot struct {
	at      time.Time
	members []Member
}

func (l *simList) put(s *sim, member Member) {
	l.entries[member.ID] = member
	l.record(s)
}

func (l *simList) remove(s *sim, id string) {
	delete(l.entries, id)
	l.record(s)
}

func (l *simList) record(s *sim) {
	members := slices.SortedFunc(maps.Values(l.entries), func(a, b Member) int { return compareText(a.ID, b.ID) })
	l.history = append(l.history, simListSnapshot{s.now, members})
}

func compareText(a, b string) int { return slices.Compare([]string{a}, []string{b}) }

// dropHistory makes all later snapshots show the current entries, whatever
// their lag.
func (l *simList) dropHistory(s *sim) {
	l.record(s)
	l.history = []simListSnapshot{{time.Time{}, l.history[len(l.history)-1].members}}
}

// snapshotAt returns the members that the list showed at a time.
func (l *simList) snapshotAt(at time.Time) []Member {
	for i := len(l.history) - 1; i >= 0; i-- {
		if !l.history[i].at.After(at) {
			return l.history[i].members
		}
	}
	return nil
}

// pollList reads the list once a second. The next read starts one second after
// the last snapshot was applied.
func (n *simNode) pollList() {
	s := n.sim
	down := s.list.down || s.net.platformCut[n.self.FailureDomain]
	members := s.list.snapshotAt(s.now.Add(-s.delay(s.list.minLag, s.list.maxLag)))
	n.schedule(s.delay(time.Millisecond, 20*time.Millisecond), func() {
		n.reduce(func(at Stamp) Event {
			if down {
				return ListUnavailable{at}
			}
			return MembersListed{at, members}
		})
		n.schedule(time.Second, n.pollList)
	})
}
