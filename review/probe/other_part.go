package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	// draftPart is the part of the row that holds the operator's next configuration.
	draftPart = "draft"
	// routePath is a path of the route that the next configuration moves.
	routePath = "/stock/1"
	// oldService is the service of that route, newService the one that the next
	// configuration moves it to.
	oldService = "shop"
	newService = "depot"
	// configBound is the bound config_apply_ms.
	configBound = 2 * time.Second
)

// otherPart writes the next configuration into another part of the operator's table,
// where it is not in force. No request may run at a service that only the next
// configuration names.
func otherPart(ctx context.Context, l *lab) error {
	current, next, err := twoConfigs()
	if err != nil {
		return err
	}
	if err := l.store.Put("op", "config", current); err != nil {
		return err
	}
	for i, service := range []string{oldService, newService} {
		plain := &rpfake.Endpoint{ID: fmt.Sprintf("i-%d", i+1), Service: service, Zone: "zone-a", Slots: 6, ResponseDelay: 15 * time.Millisecond}
		if err := l.addEndpoint(ctx, plain); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := l.addMachine(fmt.Sprintf("front-zone-a-%d", i+1), "zone-a", fmt.Sprintf("127.0.13.%d", i+1), true); err != nil {
			return err
		}
	}
	if err := l.awaitReady(ctx, l.machines...); err != nil {
		return err
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var callers sync.WaitGroup
	for _, m := range l.machines {
		callers.Go(func() { l.lookUp(traffic, m) })
	}
	pause(ctx, 3*time.Second)
	if l.trouble {
		if err := writeRow(ctx, l.storeAt.String(), "op", draftPart, "config", next); err != nil {
			return err
		}
		l.note("the operator wrote version 2 to the table op, part %q, key config; op/config has version 1", draftPart)
	}
	pause(ctx, 2*configBound)
	stopTraffic()
	callers.Wait()
	if ctx.Err() != nil {
		return errors.New("the case took too long")
	}
	for _, arrival := range l.endpoints[1].Arrivals() {
		if arrival.Ran {
			l.breaks("ROUTE: request %s (%s) ran at service %q at %.3f; op/config allows %q only", arrival.ID, arrival.Path, newService, arrival.At.Sub(l.begin).Seconds(), oldService)
		}
	}
	return nil
}

// twoConfigs returns the configuration in force and the next one, which moves a route to
// another service.
func twoConfigs() (current, next []byte, err error) {
	scratch := &rpfake.Store{}
	config := &rpfake.Config{Version: 1, ModelService: "assistant", PlainService: oldService, Models: 1, RemoteLoad: 6}
	config.Routes = config.StandardRoutes()
	if err := scratch.PutConfig(config); err != nil {
		return nil, nil, err
	}
	var body map[string]any
	if err := json.Unmarshal(scratch.Value("op", "config"), &body); err != nil {
		return nil, nil, err
	}
	body["services"] = append(body["services"].([]any), map[string]any{"name": newService})
	if current, err = json.Marshal(body); err != nil {
		return nil, nil, err
	}
	body["version"] = 2
	for _, route := range body["routes"].([]any) {
		if r := route.(map[string]any); r["name"] == "stock" {
			r["service"] = newService
		}
	}
	next, err = json.Marshal(body)
	return current, next, err
}

// lookUp sends requests on the route, one after the other.
func (l *lab) lookUp(ctx context.Context, m *machine) {
	client := &http.Client{Transport: &http.Transport{}}
	for ctx.Err() == nil {
		request := rpfake.CallerRequest{ID: rpfake.NewID(), Path: routePath, Method: http.MethodGet, Deadline: 4 * time.Second}
		response, err := request.Do(ctx, client, m.callers)
		if err != nil {
			return
		}
		l.note("request %s to %s: status %d, signed by %q, complete: %t", request.ID, m.name, response.Status, response.Signer(), response.Complete)
		pause(ctx, 50*time.Millisecond)
	}
}
