package rpaccount

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
)

const (
	// minRetryAfter is the least Retry-After of a refusal.
	minRetryAfter = 200 * time.Millisecond
	// evenShare is the part of each quota that is divided equally, so that an
	// instance without recent requests has a share.
	evenShare = 0.1
	// jumpFactor is the offered cost, as a multiple of the quota's rate, from
	// which an account must be protected by early reports.
	jumpFactor = 7.5
	// overdraft is the part of the reserve that a single request may use. The
	// rest is for requests that other instances admit at the same time.
	overdraft = 0.25
	// leastWarm is the least time that a rate is calculated from. After a
	// shorter time one request would count as a high rate.
	leastWarm = time.Second
	// openAhead is the part of the excess until the next report, and openLevel
	// the part of the bucket, that the level must hold so that an account above
	// its rate is admitted without regard to the share. Less lets the use swing;
	// more leaves credit unused at instances with few requests.
	openAhead = 0.5
	openLevel = 0.5
	// coveredReserve is the part of the reserve that is used while a report is
	// not answered. With 0.5, a jump of the load in the moment at which the
	// planner fails exceeds the limit.
	coveredReserve = 0.35
	// unansweredRate is the part of the rate that is used while the planner does
	// not answer. The shares of restarted instances and the rounding of large
	// costs are not corrected in that time.
	unansweredRate = 0.85
	// largeUse is the part of the reserve from which own use is reported early.
	largeUse = 0.125
)

// reportMark is the use that was reported at a time.
type reportMark struct {
	at   time.Time
	used float64
}

// meteredAccount is a meter's state of one account.
type meteredAccount struct {
	bucket
	quota   Quota
	offered rpreducer.DecayingSum
	usedAt  time.Time
	// warmFrom is when the process began to count what is offered.
	warmFrom time.Time
	// marks are the last two reports. An answer to the last but one may arrive
	// after the last one was sent.
	marks      [2]reportMark
	unreported float64
	// known says that there was a summary, which is as of summaryOf and was
	// applied at appliedAt. level and total are its values, share is this
	// instance's part of total, unsummed the own use that it does not contain.
	known                bool
	summaryOf, appliedAt time.Time
	level, total, share  float64
	unsummed             float64
	// allowance is this instance's part of the bucket at accruedAt.
	allowance float64
	accruedAt time.Time
	// debt is what the instance used above its allowance while no planner
	// answered. A new planner does not know of it.
	debt      float64
	debtUntil time.Time
	// phase is the remainder of the rounding in passesShare.
	phase float64
}

func newMeteredAccount(now time.Time, name string, q Quota, m *Meter) *meteredAccount {
	s := &meteredAccount{quota: q, bucket: m.Limits.bucket(q), phase: phase(now, name), appliedAt: now, accruedAt: now}
	s.level = -s.extra
	s.warmFrom = m.startedAt
	s.total = q.Rate
	s.share = 1 / m.instanceCount()
	s.allowance = s.share * (s.startLevel() + s.extra)
	s.marks[0].used, s.marks[1].used = m.used[name], m.used[name]
	return s
}

// phase returns a number in [0, 1) that differs between instances, so that they
// do not admit large requests at the same moment.
func phase(now time.Time, account string) float64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(account), uint64(now.UnixNano())))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// offeredPerSecond returns the offered cost per second. The sum of a process that
// has just started covers less than its window.
func (s *meteredAccount) offeredPerSecond(now time.Time) float64 {
	covered := 1 - rpreducer.Decay(max(now.Sub(s.warmFrom), leastWarm), shareWindow)
	return s.offered.Get(now, shareWindow) / shareWindow.Seconds() / covered
}

// missing returns how much is missing in the quota's bucket for a request. All
// instances together are expected to use what they offer, at most the rate.
func (s *meteredAccount) missing(now time.Time, cost float64) float64 {
	need := min(cost-overdraft*s.reserve, s.depth)
	return need - s.estimate(now, min(s.total, s.quota.Rate))
}

// isOpen reports whether requests are admitted without regard to the share: the
// summary is fresh, the bucket not expected to be empty before the next one, and
// the own use is either covered or reported.
func (s *meteredAccount) isOpen(now time.Time, m *Meter) bool {
	if !s.isFresh(now, m) {
		return false
	}
	excess := max(s.total-s.quota.Rate, 0) * m.interval().Seconds()
	flow := s.total
	if now.Sub(s.summaryOf) > m.freshFor() {
		flow = max(flow, s.quota.Rate)
	}
	if s.estimate(now, flow) <= min(openAhead*excess, openLevel*s.depth) {
		return false
	}
	return !m.awaitsAnswer() || s.unsummed <= s.covered(now)
}

// covered returns the own use that the reserve covers if all instances use as
// much of their shares.
func (s *meteredAccount) covered(now time.Time) float64 {
	accrued := s.quota.Rate * now.Sub(s.appliedAt).Seconds()
	return s.share * (s.level + s.extra + coveredReserve*s.reserve + accrued)
}

