package rpnode

import (
	"context"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Node is an event loop. It applies posted events to its State one at a time, in the
// order in which they were posted. The zero value is ready to use once Handlers is
// set.
type Node struct {
	Handlers Handlers
	// Record, if set, is called with every event and its effects before the effects
	// are executed, so a message is recorded before anything that it causes. Record
	// must not keep the slice.
	Record func(ev rpcore.Event, effects []rpcore.Effect)
	// Observe, if set, is called with every event and its effects after the effects
	// were executed. took is the time that the reducer needed. Observe must not keep
	// the slice.
	Observe func(ev rpcore.Event, effects []rpcore.Effect, took time.Duration)

	mu     sync.Mutex
	queue  []queueItem
	signal chan struct{}
	closed bool
	state  rpcore.State
	timer  *time.Timer
}

// queueItem is either an event to apply or a function to call with the state.
type queueItem struct {
	event rpcore.Event
	query func(*rpcore.State)
}

// Post queues an event. It never blocks, because components call it from goroutines
// that hold connections. The queue is not limited here; the number of events depends
// on the work in progress in the components, which have their own limits.
func (n *Node) Post(ev rpcore.Event) {
	n.enqueue(queueItem{event: ev})
}

// Query calls a function with the state between two events and waits until it has
// returned.
func (n *Node) Query(ctx context.Context, query func(*rpcore.State)) error {
	done := make(chan struct{})
	n.enqueue(queueItem{query: func(s *rpcore.State) {
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

func (n *Node) enqueue(item queueItem) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.queue = append(n.queue, item)
	n.signalQueue()
}

// signalQueue wakes the event loop. The caller must hold mu.
func (n *Node) signalQueue() {
	if n.signal == nil {
		n.signal = make(chan struct{}, 1)
	}
	select {
	case n.signal <- struct{}{}:
	default:
	}
}

// Run applies start and then the posted events until ctx ends.
func (n *Node) Run(ctx context.Context, start rpcore.Start) error {
	n.mu.Lock()
	n.signalQueue()
	signal := n.signal
	n.mu.Unlock()
	n.timer = time.NewTimer(time.Hour)
	defer n.timer.Stop()
	defer n.close()
	start.At = time.Now()
	n.apply(start)
	var batch []queueItem
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signal:
		case <-n.timer.C:
			n.apply(rpcore.Tick{Stamp: rpcore.Stamp{At: time.Now()}})
			continue
		}
		batch = n.takeBatch(batch)
		for i := range batch {
			n.process(batch[i])
		}
	}
}

// takeBatch returns the queued items and replaces the queue with an empty one, which
// reuses the memory of the last batch.
func (n *Node) takeBatch(last []queueItem) []queueItem {
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

func (n *Node) process(item queueItem) {
	if item.query != nil {
		item.query(&n.state)
		return
	}
	n.apply(item.event)
}

func (n *Node) apply(ev rpcore.Event) {
	begin := time.Now()
	effects := n.state.Reduce(ev)
	took := time.Since(begin)
	if n.Record != nil {
		n.Record(ev, effects)
	}
	for _, effect := range effects {
		n.execute(effect)
	}
	if n.Observe != nil {
		n.Observe(ev, effects, took)
	}
}

func (n *Node) execute(effect rpcore.Effect) {
	switch effect := effect.(type) {
	case rpcore.SetAlarm:
		n.timer.Reset(max(0, time.Until(effect.At)))
	case rpcore.StartAttempt:
		callHandler(n.Handlers.StartAttempt, effect)
	case rpcore.CancelAttempt:
		callHandler(n.Handlers.CancelAttempt, effect)
	case rpcore.RefuseRequest:
		callHandler(n.Handlers.RefuseRequest, effect)
	case rpcore.ReplayOutcome:
		callHandler(n.Handlers.ReplayOutcome, effect)
	case rpcore.ReportReady:
		callHandler(n.Handlers.ReportReady, effect)
	case rpcore.PollEngine:
		callHandler(n.Handlers.PollEngine, effect)
	case rpcore.SendOrder:
		callHandler(n.Handlers.SendOrder, effect)
	case rpcore.ReadTable:
		callHandler(n.Handlers.ReadTable, effect)
	case rpcore.WriteTable:
		callHandler(n.Handlers.WriteTable, effect)
	case rpcore.LoadDocument:
		callHandler(n.Handlers.LoadDocument, effect)
	case rpcore.StoreDocument:
		callHandler(n.Handlers.StoreDocument, effect)
	case rpcore.AnswerSubmission:
		callHandler(n.Handlers.AnswerSubmission, effect)
	case rpcore.SendPeer:
		callHandler(n.Handlers.SendPeer, effect)
	case rpcore.ReportDrained:
		callHandler(n.Handlers.ReportDrained, effect)
	case rpcore.Note:
		callHandler(n.Handlers.Note, effect)
	}
}

func callHandler[E rpcore.Effect](handler func(E), effect E) {
	if handler != nil {
		handler(effect)
	}
}
