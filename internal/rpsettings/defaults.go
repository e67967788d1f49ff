package rpsettings

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Bounds of a settings file.
const (
	// MaxBodyBytes is the maximum size of a settings file.
	MaxBodyBytes = 64 << 10
	// MaxFileBytes is the maximum size of each file that the settings name.
	MaxFileBytes = 1 << 20
	// MaxBootstrapEditors is the maximum length of operators.bootstrap_editors.
	MaxBootstrapEditors = 1000
)

// Defaults of optional keys. The defaults of the reducer's limits are in rpcore.
const (
	DefaultListInterval       = Duration(time.Second)
	DefaultRequestBodyBytes   = 4 << 20
	DefaultRequestHeaderBytes = 32 << 10
	DefaultHeaderTimeout      = Duration(10 * time.Second)
	DefaultBodyTimeout        = Duration(30 * time.Second)
	DefaultIdleTimeout        = Duration(2 * time.Minute)
	// DefaultGrace is enough for a balancer to probe /readyz twice, at an
	// interval of one second.
	DefaultGrace = Duration(2 * time.Second)
)

func defaults() *Settings {
	return &Settings{
		Platform: Platform{ListInterval: DefaultListInterval},
		Limits: Limits{
			WeightLoads:          rpcore.DefaultWeightLoads,
			WeightLoadsPerSecond: rpcore.DefaultWeightLoadsPerSecond,
			AdapterLoads:         rpcore.DefaultAdapterLoads,
			EngineConcurrency:    rpcore.DefaultEngineConcurrency,
			RequestsInProgress:   rpcore.DefaultRequestsInProgress,
			ColdStartEstimate:    Duration(rpcore.DefaultColdStartEstimate),
			ListLag:              Duration(rpcore.DefaultListLag),
			RequestBodyBytes:     DefaultRequestBodyBytes,
			RequestHeaderBytes:   DefaultRequestHeaderBytes,
			HeaderTimeout:        DefaultHeaderTimeout,
			BodyTimeout:          DefaultBodyTimeout,
			IdleTimeout:          DefaultIdleTimeout,
		},
		Drain: Drain{Grace: DefaultGrace, Timeout: Duration(rpcore.DefaultDrainTimeout)},
		Log:   Log{Format: LogFormat(rplog.FormatJSON)},
	}
}
