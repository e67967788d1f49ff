package rpplatform

import (
	"context"
	"sync"
)

// Defaults of WorkerPool.
const (
	DefaultWorkers    = 64
	DefaultQueueLimit = 1024
)

// WorkerPool runs jobs in a limited number of goroutines, with a limited queue. The
// zero value is ready to use. Workers exit when the queue is empty, so an idle pool
// has no goroutines.
type WorkerPool struct {
	// Workers is the maximum number of concurrent jobs; 0 means DefaultWorkers.
	Workers int
	// QueueLimit is the maximum number of queued jobs; 0 means
	// DefaultQueueLimit.
	QueueLimit int

	mu       sync.Mutex
	running  int
	queue    []func(context.Context)
	refusals []func()
	refusing bool
	closed   bool
	// idle is created by the first Close, and closed when the last goroutine
	// has finished.
	idle   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// submit runs or queues a job. If the queue is full, it runs refused instead.
// The event loop calls submit, and both functions post events, so neither runs in
// the calling goroutine. After Close, submit runs neither.
func (w *WorkerPool) submit(job func(context.Context), refused func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	if w.ctx == nil {
		w.ctx, w.cancel = context.WithCancel(context.Background())
	}
	switch {
	case w.running < orDefault(w.Workers, DefaultWorkers):
		w.running++
		go w.runWorker(job)
	case len(w.queue) < orDefault(w.QueueLimit, DefaultQueueLimit):
		w.queue = append(w.queue, job)
	default:
		w.refuse(refused)
	}
}

func (w *WorkerPool) runWorker(job func(context.Context)) {
	for job != nil {
		job(w.ctx)
		job = w.nextJob()
	}
}

// nextJob returns the next job, or nil if the queue is empty and the worker must
// exit.
func (w *WorkerPool) nextJob() func(context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.running--
		w.signalIfIdle()
		return nil
	}
	job := w.queue[0]
	w.queue[0] = nil
	w.queue = w.queue[1:]
	return job
}

// refuse queues a refusal. One goroutine runs all refusals in order, so that many
// of them don't start many goroutines.
func (w *WorkerPool) refuse(refused func()) {
	w.refusals = append(w.refusals, refused)
	if !w.refusing {
		w.refusing = true
		go w.runRefusals()
	}
}

func (w *WorkerPool) runRefusals() {
	for {
		w.mu.Lock()
		refusals := w.refusals
		w.refusals = nil
		if len(refusals) == 0 {
			w.refusing = false
			w.signalIfIdle()
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		for _, refused := range refusals {
			refused()
		}
	}
}

func (w *WorkerPool) signalIfIdle() {
	if w.closed && w.running == 0 && !w.refusing {
		close(w.idle)
	}
}

// Close stops accepting jobs and waits for the queued and running ones. If the
// context ends first, Close cancels the context of the jobs, waits until they have
// returned, and returns the context's error.
func (w *WorkerPool) Close(ctx context.Context) error {
	idle, cancel := w.startClose()
	defer cancel()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		cancel()
		<-idle
		return ctx.Err()
	}
}

func (w *WorkerPool) startClose() (<-chan struct{}, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		w.idle = make(chan struct{})
		w.signalIfIdle()
	}
	if w.cancel == nil {
		return w.idle, func() {}
	}
	return w.idle, w.cancel
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
