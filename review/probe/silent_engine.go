package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	// silenceTime is how long an engine is silent: the "second or so" that the pages
	// allow a sound server.
	silenceTime = 1200 * time.Millisecond
	// stopAfter is the time from the begin of the silence to the SIGTERM.
	stopAfter = 300 * time.Millisecond
)

// silentEngine stops the machine that gives the orders as planned, while one engine is
// silent for 1.2 s. Orders of this machine and of the next holder to one engine must be
// lease_ms apart.
func silentEngine(ctx context.Context, l *lab) error {
	config := &rpfake.Config{Version: 1, ModelService: "assistant", PlainService: "shop", Models: orderModels, RemoteLoad: 6}
	config.Routes = config.StandardRoutes()
	if err := l.store.PutConfig(config); err != nil {
		return err
	}
	models := make([]string, orderModels)
	for i := range models {
		models[i] = rpfake.ModelName(i)
	}
	for i := range 2 {
		if _, err := l.startEngine(fmt.Sprintf("i-%d", i+1), models[3*i:3*i+3], models); err != nil {
			return err
		}
	}
	machines := make([]*machine, 3)
	for i := range machines {
		zone := string(rune('a' + i))
		m, err := l.addMachine("front-zone-"+zone+"-1", "zone-"+zone, fmt.Sprintf("127.0.14.%d", i+1), true)
		if err != nil {
			return err
		}
		machines[i] = m
	}
	if err := l.awaitReady(ctx, machines...); err != nil {
		return err
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { l.askForModels(traffic, machines[i%len(machines)]) })
	}
	pause(ctx, 5*time.Second)
	engine, holder := l.lastOrderedEngine()
	at := slices.IndexFunc(machines, func(m *machine) bool { return m.name == holder })
	if at < 0 {
		return fmt.Errorf("no order was given, or by an unknown holder %q", holder)
	}
	if !l.steady {
		_ = engine.cmd.Process.Signal(syscall.SIGSTOP)
		l.note("engine %s falls silent", engine.id)
	}
	pause(ctx, stopAfter)
	if l.trouble {
		machines[at].signal(syscall.SIGTERM)
	}
	pause(ctx, silenceTime-stopAfter)
	if !l.steady {
		_ = engine.cmd.Process.Signal(syscall.SIGCONT)
		l.note("engine %s goes on", engine.id)
	}
	pause(ctx, 8*time.Second)
	stopTraffic()
	callers.Wait()
	if ctx.Err() != nil {
		return errors.New("the case took too long")
	}
	for _, e := range l.engines {
		l.judgeTurns(e)
	}
	return nil
}

// lastOrderedEngine returns the engine that accepted the last order, and its holder.
func (l *lab) lastOrderedEngine() (engine *engineProcess, holder string) {
	var at time.Time
	for _, e := range l.engines {
		for _, order := range e.acceptedOrders() {
			if order.At.After(at) {
				engine, holder, at = e, order.Holder, order.At
			}
		}
	}
	return engine, holder
}

// judgeTurns checks the time between orders of two holders to an engine.
func (l *lab) judgeTurns(e *engineProcess) {
	var last engineOrder
	for _, order := range e.acceptedOrders() {
		l.note("engine %s accepted an order of %s at %.3f", e.id, order.Holder, order.At.Sub(l.begin).Seconds())
		if gap := order.At.Sub(last.At); last.Holder != "" && order.Holder != last.Holder {
			l.note("engine %s: %s follows %s after %d ms", e.id, order.Holder, last.Holder, gap.Milliseconds())
			if gap < leaseTime {
				l.breaks("ONE: engine %s got an order of %s only %d ms after one of %s; lease_ms is %d", e.id, order.Holder, gap.Milliseconds(), last.Holder, leaseTime.Milliseconds())
			}
		}
		last = order
	}
}
