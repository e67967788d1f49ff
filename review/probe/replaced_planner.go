package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	// orderModels is the number of models that callers ask for. An engine holds three
	// of them, so the planner gives orders all the time.
	orderModels = 9
	// leaseTime is the bound lease_ms: orders of two machines to one engine must be
	// that far apart.
	leaseTime = 3 * time.Second
	// replacementDelay is the x of replace_core: how much later the new machine comes.
	replacementDelay = time.Second
)

// replacedPlanner removes the machine that gave the last order for good. A new machine
// comes one second later at another address, with the roles and the node name of the old
// one. Orders of the two machines to one engine must be lease_ms apart.
func replacedPlanner(ctx context.Context, l *lab) error {
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
		engine := &rpfake.Endpoint{
			ID: fmt.Sprintf("i-%d", i+1), Service: "assistant", Zone: "zone-a", Slots: 8, Events: 4, EventDelay: 20 * time.Millisecond,
			LoadTime: 100 * time.Millisecond, Models: slices.Clone(models[3*i : 3*i+3]), OnDisk: slices.Clone(models),
		}
		if err := l.addEndpoint(ctx, engine); err != nil {
			return err
		}
	}
	machines := make([]*machine, 3)
	for i := range machines {
		zone := string(rune('a' + i))
		m, err := l.addMachine("front-zone-"+zone+"-1", "zone-"+zone, fmt.Sprintf("127.0.10.%d", i+1), true)
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
	holder, _ := l.lastOrder()
	at := slices.IndexFunc(machines, func(m *machine) bool { return m.name == holder })
	if at < 0 {
		return fmt.Errorf("no order was given, or by an unknown holder %q", holder)
	}
	old := machines[at]
	l.note("the holder is %s on machine %s", old.name, old.ip)
	var killedAt time.Time
	if l.trouble {
		old.signal(syscall.SIGKILL)
		<-old.exited
		killedAt = time.Now()
		pause(ctx, replacementDelay)
		name := old.name
		if l.rename {
			name += "-new"
		}
		if _, err := l.addMachine(name, old.zone, "127.0.10.9", false); err != nil {
			return err
		}
	}
	pause(ctx, 8*time.Second)
	stopTraffic()
	callers.Wait()
	if ctx.Err() != nil {
		return errors.New("the case took too long")
	}
	l.judgeHolders(old, killedAt)
	return nil
}

// askForModels sends requests for changing models, one after the other.
func (l *lab) askForModels(ctx context.Context, m *machine) {
	client := &http.Client{Transport: &http.Transport{}}
	for ctx.Err() == nil {
		request := rpfake.CallerRequest{ID: rpfake.NewID(), Path: "/suggest/1", Model: rpfake.ModelName(rand.IntN(orderModels)), Deadline: 4 * time.Second}
		response, err := request.Do(ctx, client, m.callers)
		l.note("request %s for %s to %s: status %d, signed by %q, complete: %t", request.ID, request.Model, m.name, response.Status, response.Signer(), response.Complete)
		if err != nil || response.Status != http.StatusOK {
			pause(ctx, 200*time.Millisecond)
		}
	}
}

// lastOrder returns the holder of the last order that an engine accepted.
func (l *lab) lastOrder() (holder string, at time.Time) {
	for _, e := range l.endpoints {
		for _, order := range e.Orders() {
			if order.At.After(at) {
				holder, at = order.Holder, order.At
			}
		}
	}
	return holder, at
}

// judgeHolders checks the orders to each engine. All orders with the name of the old
// machine before its end are its own, and all later ones those of the new machine.
func (l *lab) judgeHolders(old *machine, killedAt time.Time) {
	for _, e := range l.endpoints {
		lastMachine, lastAt := "", time.Time{}
		for _, order := range e.Orders() {
			from := order.Holder
			if from == old.name {
				from += " on the first machine"
				if !killedAt.IsZero() && order.At.After(killedAt) {
					from = order.Holder + " on the new machine"
				}
			}
			l.note("engine %s accepted an order of %s at %.3f", e.ID, from, order.At.Sub(l.begin).Seconds())
			if lastMachine != "" && from != lastMachine && order.At.Sub(lastAt) < leaseTime {
				l.breaks("ONE: engine %s got an order of %s only %d ms after one of %s; lease_ms is %d",
					e.ID, from, order.At.Sub(lastAt).Milliseconds(), lastMachine, leaseTime.Milliseconds())
			}
			lastMachine, lastAt = from, order.At
		}
	}
}
