package rpaccount_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	simTick = 10 * time.Millisecond // property tests use a longer one
	// simLatency is the time of a message between two instances.
	simLatency = 10 * time.Millisecond
	// simTimeout is when an instance gives up a demand.
	simTimeout = time.Second
	// An instance that the planner has not answered for simPostAfter writes a report to
	// the store each simPostInterval. It takes simPostLatency to the planner.
	simPostAfter, simPostInterval, simPostLatency = 5 * time.Second, time.Second, 100 * time.Millisecond
	// simDomains is the number of failure domains.
	simDomains = 3
	// simLeastCost and simMostCost bound the costs of the requests in tokens.
	simLeastCost, simMostCost = 200, 40_000
	// simAccount is the account that is simulated.
	simAccount = "a"
)

// simLimits are the limits of the accounts deployment.
var simLimits = rpaccount.Limits{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}

// admission is one admitted request.
type admission struct {
	at   time.Duration
	cost float64
}

// simDemand is a demand on its way to the planner.
type simDemand struct {
	from    int
	process uint64
	sentAt  time.Time
	due     time.Time
	usages  []rpaccount.Usage
}

// simAnswer is a planner's answer on its way.
type simAnswer struct {
	to        int
	process   uint64
	asOf      time.Time
	due       time.Time
	summaries []rpaccount.Summary
}

type simInstance struct {
	meter      rpaccount.Meter
	account    rpaccount.Account // as this instance knows it
	process    uint64
	weight     float64
	nextReport time.Time
	sentAt     time.Time
	sending    bool
	answeredAt time.Time
	postedAt   time.Time
	cutOff     bool
	frozen     bool
	// isPlanner says that the instance works as the planner, pool is its state.
	isPlanner bool
	pool      *rpaccount.Pool
	seenAt    []time.Time
	reports   int
}

// simulation plays the requests of one account at many instances.
type simulation struct {
	random    *rand.Rand
	tick      time.Duration
	now       time.Time
	instances []*simInstance
	planner   int // the instance to which demands are sent; -1: none
	account   rpaccount.Account
	// load is the cost per second that callers offer.
	load func(elapsed time.Duration) float64
	cost func(r *rand.Rand) float64
	mean float64
	// noEarly turns early reports off.
	noEarly  bool
	interval time.Duration
	demands  []simDemand
	// posts are the reports on their way through the store. Instances write them if
	// storeReached is set.
	posts        []simDemand
	storeReached bool
	answers      []simAnswer
	admitted     []admission
	offers       []admission
	refusals     []admission
	events       []simEvent
	// local replaces the meters and the pool in a comparison.
	local func(now time.Time, i int, cost float64) bool
}

type simEvent struct {
	at  time.Duration
	run func(s *simulation)
}

func logUniform(least, most float64) (cost func(r *rand.Rand) float64, mean float64) {
	span := math.Log(most / least)
	return func(r *rand.Rand) float64 { return math.Round(least * math.Exp(span*r.Float64())) }, (most - least) / span
}

// newSimulation returns n instances with uneven shares of the load: the largest
// gets 8 times as much as the smallest.
func newSimulation(seed uint64, n int, quota rpaccount.Quota) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), tick: simTick, now: begin, account: rpaccount.Account{Name: simAccount, Quota: quota}}
	s.cost, s.mean = logUniform(simLeastCost, simMostCost)
	s.interval = max(500*time.Millisecond, time.Duration(n)*10*time.Millisecond)
	for range n {
		s.instances = append(s.instances, &simInstance{weight: math.Pow(8, s.random.Float64())})
	}
	for i := range n {
		s.restart(i)
	}
	s.normalize()
	s.become(0)
	return s
}

func (s *simulation) normalize() {
	total := 0.0
	for _, in := range s.instances {
		total += in.weight
	}
	for _, in := range s.instances {
		in.weight /= total
	}
}