// isFresh reports whether the summary is fresh. That of an account without own
// use is renewed less often.
func (s *meteredAccount) isFresh(now time.Time, m *Meter) bool {
	fresh := m.freshFor()
	if !s.known || m.answerIsLate(now) {
		return false
	}
	if now.Sub(s.summaryOf) <= fresh {
		return true
	}
	return s.unsummed <= 0 && now.Sub(m.contactOf) <= fresh && now.Sub(s.summaryOf) <= fresh+fullReportInterval
}

// estimate returns the expected level above the empty bucket, if all instances
// together use flow per second and this one what it has used.
func (s *meteredAccount) estimate(now time.Time, flow float64) float64 {
	elapsed := now.Sub(s.appliedAt).Seconds()
	own := s.unsummed - s.share*flow*elapsed
	return min(s.level+s.extra+(s.quota.Rate-flow)*elapsed-own, s.depth)
}

// passesShare reports whether a request passes the instance's allowance. A cost
// above the allowance passes in proportion: over many requests and instances,
// the admitted costs add up to the allowances. If each instance could overdraw
// by one request, 75 instances could use 75 large requests at once.
func (s *meteredAccount) passesShare(cost float64) bool {
	if s.allowance <= 0 {
		return false
	}
	part := min(1, s.allowance/cost)
	s.allowance -= part * cost
	s.phase += part
	if s.phase < 1 {
		return false
	}
	s.phase--
	return true
}

// accrue adds the share of the rate since the last call.
func (s *meteredAccount) accrue(now time.Time, m *Meter) {
	if !s.known {
		s.share = 1 / m.instanceCount()
	}
	rate := s.quota.Rate
	if m.answerIsLate(now) {
		rate *= unansweredRate
	}
	elapsed := max(now.Sub(s.accruedAt).Seconds(), 0)
	s.allowance = min(s.allowance+s.share*rate*elapsed, s.share*s.depth)
	s.accruedAt = now
}

func (s *meteredAccount) setQuota(now time.Time, q Quota, limits Limits) {
	s.quota, s.bucket = q, limits.bucket(q)
	s.level = max(min(s.level, q.Burst), s.leastLevel)
	s.allowance = min(s.allowance, s.share*s.depth)
	s.accruedAt = now
}

// retryAfter returns when the allowance is expected to be positive and the
// missing part of the bucket to be there.
func (s *meteredAccount) retryAfter(missing float64, longest time.Duration) time.Duration {
	if s.quota.Rate <= 0 {
		return longest
	}
	seconds := missing / s.quota.Rate
	if s.allowance < 0 && s.share > 0 {
		seconds = max(seconds, -s.allowance/(s.share*s.quota.Rate))
	}
	if seconds >= longest.Seconds() {
		return longest
	}
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

func (s *meteredAccount) mark(now time.Time, used float64) {
	s.marks[1] = s.marks[0]
	s.marks[0] = reportMark{now, used}
	s.unreported = 0
}

// isOutside reports whether the own use since the last report is outside what
// the last summary allowed for.
func (s *meteredAccount) isOutside(now time.Time, m *Meter) bool {
	if !s.known {
		return s.marks[0].at.Before(s.usedAt)
	}
	if s.unreported <= 0 {
		return false
	}
	if now.Sub(s.summaryOf) > m.freshFor() {
		return true
	}
	if s.unreported > largeUse*s.reserve {
		return true
	}
	if s.level+s.extra+s.reserve >= jumpFactor*s.quota.Rate*m.interval().Seconds() {
		return false
	}
	return s.unreported > s.share*s.total*now.Sub(s.marks[0].at).Seconds()
}

func (s *meteredAccount) apply(now, asOf time.Time, summary *Summary, m *Meter) {
	if asOf.Before(s.summaryOf) {
		return
	}
	s.carryDebt(now, asOf, m)
	own := s.offeredPerSecond(now)
	even := 1 / m.instanceCount()
	s.known = true
	s.summaryOf, s.appliedAt, s.accruedAt = asOf, now, now
	s.level = float64(summary.Level)
	s.total = max(float64(summary.Offered), own)
	s.share = even
	if s.total > 0 {
		s.share = (own/s.total + evenShare*even) / (1 + evenShare)
	}
	s.unsummed = m.used[summary.Account] - s.reportedUse(asOf)
	s.allowance = min(s.share*(s.level+s.extra)-s.unsummed, s.share*s.depth) - s.debt
}

// carryDebt keeps a debt from a time without answers until the share of the rate
// has repaid it, for a window at most.
func (s *meteredAccount) carryDebt(now, asOf time.Time, m *Meter) {
	s.debt = max(s.debt-s.share*s.quota.Rate*now.Sub(s.appliedAt).Seconds(), 0)
	if now.After(s.debtUntil) {
		s.debt = 0
	}
	if s.known && asOf.Sub(s.summaryOf) > m.freshFor() {
		s.accrue(now, m)
		s.debt, s.debtUntil = max(-s.allowance, 0), now.Add(m.Limits.window())
	}
}

// reportedUse returns the use that was reported by a time.
func (s *meteredAccount) reportedUse(asOf time.Time) float64 {
	for _, mark := range s.marks {
		if !mark.at.After(asOf) {
			return mark.used
		}
	}
	return s.marks[len(s.marks)-1].used
}
