package rpload

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run sends the requests of a configuration and reports the results. It returns an
// error only if the configuration is invalid; no request has been sent then. When
// the context ends, the run is interrupted, and the report covers the part until
// then.
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
	cfg.Log.Info().Str("run", cfg.RunID).Uint64("requests", count).Msg("Load generation starts.")
	r.startArrivals(ctx, schedule)
	cfg.Log.Info().Bool("interrupted", r.interrupted).Msg("Load generation ended; waiting for requests in progress.")
	r.waitForRequests(ctx)
	report := r.report()
	report.PlannedRequests = int64(count)
	report.CancelledRequests = int64(count) - report.DueRequests
	report.ScheduleHash = formatHash(hash)
	return report, nil
}

// runner holds the state of one run.
type runner struct {
	cfg      Config
	client   *http.Client
	recorder *recorder
	// slots limits the requests in progress to its capacity.
	slots chan struct{}
	// requestCtx is the parent context of all requests. It is separate from the
	// context of Run, so that requests in progress can finish after an
	// interruption.
	requestCtx context.Context
	cancel     context.CancelCauseFunc
	wg         sync.WaitGroup

	start         time.Time
	arrivalPeriod time.Duration
	elapsed       time.Duration
	interrupted   bool
	// arrivalsEnded is true when no more requests will start.
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

// startArrivals starts each request at its scheduled time. It returns at the end of
// Duration or of the context.
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

// startRequest starts a request. If too many are in progress, it only counts the
// request as not started.
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

// waitForRequests waits for the requests in progress and cancels those that take
// too long.
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

// waitLimit returns the maximum time to wait after the last arrival. Requests with
// a timeout end by themselves; Config.Wait limits only the others.
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

// sleepUntil sleeps until the given time. It returns false if the context ended
// before.
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
