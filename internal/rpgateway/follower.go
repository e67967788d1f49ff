package rpgateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

const (
	// initialRetryDelay is the delay after the first failed call. It doubles
	// with each further failure.
	initialRetryDelay = 100 * time.Millisecond
	// outageAfter is how long calls must fail before the store counts as
	// unavailable. Single calls also fail while the store is healthy.
	outageAfter = time.Second
)

// follower follows a table of the store: it reads the whole table once and then
// long-polls for changes.
type follower struct {
	store *rpwire.Store
	table rpwire.Table
	// pollWait returns the wait time of a long poll. It may become shorter while
	// a long poll is in progress.
	pollWait func() time.Duration
	// loop gives the timeouts of calls and the longest delay after a failed one.
	loop *loop
	// snapshotRequests requests an immediate read of the whole table. It may be
	// nil.
	snapshotRequests chan struct{}
	// minInterval returns the minimum time between the starts of two calls. It
	// limits the call rate for a table that changes all the time. If it is nil,
	// there is no limit.
	minInterval func() time.Duration
	// idle reports whether following is suspended. If it is nil, the table is
	// always followed.
	idle func() bool
	// resumes says that the follower continues from its last revision after a
	// suspension. Otherwise it reads the whole table.
	resumes bool
	// snapshotAfter is the time since the last successful call after which the
	// whole table is read instead of its changes; 0 means never.
	snapshotAfter time.Duration
	// apply receives the rows as of a revision. If complete is set, they are the
	// whole table, otherwise the changes since the last call.
	apply func(rows []rpwire.Row, asOf rpfleet.Revision, complete bool)
	// onOutage is called once per outage; it may be nil.
	onOutage func()
	log      zerolog.Logger

	revision rpfleet.Revision
	synced   bool
	// calledAt is when the last call began, by the clock of the loop.
	calledAt       time.Time
	lastReadAt     time.Time
	failingSince   time.Time
	outageReported bool
}

// run follows the table until the context ends.
func (f *follower) run(ctx context.Context) {
	pause := initialRetryDelay
	for ctx.Err() == nil {
		if f.idle != nil && f.idle() && !f.waitSuspended(ctx) {
			continue
		}
		begin := time.Now()
		err := f.poll(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errPollAborted):
			f.log.Info().Str("table", string(f.table)).Err(err).Stringer("revision", f.revision).Dur("waited_ms", time.Since(begin)).
				Msg("restarting a long poll for table changes")
			f.synced = f.synced && !errors.Is(err, errNewerVersion)
		case errors.Is(err, rpwire.ErrHistoryLost):
			f.log.Warn().Str("table", string(f.table)).Stringer("revision", f.revision).
				Msg("the store no longer has the change history; reading the whole table")
			f.synced = false
			sleep(ctx, initialRetryDelay)
		case err != nil:
			f.recordFailure(err)
			sleep(ctx, pause)
			pause = min(2*pause, f.loop.storeRetry(err))
		default:
			f.recordSuccess()
			pause = initialRetryDelay
			if f.minInterval != nil {
				f.waitInterval(ctx, begin)
			}
		}
	}
}

// pollCheckInterval is how often a long poll in progress is checked against the
// current wait time.
const pollCheckInterval = 500 * time.Millisecond

// idleCheckInterval is how often a suspended follower checks whether to resume.
const idleCheckInterval = 200 * time.Millisecond

// waitSuspended waits for idleCheckInterval while following is suspended. It reports
// whether a read of the whole table was requested meanwhile.
func (f *follower) waitSuspended(ctx context.Context) bool {
	f.synced = f.synced && f.resumes
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-f.snapshotRequests:
		f.synced = false
		return true
	}
	return false
}

// intervalRecheck is how often waitInterval reads minInterval, which may become
// shorter in the meantime.
const intervalRecheck = 100 * time.Millisecond

// waitInterval waits until minInterval has passed since begin.
func (f *follower) waitInterval(ctx context.Context, begin time.Time) {
	for ctx.Err() == nil {
		left := f.minInterval() - time.Since(begin)
		if left <= 0 {
			return
		}
		sleep(ctx, min(left, intervalRecheck))
	}
}

// poll makes one call, for the whole table or for its changes, and applies the
// rows.
func (f *follower) poll(ctx context.Context) error {
	f.calledAt = f.loop.clock.Now()
	if f.snapshotAfter > 0 && time.Since(f.lastReadAt) > f.snapshotAfter {
		f.synced = false
	}
	if !f.synced {
		ctx, cancel := context.WithTimeout(ctx, f.loop.storeTimeout())
		defer cancel()
		rows, revision, err := f.store.List(ctx, f.table)
		if err != nil {
			return err
		}
		f.synced = true
		f.revision = revision
		f.lastReadAt = time.Now()
		f.apply(rows, revision, true)
		return nil
	}
	return f.pollChanges(ctx)
}

// Causes for aborting a long poll. The follower starts a new call after either.
var (
	errPollAborted  = errors.New("the long poll is out of date")
	errNewerVersion = fmt.Errorf("%w: a newer version is known", errPollAborted)
)

// pollChanges makes one long poll for changes of the table.
func (f *follower) pollChanges(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	begin, wait := time.Now(), f.pollWait()
	go f.watchPoll(ctx, cancel, begin)
	rows, revision, err := f.store.Changes(ctx, f.table, f.revision, wait)
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errPollAborted) {
		return cause
	}
	if err != nil {
		return err
	}
	f.revision = max(f.revision, revision)
	f.lastReadAt = time.Now()
	f.apply(rows, f.revision, false)
	return nil
}

// watchPoll aborts a long poll that takes longer than the current wait time, or
// when a read of the whole table is requested.
func (f *follower) watchPoll(ctx context.Context, cancel context.CancelCauseFunc, begin time.Time) {
	ticker := time.NewTicker(pollCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.snapshotRequests:
			cancel(errNewerVersion)
			return
		case <-ticker.C:
			if time.Since(begin) > f.pollWait()+f.loop.pollMargin() {
				cancel(errPollAborted)
				return
			}
		}
	}
}

func (f *follower) recordFailure(err error) {
	if f.failingSince.IsZero() {
		f.failingSince = time.Now()
		f.log.Warn().Str("table", string(f.table)).Err(err).Stringer("revision", f.revision).Msg("store call failed")
	}
	if !f.outageReported && time.Since(f.failingSince) >= outageAfter {
		f.outageReported = true
		f.log.Error().Str("table", string(f.table)).Err(err).Dur("failing_for_ms", time.Since(f.failingSince)).Msg("the store is unavailable")
		if f.onOutage != nil {
			f.onOutage()
		}
	}
}

func (f *follower) recordSuccess() {
	if f.outageReported {
		f.log.Info().Str("table", string(f.table)).Dur("lost_for_ms", time.Since(f.failingSince)).Msg("the store is available again")
	}
	f.failingSince = time.Time{}
	f.outageReported = false
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
