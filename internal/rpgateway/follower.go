package rpgateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

const (
	// initialRetryDelay is the first pause after a call that failed.
	initialRetryDelay = 100 * time.Millisecond
	// outageAfter is the time without an answer from which the store counts as
	// lost. Single calls fail on a sound store too.
	outageAfter = time.Second
	// snapshotTimeout bounds a reading of a whole table, changesMargin the answer
	// to a call that waits for changes, beyond the wait.
	snapshotTimeout   = 2 * time.Second
	pollTimeoutMargin = 1500 * time.Millisecond
)

// follower keeps up with a table of the store.
type follower struct {
	store *rpwire.Store
	table rpwire.Table
	// pollWait returns how long a call waits for changes. It may become shorter
	// while a call is under way.
	pollWait func() time.Duration
	// maxRetryDelay returns the longest pause after a call that failed.
	maxRetryDelay func() time.Duration
	// snapshotRequests asks for a reading of the whole table at once; nil never does.
	snapshotRequests chan struct{}
	// minInterval returns the least time between two calls, which bounds the calls
	// for a table that changes all the time.
	minInterval func() time.Duration
	// idle says that the table is not followed now; nil never does.
	idle func() bool
	// snapshotAfter is the time since the last reading after which the whole
	// table is read in place of its changes; 0 stands for never.
	snapshotAfter time.Duration
	// apply takes in rows as of a revision; complete says that they are the whole
	// table.
	apply func(rows []rpwire.Row, asOf uint64, complete bool)
	// onOutage is called once for each outage.
	onOutage func()
	log      zerolog.Logger

	revision       uint64
	synced         bool
	lastReadAt     time.Time
	failingSince   time.Time
	outageReported bool
}

// run follows the table until the context ends.
func (f *follower) run(ctx context.Context) {
	pause := initialRetryDelay
	for ctx.Err() == nil {
		if f.idle != nil && f.idle() {
			f.synced = false
			sleep(ctx, idleCheckInterval)
			continue
		}
		begin := time.Now()
		err := f.poll(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errPollAborted):
			f.log.Info().Str("table", string(f.table)).Err(err).Uint64("revision", f.revision).Dur("waited_ms", time.Since(begin)).
				Msg("a call that waits for changes is repeated")
			f.synced = f.synced && !errors.Is(err, errNewerVersion)
		case errors.Is(err, rpwire.ErrHistoryLost):
			f.log.Warn().Str("table", string(f.table)).Uint64("revision", f.revision).
				Msg("the store has lost its history; the table is read in full")
			f.synced = false
			sleep(ctx, initialRetryDelay)
		case err != nil:
			f.recordFailure(err)
			sleep(ctx, pause)
			pause = min(2*pause, f.maxRetryDelay())
		default:
			f.recordSuccess()
			pause = initialRetryDelay
			if f.minInterval != nil {
				f.waitInterval(ctx, begin)
			}
		}
	}
}

// pollCheckInterval is the time between two looks at a call that waits.
const pollCheckInterval = 500 * time.Millisecond

// idleCheckInterval is the time between two looks at whether a table is to be followed.
const idleCheckInterval = 500 * time.Millisecond

// intervalRecheck is the time between two looks at an interval that may have
// become shorter.
const intervalRecheck = 100 * time.Millisecond

// waitInterval waits until the interval since begin has passed.
func (f *follower) waitInterval(ctx context.Context, begin time.Time) {
	for ctx.Err() == nil {
		left := f.minInterval() - time.Since(begin)
		if left <= 0 {
			return
		}
		sleep(ctx, min(left, intervalRecheck))
	}
}

// poll makes one call and hands on what it brought.
func (f *follower) poll(ctx context.Context) error {
	if f.snapshotAfter > 0 && time.Since(f.lastReadAt) > f.snapshotAfter {
		f.synced = false
	}
	if !f.synced {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
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

// Causes of the end of a call that waits for changes, after which it is made
// again.
var (
	errPollAborted  = errors.New("the call has waited for longer than it should by now")
	errNewerVersion = fmt.Errorf("%w: there is a newer version", errPollAborted)
)

// pollChanges waits for changes of the table.
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

// watchPoll ends a call that has waited for longer than is right by now, or of whose
// table a newer version is known.
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
			if time.Since(begin) > f.pollWait()+pollTimeoutMargin {
				cancel(errPollAborted)
				return
			}
		}
	}
}

func (f *follower) recordFailure(err error) {
	if f.failingSince.IsZero() {
		f.failingSince = time.Now()
		f.log.Warn().Str("table", string(f.table)).Err(err).Uint64("revision", f.revision).Msg("a call to the store failed")
	}
	if !f.outageReported && time.Since(f.failingSince) >= outageAfter {
		f.outageReported = true
		f.log.Error().Str("table", string(f.table)).Err(err).Dur("failing_for_ms", time.Since(f.failingSince)).Msg("the store is lost")
		if f.onOutage != nil {
			f.onOutage()
		}
	}
}

func (f *follower) recordSuccess() {
	if f.outageReported {
		f.log.Info().Str("table", string(f.table)).Dur("lost_for_ms", time.Since(f.failingSince)).Msg("the store is back")
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
