package rpnode

import (
	"context"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Node runs one State. Events are applied one at a time in the order in which
// they were posted. The zero value works once Edges is set.
type Node struct {
	Edges Edges
	// Record, where it is set, sees every event with its effects, before they
	// are carried out: what it records of a message then comes before anything
	// that the message causes. It must not keep the slice.
	Record func(ev rpcore.Event, effects []rpcore.Effect)
	// Observe, where it is set, sees every event with its effects, after they
	// were carried out. It must not keep the slice.
	Observe func(ev rpcore.Event, effects []rpcore.Effect, took time.Duration)

	mu     sync.Mutex
	queue  []work
	signal chan struct{}
	closed bool
	state  rpcore.State
	timer  *time.Timer
}

// work is an event to apply or a function to run on the state.
type work struct {
	event rpcore.Event
	query func(*rpcore.State)
}

// Post queues an event. It never blocks: edges call it from goroutines that
// hold connections. The queue is bounded by the work in progress at the edges,
// which have limits of their own.
func (n *Node) Post(ev rpcore.Event) {
	n.push(work{event: ev})
}

// Query runs a function on the state between two events and waits for it.
func (n *Node) Query(ctx context.Context, query func(*rpcore.State)) error {
	done := make(chan struct{})
	n.push(work{query: func(s *rpcore.State) {
		query(s)
		close(done)
	}})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Node) push(w work) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.queue = append(n.queue, w)
	n.wake()
}

// wake must be called with mu held.
func (n *Node) wake() {
	if n.signal == nil {
		n.signal = make(chan struct{}, 1)
	}
	select {
	case n.signal <- struct{}{}:
	default:
	}
}

// Run applies Start and then posted events until the context ends.
func (n *Node) Run(ctx context.Context, start rpcore.Start) error {
	n.mu.Lock()
	n.wake()
	signal := n.signal
	n.mu.Unlock()
	n.timer = time.NewTimer(time.Hour)
	defer n.timer.Stop()
	defer n.close()
	start.At = time.Now()
	n.apply(start)
	var batch []work
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signal:
		case <-n.timer.C:
			n.apply(rpcore.Tick{Stamp: rpcore.Stamp{At: time.Now()}})
			continue
		}
		batch = n.take(batch)
		for i := range batch {
			n.do(batch[i])
		}
	}
}

// take exchanges the queue for an empty one that reuses the last batch.
func (n *Node) take(last []work) []work {
	clear(last)
	n.mu.Lock()
	defer n.mu.Unlock()
	batch := n.queue
	n.queue = last[:0]
	return batch
}

func (n *Node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.queue = nil
}

func (n *Node) do(w work) {
	if w.query != nil {
		w.query(&n.state)
		return
	}
	n.apply(w.event)
}

func (n *Node) apply(ev rpcore.Event) {
	begin := time.Now()
	effects := n.state.Reduce(ev)
	took := time.Since(begin)
	if n.Record != nil {
		n.Record(ev, effects)
	}
	for _, effect := range effects {
		n.carryOut(effect)
	}
	if n.Observe != nil {
		n.Observe(ev, effects, took)
	}
}

func (n *Node) carryOut(effect rpcore.Effect) {
	switch effect := effect.(type) {
	case rpcore.SetAlarm:
		n.timer.Reset(max(0, time.Until(effect.At)))
	case rpcore.StartAttempt:
		call(n.Edges.StartAttempt, effect)
	case rpcore.CancelAttempt:
		call(n.Edges.CancelAttempt, effect)
	case rpcore.RefuseRequest:
		call(n.Edges.RefuseRequest, effect)
	case rpcore.ReplayOutcome:
		call(n.Edges.ReplayOutcome, effect)
	case rpcore.ReportReady:
		call(n.Edges.ReportReady, effect)
	case rpcore.PollEngine:
		call(n.Edges.PollEngine, effect)
	case rpcore.SendOrder:
		call(n.Edges.SendOrder, effect)
	case rpcore.ReadTable:
		call(n.Edges.ReadTable, effect)
	case rpcore.WriteTable:
		call(n.Edges.WriteTable, effect)
	case rpcore.LoadDocument:
		call(n.Edges.LoadDocument, effect)
	case rpcore.StoreDocument:
		call(n.Edges.StoreDocument, effect)
	case rpcore.AnswerSubmission:
		call(n.Edges.AnswerSubmission, effect)
	case rpcore.SendPeer:
		call(n.Edges.SendPeer, effect)
	case rpcore.ReportDrained:
		call(n.Edges.ReportDrained, effect)
	case rpcore.Note:
		call(n.Edges.Note, effect)
	}
}

func call[E rpcore.Effect](carryOut func(E), effect E) {
	if carryOut != nil {
		carryOut(effect)
	}
}