func (s *simulation) directory() *rpaccount.Directory {
	return rpaccount.NewDirectory([]rpaccount.Account{s.account}, nil)
}

// restart starts a new process at an instance.
func (s *simulation) restart(i int) {
	in := s.instances[i]
	in.account = s.account
	in.meter = rpaccount.Meter{Limits: simLimits}
	in.meter.SetInstances(len(s.instances))
	in.meter.SetDirectory(s.now, s.directory())
	in.process++
	in.sending, in.isPlanner, in.pool = false, false, nil
	in.nextReport = s.now.Add(time.Duration(s.random.Float64() * float64(s.interval)))
}

// become makes an instance the planner.
func (s *simulation) become(i int) {
	in := s.instances[i]
	in.isPlanner, in.pool = true, &rpaccount.Pool{Limits: simLimits}
	in.pool.Adopt(s.now, &in.meter)
	in.pool.SetDirectory(s.now, s.directory())
	in.seenAt = make([]time.Time, len(s.instances))
	s.planner = i
}

func (s *simulation) setQuota(i int, q rpaccount.Quota) {
	in := s.instances[i]
	in.account.Quota = q
	d := rpaccount.NewDirectory([]rpaccount.Account{in.account}, nil)
	in.meter.SetDirectory(s.now, d)
	if in.pool != nil {
		in.pool.SetDirectory(s.now, d)
	}
}

func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for ; s.now.Before(end); s.now = s.now.Add(s.tick) {
		elapsed := s.now.Sub(begin)
		for len(s.events) > 0 && s.events[0].at <= elapsed {
			s.events[0].run(s)
			s.events = s.events[1:]
		}
		s.deliver()
		s.deliverPosts()
		perTick := s.load(elapsed) / s.mean * s.tick.Seconds()
		for i, in := range s.instances {
			s.arrive(i, elapsed, perTick*in.weight)
			s.report(i)
		}
	}
}

// arrive plays the arrivals at an instance in one tick.
func (s *simulation) arrive(i int, elapsed time.Duration, expected float64) {
	in := s.instances[i]
	for p := s.random.Float64(); p < expected; expected-- {
		if in.frozen {
			continue
		}
		cost := s.cost(s.random)
		s.offers = append(s.offers, admission{elapsed, cost})
		if s.admit(i, cost) {
			s.admitted = append(s.admitted, admission{elapsed, cost})
		} else {
			s.refusals = append(s.refusals, admission{elapsed, cost})
		}
	}
}

func (s *simulation) admit(i int, cost float64) bool {
	if s.local != nil {
		return s.local(s.now, i, cost)
	}
	in := s.instances[i]
	ok, _ := in.meter.Admit(s.now, &in.account, cost)
	return ok
}

func (s *simulation) report(i int) {
	in := s.instances[i]
	if in.frozen {
		return
	}
	if in.sending {
		in.sending = s.now.Sub(in.sentAt) < simTimeout
		return
	}
	early := !s.noEarly && in.meter.ReportDue(s.now)
	if s.now.Before(in.nextReport) && !early {
		return
	}
	in.nextReport = s.now.Add(s.interval)
	usages := in.meter.Report(s.now)
	in.reports++
	d := simDemand{from: i, process: in.process, sentAt: s.now, due: s.now.Add(simLatency), usages: usages}
	if in.isPlanner {
		d.due = s.now
		s.answer(i, &d, s.now)
		return
	}
	in.sending, in.sentAt = true, s.now
	if s.planner >= 0 && !in.cutOff {
		s.demands = append(s.demands, d)
	}
	if s.storeReached && s.now.Sub(in.answeredAt) >= simPostAfter && s.now.Sub(in.postedAt) >= simPostInterval {
		in.postedAt, d.due = s.now, s.now.Add(simPostLatency)
		s.posts = append(s.posts, d)
	}
}

