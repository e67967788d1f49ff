package rpmeasure

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// instance executes the effects of one State.
type instance struct {
	world      *World
	identity   rpcore.Identity
	state      rpcore.State
	alarmCount int
	// pollRounds counts the PollEngine effects for each engine, so that the
	// polling loop of an earlier effect stops.
	pollRounds map[rpcore.EndpointID]int
	attempts   map[rpcore.AttemptID]*engineAttempt
}

func (n *instance) reduce(ev rpcore.Event) {
	for _, effect := range n.state.Reduce(ev) {
		n.execute(effect)
	}
}

func (n *instance) execute(effect rpcore.Effect) {
	w := n.world
	switch effect := effect.(type) {
	case rpcore.SetAlarm:
		n.setAlarm(effect.At)
	case rpcore.StartAttempt:
		n.startAttempt(effect)
	case rpcore.CancelAttempt:
		if job := n.attempts[effect.Attempt]; job != nil {
			e := w.byID[string(job.Endpoint)].(*engine)
			w.after(w.linkDelay(n.identity.FailureDomain, e.member.FailureDomain), func() { e.cancel(job) })
		}
	case rpcore.RefuseRequest:
		call := w.calls[effect.Request]
		call.Refused, call.Code = w.now, string(effect.Refusal.Code)
	case rpcore.PollEngine:
		n.pollRounds[effect.Endpoint]++
		if effect.Interval > 0 {
			n.poll(effect, n.pollRounds[effect.Endpoint])
		}
	case rpcore.SendOrder:
		n.sendOrder(effect)
	case rpcore.ReadTable:
		w.after(readTime, func() {
			n.reduce(rpcore.TableReadDone{Stamp: w.stamp(), Op: effect.Op, Rows: w.table.read(effect.Keys, effect.Prefix)})
		})
	case rpcore.WriteTable:
		w.after(writeTime, func() {
			n.reduce(rpcore.TableWriteDone{Stamp: w.stamp(), Op: effect.Op, Outcome: w.table.write(effect.Writes)})
		})
	case rpcore.LoadDocument:
		w.after(readTime, func() {
			n.reduce(rpcore.DocumentLoaded{
				Stamp: w.stamp(), Service: effect.Service, Version: effect.Version, Hash: effect.Hash, Body: w.bodies[effect.Hash],
			})
		})
	case rpcore.SendPeer:
		to := w.byID[string(effect.To)].(*instance)
		w.after(w.linkDelay(n.identity.FailureDomain, to.identity.FailureDomain), func() {
			to.reduce(rpcore.PeerReceived{Stamp: w.stamp(), From: n.identity.Instance, Message: effect.Message})
		})
	}
}

func (n *instance) setAlarm(at time.Time) {
	n.alarmCount++
	alarm := n.alarmCount
	n.world.schedule(at, func() {
		if n.alarmCount == alarm {
			n.reduce(rpcore.Tick{Stamp: n.world.stamp()})
		}
	})
}

func (n *instance) startAttempt(start rpcore.StartAttempt) {
	w := n.world
	e := w.byID[string(start.Endpoint)].(*engine)
	job := &engineAttempt{StartAttempt: start, call: w.calls[start.Request], from: n}
	n.attempts[start.Attempt] = job
	w.after(w.linkDelay(n.identity.FailureDomain, e.member.FailureDomain), func() { e.submit(job) })
}

// deliverToInstance runs a function when a message from the engine arrives at the
// instance.
func (a *engineAttempt) deliverToInstance(run func(world *World)) {
	world := a.from.world
	e := world.byID[string(a.Endpoint)].(*engine)
	world.after(world.linkDelay(a.from.identity.FailureDomain, e.member.FailureDomain), func() { run(world) })
}

func (a *engineAttempt) reportFirstToken() {
	a.deliverToInstance(func(world *World) {
		if a.call.First.IsZero() {
			a.call.First = world.now
		}
		a.from.reduce(rpcore.AttemptFirstToken{Stamp: world.stamp(), Attempt: a.Attempt, Request: a.Request})
	})
}

func (a *engineAttempt) reportEnd(reason rpcore.AttemptReason, verdict rpverdict.Verdict) {
	a.deliverToInstance(func(world *World) {
		if reason == rpcore.AttemptComplete {
			a.call.Ended = world.now
		}
		delete(a.from.attempts, a.Attempt)
		a.from.reduce(rpcore.AttemptEnded{
			Stamp: world.stamp(), Attempt: a.Attempt, Request: a.Request, Reason: reason, Verdict: verdict,
		})
	})
}

// poll takes the report of an engine, delivers it after reportLag and repeats
// this until a later round begins.
func (n *instance) poll(poll rpcore.PollEngine, round int) {
	if n.pollRounds[poll.Endpoint] != round {
		return
	}
	w := n.world
	report := w.byID[string(poll.Endpoint)].(*engine).report()
	w.after(reportLag, func() { n.reduce(rpcore.EngineReported{Stamp: w.stamp(), Report: report}) })
	w.after(poll.Interval, func() { n.poll(poll, round) })
}

func (n *instance) sendOrder(o rpcore.SendOrder) {
	w := n.world
	e := w.byID[string(o.Endpoint)].(*engine)
	delay := w.linkDelay(n.identity.FailureDomain, e.member.FailureDomain)
	w.after(delay, func() {
		e.executeOrder(o, func(result rpcore.OrderResult) {
			w.after(delay, func() {
				n.reduce(rpcore.OrderAnswered{Stamp: w.stamp(), Order: o.Order, Endpoint: o.Endpoint, Result: result})
			})
		})
	})
}
