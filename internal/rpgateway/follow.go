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
	// followRetry is the first pause after a call that failed.
	followRetry = 100 * time.Millisecond
	// outageAfter is the time without an answer from which the store counts as
	// lost. Single calls fail on a sound store too.
	outageAfter = time.Second
	// listTimeout bounds a reading of a whole table, changesMargin the answer
	// to a call that waits for changes, beyond the wait.
	listTimeout   = 2 * time.Second
	changesMargin = 1500 * time.Millisecond
)

// follower keeps up with a table of the store.
type follower struct {
	store *rpwire.Store
	table rpwire.Table
	// wait returns how long a call waits for changes. It may become shorter
	// while a call is under way.
	wait func() time.Duration
	// retry returns the longest pause after a call that failed.
	retry func() time.Duration
	// reread asks for a reading of the whole table at once; nil never does.
	reread chan struct{}
	// interval returns the least time between two calls, which bounds the calls
	// for a table that changes all the time.
	interval func() time.Duration
	// idle says that the table is not followed now; nil never does.
	idle func() bool
	// snapshotAfter is the time since the last reading after which the whole
	// table is read in place of its changes; 0 stands for never.
	snapshotAfter time.Duration
	// apply takes in rows as of a revision; complete says that they are the whole
	// table.
	apply func(rows []rpwire.Row, asOf uint64, complete bool)
	// lost is called once for each outage.
	lost func()
	log  zerolog.Logger

	revision uint64
	known    bool
	readAt   time.Time
	failedAt time.Time
	reported bool
}

// run follows the table until the context ends.
func (f *follower) run(ctx context.Context) {
	pause := followRetry
	for ctx.Err() == nil {
		if f.idle != nil && f.idle() {
			f.known = false
			sleep(ctx, idleCheck)
			continue
		}
		begin := time.Now()
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errRepeated):
			f.log.Info().Str("table", string(f.table)).Err(err).Uint64("revision", f.revision).Dur("waited_ms", time.Since(begin)).
				Msg("a call that waits for changes is repeated")
			f.known = f.known && !errors.Is(err, errNewer)
		case errors.Is(err, rpwire.ErrHistoryLost):
			f.log.Warn().Str("table", string(f.table)).Uint64("revision", f.revision).
				Msg("the store has lost its history; the table is read in full")
			f.known = false
			sleep(ctx, followRetry)
		case err != nil:
			f.failed(err)
			sleep(ctx, pause)
			pause = min(2*pause, f.retry())
		default:
			f.succeeded()
			pause = followRetry
			if f.interval != nil {
				f.pause(ctx, begin)
			}
		}
	}
}

// guardInterval is the time between two looks at a call that waits.
const guardInterval = 500 * time.Millisecond

// idleCheck is the time between two looks at whether a table is to be followed.
const idleCheck = 500 * time.Millisecond

// intervalCheck is the time between two looks at an interval that may have
// become shorter.
const intervalCheck = 100 * time.Millisecond

// pause waits until the interval since begin has passed.
func (f *follower) pause(ctx context.Context, begin time.Time) {
	for ctx.Err() == nil {
		left := f.interval() - time.Since(begin)
		if left <= 0 {
			return
		}
		sleep(ctx, min(left, intervalCheck))
	}
}

// step makes one call and hands on what it brought.
func (f *follower) step(ctx context.Context) error {
	if f.snapshotAfter > 0 && time.Since(f.readAt) > f.snapshotAfter {
		f.known = false
	}
	if !f.known {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		rows, revision, err := f.store.List(ctx, f.table)
		if err != nil {
			return err
		}
		f.known = true
		f.revision = revision
		f.readAt = time.Now()
		f.apply(rows, revision, true)
		return nil
	}
	return f.changes(ctx)
}

// Causes of the end of a call that waits for changes, after which it is made
// again.
var (
	errRepeated = errors.New("the call has waited for longer than it should by now")
	errNewer    = fmt.Errorf("%w: there is a newer version", errRepeated)
)

// changes waits for changes of the table.
func (f *follower) changes(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	begin, wait := time.Now(), f.wait()
	go f.guard(ctx, cancel, begin)
	rows, revision, err := f.store.Changes(ctx, f.table, f.revision, wait)
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errRepeated) {
		return cause
	}
	if err != nil {
		return err
	}
	f.revision = max(f.revision, revision)
	f.readAt = time.Now()
	f.apply(rows, f.revision, false)
	return nil
}

// guard ends a call that has waited for longer than is right by now, or of whose
// table a newer version is known.
func (f *follower) guard(ctx context.Context, cancel context.CancelCauseFunc, begin time.Time) {
	ticker := time.NewTicker(guardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.reread:
			cancel(errNewer)
			return
		case <-ticker.C:
			if time.Since(begin) > f.wait()+changesMargin {
				cancel(errRepeated)
				return
			}
		}
	}
}

func (f *follower) failed(err error) {
	if f.failedAt.IsZero() {
		f.failedAt = time.Now()
		f.log.Warn().Str("table", string(f.table)).Err(err).Uint64("revision", f.revision).Msg("a call to the store failed")
	}
	if !f.reported && time.Since(f.failedAt) >= outageAfter {
		f.reported = true
		f.log.Error().Str("table", string(f.table)).Err(err).Dur("failing_for_ms", time.Since(f.failedAt)).Msg("the store is lost")
		if f.lost != nil {
			f.lost()
		}
	}
}

func (f *follower) succeeded() {
	if f.reported {
		f.log.Info().Str("table", string(f.table)).Dur("lost_for_ms", time.Since(f.failedAt)).Msg("the store is back")
	}
	f.failedAt = time.Time{}
	f.reported = false
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
