package rpplatform

import (
	"context"
	"sync"
)

// Defaults of Work.
const (
	DefaultWorkers    = 64
	DefaultQueueLimit = 1024
)

// WorkerPool runs jobs in a bounded number of goroutines with a bounded queue. Its
// zero value works. Idle workers end, so an unused Work holds no goroutine.
type WorkerPool struct {
	// Workers is the number of jobs that run at once; 0 is DefaultWorkers.
	Workers int
	// QueueLimit is the number of jobs that wait; 0 is DefaultQueueLimit.
	QueueLimit int

	mu       sync.Mutex
	running  int
	queue    []func(context.Context)
	refusals []func()
	refusing bool
	closed   bool
	// idle is made by the first Close and closed by the last goroutine.
	idle   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// submit runs a job, or runs refused in its place when the queue is full.
// Neither runs in the goroutine of the caller, because both post events and
// the caller is the event loop. After Close it drops both.
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

// nextJob returns the next job, or nil when the worker has to end.
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

// refuse runs refusals one after another in one goroutine, so that a flood of
// them starts no flood of goroutines.
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

// Close takes no more jobs and waits for those that are queued or running.
// When the context ends first, it cancels them, waits for their ends and
// returns the context's error.
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
