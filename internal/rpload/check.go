package rpload

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Limits of a configuration.
const (
	maxRate     = 1_000_000 // requests/s
	maxDuration = 7 * 24 * time.Hour
	// maxRequests limits the time to compute the hash of the schedule before the
	// run starts.
	maxRequests = 1_000_000_000
	// maxPhases limits the memory of the histograms, which take up to 3 MB for
	// each rank of a phase.
	maxPhases     = 32
	maxInProgress = 1_000_000
	maxTokens     = 1_000_000
	maxZipf       = 10
)

// ConfigError lists all problems of a configuration.
type ConfigError struct {
	Problems []string
}

func (e *ConfigError) Error() string { return strings.Join(e.Problems, " ") }

// Check returns a *ConfigError that lists all problems, or nil.
func (c Config) Check() error {
	c = c.withDefaults()
	var p problems
	c.checkMix(&p)
	c.checkTimes(&p)
	c.checkPhases(&p)
	c.checkWakes(&p)
	c.checkSizes(&p)
	if len(p) == 0 {
		return nil
	}
	return &ConfigError{Problems: p}
}

type problems []string

func (p *problems) require(ok bool, format string, args ...any) {
	if !ok {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

func (c Config) checkMix(p *problems) {
	p.require(len(c.Targets) > 0, "There is no target.")
	p.require(len(c.Kinds) > 0, "There is no model and no route.")
	seen := map[string]bool{}
	weighted := false
	for _, kind := range c.Kinds {
		p.require(kind.valid(), "%q must have the form service/model, service/adapter or service/path and a weight above 0.", kind.Name())
		p.require(!seen[kind.Name()], "%q is given twice.", kind.Name())
		seen[kind.Name()] = true
		weighted = weighted || kind.Weight != 0
	}
	p.require(c.Zipf >= 0 && c.Zipf <= maxZipf, "The Zipf exponent must be from 0 to %d.", maxZipf)
	p.require(c.Zipf == 0 || !weighted, "A Zipf exponent can't be combined with weights.")
	for _, weight := range c.Ranks {
		p.require(weight >= 0 && !math.IsInf(weight, 0), "The weight of a rank must not be below 0.")
	}
}

func (c Config) checkTimes(p *problems) {
	p.require(c.Rate >= 0 && c.Rate <= maxRate, "The rate must be from 0 to %d requests/s.", maxRate)
	p.require(c.Duration > 0 && c.Duration <= maxDuration, "The duration must be above 0 and at most %v.", maxDuration)
	p.require(c.Arrivals == Poisson || c.Arrivals == Constant, "%q is not an arrival process. Write %s or %s.", c.Arrivals, Poisson, Constant)
	p.require(c.Rate > 0 || len(c.Bursts)+len(c.Wakes) > 0, "The rate is 0 and there is no burst and no wake-up, so no request would be sent.")
	p.require(c.Patience > 0 && c.Wait > 0 && c.LateAllowance > 0, "The patience, the wait and the late allowance must not be below 0.")
	for _, timeout := range c.Timeouts {
		p.require(timeout >= 0, "A timeout must not be below 0.")
	}
}

func (c Config) checkPhases(p *problems) {
	p.require(1+len(c.Bursts)+len(c.Wakes) <= maxPhases, "There are more than %d bursts and wake-ups.", maxPhases-1)
	total := c.Rate * c.Duration.Seconds()
	for _, burst := range c.Bursts {
		p.require(c.withinDuration(burst.Start, burst.Duration), "The burst %s is not within the duration.", burst)
		p.require(burst.Rate > 0 && burst.Rate <= maxRate, "The rate of the burst %s must be above 0 and at most %d requests/s.", burst, maxRate)
		total += burst.Rate * burst.Duration.Seconds()
	}
	p.require(total <= maxRequests, "The schedule has more than %d requests.", maxRequests)
	end := time.Duration(0)
	for _, gap := range sortedGaps(c.Gaps) {
		p.require(c.withinDuration(gap.Start, gap.Duration), "The gap %s is not within the duration.", gap)
		p.require(gap.Start >= end, "The gap %s overlaps another one.", gap)
		end = gap.Start + gap.Duration
	}
}

func (c Config) checkWakes(p *problems) {
	woken := 0
	for _, wake := range c.Wakes {
		p.require(c.withinDuration(wake.Start, wake.Within), "The wake-up %s is not within the duration.", wake)
		p.require(wake.Count > 0, "The wake-up %s needs at least one model.", wake)
		woken += max(wake.Count, 0)
	}
	others := 0
	if c.Rate > 0 || len(c.Bursts) > 0 {
		others = 1
	}
	p.require(woken == 0 || woken+others <= len(c.Kinds), "The wake-ups need %d models; %d are given, and other requests need %d.", woken, len(c.Kinds), others)
}

func (c Config) checkSizes(p *problems) {
	p.require(c.InProgressLimit > 0 && c.InProgressLimit <= maxInProgress, "The limit of requests in progress must be from 1 to %d.", maxInProgress)
	p.require(c.PromptTokens > 0 && c.PromptTokens <= maxTokens, "The tokens of a prompt must be from 1 to %d.", maxTokens)
	p.require(c.MaxTokens > 0 && c.MaxTokens <= maxTokens, "The tokens of an answer must be from 1 to %d.", maxTokens)
}

// withinDuration reports whether a phase that begins at start and has the given
// length lies within Duration.
func (c Config) withinDuration(start, length time.Duration) bool {
	return start >= 0 && length > 0 && start <= c.Duration && length <= c.Duration-start
}
