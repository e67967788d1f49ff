package rpgateway

import (
	"fmt"
	"os"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpsettings"
	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Settings are the settings of one instance on the platform.
type Settings struct {
	Instance rpsettings.Instance `toml:"instance"`
	Listen   Listen              `toml:"listen"`
	Store    StoreSettings       `toml:"store"`
	Retries  Retries             `toml:"retries"`
	Planner  Planner             `toml:"planner"`
	Members  Members             `toml:"members"`
	Accounts Accounts            `toml:"accounts"`
	Drain    Drain               `toml:"drain"`
	Log      rpsettings.Log      `toml:"log"`
	Limits   Limits              `toml:"limits"`
}

// Listen holds the addresses that the instance listens on.
type Listen struct {
	Callers   rpsettings.Address `toml:"callers"`
	Readiness rpsettings.Address `toml:"readiness"`
	Peers     rpsettings.Address `toml:"peers"`
	Metrics   rpsettings.Address `toml:"metrics"`
}

// StoreSettings holds the address of the platform's store.
type StoreSettings struct {
	Address rpsettings.Address `toml:"address"`
}

// Retries limits the retries of all instances together. The first attempt of a
// request is not a retry.
type Retries struct {
	Ratio  float64             `toml:"ratio"`
	Slack  float64             `toml:"slack"`
	Window rpsettings.Duration `toml:"window"`
}

// Planner limits the orders to engines.
type Planner struct {
	// HolderGap is the minimum time between orders of two instances to one
	// engine.
	HolderGap rpsettings.Duration `toml:"holder_gap"`
	// FirstStart says that the whole system starts for the first time, so that no
	// instance was the planner before.
	FirstStart bool `toml:"first_start"`
	// CPUShare is the share of a CPU core that the instance may use. Instances
	// with a larger share are preferred as the planner.
	CPUShare float64 `toml:"cpu_share"`
	// WeightLoads is the planner's initial limit of concurrent loads from the
	// weight store. It learns from load times how many run at full speed.
	WeightLoads int `toml:"weight_loads"`
}

// Members limits how long changes of the endpoint list and of the configuration may
// take to apply.
type Members struct {
	// LeavingBound is the time after which an endpoint that leaves must get no
	// new work.
	LeavingBound rpsettings.Duration `toml:"leaving_bound"`
	// ConfigBound is the time after which a new configuration must be in force.
	ConfigBound rpsettings.Duration `toml:"config_bound"`
}

// Accounts limits what client accounts may do. It has an effect only if the
// configuration has accounts.
type Accounts struct {
	// StrictWithdrawal refuses keys while the configuration is not confirmed, so that
	// a withdrawn key is not accepted later than WithdrawalBound.
	StrictWithdrawal bool                `toml:"strict_withdrawal"`
	WithdrawalBound  rpsettings.Duration `toml:"withdrawal_bound"`
	// In any QuotaWindow, an account may use (rate x window + burst) x (1 +
	// QuotaOverage) + QuotaSlack. QuotaSlack is in tokens.
	QuotaWindow  rpsettings.Duration `toml:"quota_window"`
	QuotaOverage float64             `toml:"quota_overage"`
	QuotaSlack   float64             `toml:"quota_slack"`
}

// Drain limits a planned stop.
type Drain struct {
	// BalancerDelay is how long the balancer takes to notice that the instance
	// is not ready.
	BalancerDelay rpsettings.Duration `toml:"balancer_delay"`
	// Timeout limits the whole stop.
	Timeout rpsettings.Duration `toml:"timeout"`
}

// Limits of the settings.
const (
	maxRatio       = 10
	maxSlack       = 100000
	maxTime        = rpsettings.Duration(10 * time.Minute)
	maxWeightLoads = 1000
	maxOverage     = 10
	maxQuotaSlack  = 1e12
	minCPUShare    = 0.001
	maxCPUShare    = 1024
)

// LoadSettings reads and checks a settings file. It returns either the settings
// or all problems.
func LoadSettings(file string) (*Settings, []rpsettings.Problem) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, []rpsettings.Problem{{File: file, Problem: rpdocument.Problem{
			Code: rptoml.CodeFileUnreadable, Wrong: fmt.Sprintf("The file can't be read: %s.", err),
			Fix: "Name a file that exists and that this process may read.",
		}}}
	}
	return ParseSettings(file, body)
}

