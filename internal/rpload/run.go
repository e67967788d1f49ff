package rpload

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run sends the requests of a configuration and reports what came back. An
// error says that the configuration is wrong and that nothing was sent. When
// the context ends, the report covers what was measured and says that the run
// was interrupted.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg = cfg.withDefaults()
	schedule, err := NewSchedule(cfg)
	if err != nil {
		return Report{}, err
	}
	r := newRunner(cfg)
	defer r.client.CloseIdleConnections()
	count, hash := schedule.CountAndHash()
	r.start = time.Now()
	cfg.Log.Info().Str("run", cfg.RunID).Uint64("requests", count).Msg("Arrivals start.")
	r.startArrivals(ctx, schedule)
	cfg.Log.Info().Bool("interrupted", r.interrupted).Msg("Arrivals have ended.")
	r.waitForRequests(ctx)
	report := r.report()
	report.PlannedRequests = int64(count)
	report.CancelledRequests = int64(count) - report.DueRequests
	report.ScheduleHash = formatHash(hash)
	return report, nil
}

// runner is one run.
type runner struct {
	cfg      Config
	client   *http.Client
	recorder *recorder
	// slots bounds the requests in progress.
	slots chan struct{}
	// requestCtx is the context of all requests.
	requestCtx context.Context
	cancel     context.CancelCauseFunc
	wg         sync.WaitGroup

	start         time.Time
	arrivalPeriod time.Duration
	elapsed       time.Duration
	interrupted   bool
	// arrivalsEnded says that no more requests arrive.
	arrivalsEnded atomic.Bool
}

func newRunner(cfg Config) *runner {
	r := &runner{
		cfg:      cfg,
		client:   newClient(cfg),
		recorder: newRecorder(len(cfg.phaseNames())),
		slots:    make(chan struct{}, cfg.InProgressLimit),
	}
	r.requestCtx, r.cancel = context.WithCancelCause(context.Background())
	return r
}

// newClient returns a client that keeps its connections, follows no redirect
// and uses no proxy.
func newClient(cfg Config) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         cfg.Dial,
			DisableCompression:  true,
			MaxIdleConnsPerHost: cfg.InProgressLimit,
			IdleConnTimeout:     cfg.Wait,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// startArrivals starts each request at its time, until the end of the duration or of
// the context.
func (r *runner) startArrivals(ctx context.Context, schedule *Schedule) {
	defer func() {
		r.arrivalsEnded.Store(true)
		r.arrivalPeriod = min(time.Since(r.start), r.cfg.Duration)
	}()
	for arrival := range schedule.All() {
		if !sleepUntil(ctx, r.start.Add(arrival.At)) {
			r.interrupted = true
			return
		}
		r.startRequest(arrival)
	}
	r.interrupted = !sleepUntil(ctx, r.start.Add(r.cfg.Duration))
}

// startRequest starts a request, or counts it where too many are in progress.
func (r *runner) startRequest(a Arrival) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.cell(a).addNotStarted()
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.slots }()
		o := r.send(r.requestCtx, a)
		r.recorder.cell(a).add(finishedRequest{
			outcome:        o,
			due:            r.start.Add(a.At),
			timeout:        r.cfg.Timeouts[a.Rank],
			lateAllowance:  r.cfg.LateAllowance,
			duringArrivals: !r.arrivalsEnded.Load(),
		})
	})
}

// waitForRequests waits for the requests in progress and ends those that remain.
func (r *runner) waitForRequests(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	limit := time.NewTimer(r.waitLimit())
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
	case <-ctx.Done():
		r.interrupted = true
		limit.Reset(r.cfg.Wait)
		select {
		case <-done:
		case <-limit.C:
		}
	}
	r.cancel(errUnfinished)
	<-done
	r.elapsed = time.Since(r.start)
}

// waitLimit returns the bound of the wait after the last arrival. Requests
// with a known deadline end by themselves.
func (r *runner) waitLimit() time.Duration {
	longest, known := time.Duration(0), true
	for rank, timeout := range r.cfg.Timeouts {
		if r.cfg.usesRank(rank) {
			known = known && timeout > 0
			longest = max(longest, timeout+r.cfg.Patience)
		}
	}
	if !known {
		return max(longest, r.cfg.Wait)
	}
	return longest
}

// sleepUntil reports whether the time came before the end of the context.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	left := time.Until(at)
	if left <= 0 {
		return true
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