// deliverPosts lets the planner read the reports in the store. It does not answer them.
func (s *simulation) deliverPosts() {
	posts := s.posts
	s.posts = nil
	for i := range posts {
		d := &posts[i]
		if d.due.After(s.now) || s.planner < 0 || s.instances[s.planner].frozen {
			s.posts = append(s.posts, *d)
			continue
		}
		s.instances[s.planner].pool.Record(s.now, simInstanceID(d.from), d.process, d.usages)
	}
}

// answer lets a planner answer a demand. The answer arrives at due.
func (s *simulation) answer(planner int, d *simDemand, due time.Time) {
	in := s.instances[planner]
	in.seenAt[d.from] = s.now
	for i, at := range in.seenAt {
		if !at.IsZero() && s.now.Sub(at) > 3*time.Second {
			in.pool.Forget(simInstanceID(i))
			in.seenAt[i] = time.Time{}
		}
	}
	in.pool.Record(s.now, simInstanceID(d.from), d.process, d.usages)
	s.answers = append(s.answers, simAnswer{d.from, d.process, d.sentAt, due, in.pool.Summarize(s.now, d.usages)})
}

func (s *simulation) deliver() {
	demands := s.demands
	s.demands = nil
	for i := range demands {
		d := &demands[i]
		if s.planner < 0 || s.instances[s.planner].cutOff || s.instances[d.from].cutOff || s.now.Sub(d.sentAt) >= simTimeout {
			continue
		}
		if d.due.After(s.now) || s.instances[s.planner].frozen {
			s.demands = append(s.demands, *d)
			continue
		}
		s.answer(s.planner, d, s.now.Add(simLatency))
	}
	answers := s.answers
	s.answers = nil
	for i := range answers {
		a := &answers[i]
		in := s.instances[a.to]
		if a.due.After(s.now) || in.frozen {
			s.answers = append(s.answers, *a)
			continue
		}
		if in.process != a.process || in.cutOff && a.to != s.planner {
			continue
		}
		in.sending, in.answeredAt = false, s.now
		in.meter.Apply(s.now, a.asOf, a.summaries)
	}
}

func simInstanceID(i int) rpcore.InstanceID { return rpcore.InstanceID(fmt.Sprintf("i%03d", i)) }

// worstWindow returns the largest admitted cost in any window that ends in the
// given time.
func (s *simulation) worstWindow(from, to time.Duration) float64 {
	sum, worst, first := 0.0, 0.0, 0
	for _, a := range s.admitted {
		sum += a.cost
		for ; s.admitted[first].at < a.at-simLimits.Window; first++ {
			sum -= s.admitted[first].cost
		}
		if a.at >= from && a.at < to {
			worst = max(worst, sum)
		}
	}
	return worst
}

// allowed is the limit of the rule for one window.
func allowed(q rpaccount.Quota) float64 {
	return (q.Rate*simLimits.Window.Seconds()+q.Burst)*(1+simLimits.Overage) + simLimits.Slack
}

func total(list []admission, from, to time.Duration) (cost float64, count int) {
	for _, a := range list {
		if a.at >= from && a.at < to {
			cost += a.cost
			count++
		}
	}
	return cost, count
}

// refusedBelow returns the share of the requests that were refused although the
// window had room for them.
func (s *simulation) refusedBelow(from, to time.Duration) float64 {
	quota := s.account.Quota
	room := quota.Rate*simLimits.Window.Seconds() + quota.Burst
	refused, sum, first, next := 0, 0.0, 0, 0
	for _, r := range s.refusals {
		for ; next < len(s.admitted) && s.admitted[next].at <= r.at; next++ {
			sum += s.admitted[next].cost
		}
		for ; first < next && s.admitted[first].at < r.at-simLimits.Window; first++ {
			sum -= s.admitted[first].cost
		}
		if r.at >= from && r.at < to && sum+r.cost <= room {
			refused++
		}
	}
	_, offered := total(s.offers, from, to)
	return float64(refused) / float64(max(offered, 1))
}
