package rpserve

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpsettings"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Instance is one entry instance.
type Instance struct {
	// Settings must have been validated by rpsettings.
	Settings *rpsettings.Settings
	Log      rplog.Log
	// Started, if set, is called once the instance listens.
	Started func()
	// Seed is the seed of the reducer's random numbers; 0 means a random seed.
	Seed uint64
}

const (
	// startTimeout limits the time to open the listeners.
	startTimeout = 15 * time.Second
	// stopMargin is the part of the stop timeout for deregistration and for closing
	// the links, in addition to the drain times.
	stopMargin = 10 * time.Second
)

// Run starts the instance and serves until ctx ends or a listener fails, then
// performs a planned stop.
func (i Instance) Run(ctx context.Context) error {
	var c *components
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(i.stopTimeout()),
		fx.Supply(i.Settings, i.Log, i.startEvent()),
		fx.Provide(
			newTimeline, newNode, newObserver, newMetrics, newEndpoints, newCallerServer,
			newTable, newObjects, newList, newLinks, newOperator, newComponents,
		),
		fx.Invoke(connectHandlers),
		fx.Populate(&c),
	)
	if err := app.Err(); err != nil {
		return trace.Wrap(err, "building the instance")
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return trace.Wrap(err, "starting the instance")
	}
	if i.Started != nil {
		i.Started()
	}
	select {
	case <-ctx.Done():
	case err := <-c.failed:
		c.log.Error().Err(err).Msg("A listener failed. The instance stops.")
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), i.stopTimeout())
	defer cancelStop()
	return trace.Wrap(app.Stop(stopCtx))
}

func (i Instance) stopTimeout() time.Duration {
	return time.Duration(i.Settings.Drain.Grace) + time.Duration(i.Settings.Drain.Timeout) + stopMargin
}

// startEvent returns the first event for the reducer.
func (i Instance) startEvent() rpcore.Start {
	seed := i.Seed
	if seed == 0 {
		seed = mathrand.Uint64()
	}
	limits := i.Settings.CoreLimits()
	limits.DrainTimeout = time.Duration(i.Settings.Drain.Timeout)
	return rpcore.Start{
		Self: rpcore.Identity{
			Instance:      rpcore.InstanceID(i.Settings.Instance.Name),
			Incarnation:   newIncarnation(),
			FailureDomain: rpcore.FailureDomain(i.Settings.Instance.FailureDomain),
		},
		Operators: i.Settings.OperatorsAddress(),
		Seed:      seed,
		Limits:    limits,
		Policy:    i.Settings.CorePolicy(),
	}
}

// newIncarnation returns a name that is unique to this run of the process.
func newIncarnation() rpcore.Incarnation {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return rpcore.Incarnation(fmt.Sprintf("%x-%s", time.Now().UnixMilli(), hex.EncodeToString(random[:])))
}