// ParseSettings parses and checks the content of a settings file. The file name
// is used in problems only.
func ParseSettings(file string, body []byte) (*Settings, []rpsettings.Problem) {
	settings := &Settings{}
	settings.Log.Format = rpsettings.LogFormat(rplog.FormatJSON)
	report := rptoml.Decode(body, settings)
	if !report.Unreadable() {
		settings.check(report)
	}
	found := report.Problems()
	if len(found) == 0 {
		return settings, nil
	}
	problems := make([]rpsettings.Problem, len(found))
	for i := range found {
		problems[i] = rpsettings.Problem{File: file, Problem: rpdocument.Problem(found[i])}
	}
	return nil, problems
}

func (s *Settings) check(r *rptoml.Report) {
	for _, key := range []struct{ name, example string }{
		{"instance.name", `"front-1"`},
		{"instance.failure_domain", `"west-a"`},
		{"listen.callers", `"10.0.0.5:8080"`},
		{"listen.readiness", `"10.0.0.5:8081"`},
		{"listen.peers", `"10.0.0.5:8082"`},
		{"store.address", `"10.0.0.9:8000"`},
	} {
		rptoml.Require(r, key.name, key.example)
	}
	rptoml.CheckRange(r, "retries.ratio", s.Retries.Ratio, 0, maxRatio)
	rptoml.CheckRange(r, "retries.slack", s.Retries.Slack, 0, maxSlack)
	rptoml.CheckRange(r, "retries.window", s.Retries.Window, 0, maxTime)
	rptoml.CheckRange(r, "planner.holder_gap", s.Planner.HolderGap, 0, maxTime)
	rptoml.CheckRange(r, "planner.cpu_share", s.Planner.CPUShare, minCPUShare, maxCPUShare)
	rptoml.CheckRange(r, "planner.weight_loads", s.Planner.WeightLoads, 1, maxWeightLoads)
	rptoml.CheckRange(r, "members.leaving_bound", s.Members.LeavingBound, 0, maxTime)
	rptoml.CheckRange(r, "members.config_bound", s.Members.ConfigBound, 0, maxTime)
	rptoml.CheckRange(r, "accounts.withdrawal_bound", s.Accounts.WithdrawalBound, 0, maxTime)
	rptoml.CheckRange(r, "accounts.quota_window", s.Accounts.QuotaWindow, 0, maxTime)
	rptoml.CheckRange(r, "accounts.quota_overage", s.Accounts.QuotaOverage, 0, maxOverage)
	rptoml.CheckRange(r, "accounts.quota_slack", s.Accounts.QuotaSlack, 0, maxQuotaSlack)
	rptoml.CheckRange(r, "drain.balancer_delay", s.Drain.BalancerDelay, 0, maxTime)
	rptoml.CheckRange(r, "drain.timeout", s.Drain.Timeout, 0, maxTime)
	s.Limits.check(r)
	if s.Drain.Timeout > 0 && s.Drain.BalancerDelay >= s.Drain.Timeout {
		r.Add("drain.balancer_delay", rptoml.CodeContradiction, "The delay is not shorter than drain.timeout.", "Write a shorter delay.")
	}
}

// policy returns the settings that the reducer uses.
func (s *Settings) policy() rpfleet.Policy {
	return rpfleet.Policy{
		RetryRatio:   s.Retries.Ratio,
		RetrySlack:   s.Retries.Slack,
		RetryWindow:  time.Duration(s.Retries.Window),
		HolderGap:    time.Duration(s.Planner.HolderGap),
		FirstStart:   s.Planner.FirstStart,
		LeavingBound: time.Duration(s.Members.LeavingBound),
		ConfigBound:  time.Duration(s.Members.ConfigBound),
		CPUShare:     s.Planner.CPUShare,
		WeightLoads:  s.Planner.WeightLoads,

		StrictWithdrawal: s.Accounts.StrictWithdrawal,
		WithdrawalBound:  time.Duration(s.Accounts.WithdrawalBound),
		QuotaWindow:      time.Duration(s.Accounts.QuotaWindow),
		QuotaOverage:     s.Accounts.QuotaOverage,
		QuotaSlack:       s.Accounts.QuotaSlack,
	}
}

func (s *Settings) identity() rpcore.Identity {
	return rpcore.Identity{
		Instance:      rpcore.InstanceID(s.Instance.Name),
		FailureDomain: rpcore.FailureDomain(s.Instance.FailureDomain),
	}
}
