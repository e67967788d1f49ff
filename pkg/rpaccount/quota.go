package rpaccount

import (
	"math"
	"time"
)

// Unit is what a quota counts.
type Unit string

const (
	// UnitRequests counts requests. It is the unit of the zero Quota.
	UnitRequests Unit = "requests"
	// UnitTokens counts tokens of prompts and outputs.
	UnitTokens Unit = "tokens"
)

const (
	// shareWindow is the time constant of the offered cost per second, from
	// which the shares of the instances are derived. It is long enough to
	// average the few requests per second of one instance, and short enough
	// for callers that move to other instances.
	shareWindow = 4 * time.Second
	// lagReserve is the part of the overage and slack, in seconds of the
	// quota's rate, that is kept for use that the planner has not heard of:
	// reports are up to 0.75 s old at 75 instances, and accounts may offer four
	// times their rate.
	lagReserve = 1.2
	// extraShare is the part of the overage and slack above lagReserve that is
	// added to the burst, and leastExtraShare the part of all of it that is
	// added in any case. Without it an account with a burst of less than a few
	// large requests is refused although its window is almost empty.
	extraShare      = 0.4
	leastExtraShare = 0.15
	// defaultWindow is used if the limits have no window.
	defaultWindow = 8 * time.Second
)

// Quota is the limit of one account. The zero value is no limit.
type Quota struct {
	// Rate is in units per second. Burst is in units.
	Rate, Burst float64
	Unit        Unit
	// PlainCost is the cost in tokens of a request without token counts.
	PlainCost float64
}

// Account is a client account. Rank is valid if HasRank is set.
type Account struct {
	Name    string
	Rank    int
	HasRank bool
	Quota   Quota
}

// Usage is one instance's use of an account's quota.
type Usage struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Used is the cost charged minus the cost refunded since the process
	// started.
	Used int64
	// Offered is the cost of all requests per second, including refused ones.
	Offered int
}

// Summary is the planner's view of an account's quota.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Offered is the cost per second that all instances report.
	Offered int
	// Level is the cost left in the quota's bucket. It is negative in debt.
	Level int64
}

// Limits are the limits of the deployment. In any Window, an account may use
// (Rate x Window + Burst) x (1 + Overage) + Slack. Slack is in tokens.
type Limits struct {
	Window         time.Duration
	Overage, Slack float64
}

// Cost returns the cost of a request: prompt and output tokens, PlainCost if
// counted is false, 1 for UnitRequests.
func (q Quota) Cost(promptTokens, outputTokens int, counted bool) float64 {
	switch {
	case q.Unit != UnitTokens:
		return 1
	case !counted:
		return max(0, q.PlainCost)
	default:
		return float64(max(promptTokens, 0)) + float64(max(outputTokens, 0))
	}
}

// IsZero reports whether the quota is no limit.
func (q Quota) IsZero() bool { return q.Rate <= 0 && q.Burst <= 0 }

func (l Limits) window() time.Duration {
	if l.Window <= 0 {
		return defaultWindow
	}
	return l.Window
}

// margin returns how much more than Rate x Window + Burst may be used in a
// window.
func (l Limits) margin(q Quota) float64 {
	margin := l.Overage * (q.Rate*l.window().Seconds() + q.Burst)
	if q.Unit == UnitTokens {
		margin += l.Slack
	}
	return margin
}

// bucket holds the sizes that follow from a quota and the limits.
type bucket struct {
	// depth is the burst and the part of the margin that is added to it. A
	// level of -extra is an empty bucket.
	depth, extra float64
	// reserve is the part of the margin that is kept for use that is not known
	// yet.
	reserve float64
	// most is the largest cost that a window can hold.
	most float64
	// leastLevel bounds the debt to what the rate repays within the window.
	leastLevel float64
}

func (l Limits) bucket(q Quota) bucket {
	margin, perWindow := l.margin(q), q.Rate*l.window().Seconds()
	extra := max(extraShare*(margin-lagReserve*q.Rate), leastExtraShare*margin)
	return bucket{
		depth: q.Burst + extra, extra: extra, reserve: margin - extra,
		most: perWindow + q.Burst + margin, leastLevel: -extra - perWindow,
	}
}

// startLevel is the level that is assumed if nothing is known of the use so far:
// an empty bucket and a part of the reserve.
func (b *bucket) startLevel() float64 { return startReserve*b.reserve - b.extra }

// startReserve is the part of the reserve that a new planner without any
// knowledge hands out, so that accounts below their limit are served.
const startReserve = 0.125

// wholeUnits rounds up to whole units, so that a small rate does not become none.
func wholeUnits(rate float64) int { return int(math.Ceil(rate)) }
