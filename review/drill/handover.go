package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["handover"] = playHandover }

const (
	// callerInterval is the time between two requests of the clients.
	callerInterval = 30 * time.Millisecond
	// handoverEngines is the number of engines: one of them is a share of 0.2. Each
	// holds one model at a time, so that the models take turns.
	handoverEngines = 5
	handoverModels  = 12
)

// playHandover cuts one engine of five off from the store until its entry is removed. The entry
// is back a second later. Between the two, the planner gets SIGTERM. The engine takes
// orders all the while. Without trouble, the engine is not cut off.
func playHandover(d *drill) (bool, error) {
	var models []string
	for i := range handoverModels {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	if err := d.putConfig(1, []route{{"/tips/", "stream", "engines", 2, true, 500, 8000}}, models); err != nil {
		return false, err
	}
	engines := make([]*engine, handoverEngines)
	for i := range engines {
		engines[i] = &engine{
			drill: d, id: fmt.Sprintf("e%d", i+1), service: "engines", models: []string{models[i]}, onDisk: slices.Clone(models), loadTime: 300 * time.Millisecond,
			answer: func(w http.ResponseWriter, r *http.Request, _ []byte) {
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvents(w, r, 1, 3, 10*time.Millisecond)
			},
		}
		if err := engines[i].start(); err != nil {
			return false, err
		}
	}
	e := engines[0]
	var fronts [2]*gateway
	for i := range fronts {
		g, err := d.startGateway(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return false, err
		}
		fronts[i] = g
	}
	// The clients use one machine until they are moved to the other.
	var target atomic.Pointer[gateway]
	target.Store(fronts[1])
	stop := d.sendModelRequests(&target, models)
	defer stop()
	time.Sleep(4 * time.Second)
	planner, other := fronts[0], fronts[1]
	if e.lastHolder() == other.name {
		planner, other = other, planner
	} else if e.lastHolder() != planner.name {
		return false, errors.New("nobody gives orders")
	}
	d.notef("%s is the planner", planner.name)
	target.Store(other)
	if d.trouble {
		d.notef("engine e1 is cut off from the store")
		e.setSilent(true)
		time.Sleep(entryLapse)
		d.notef("the platform removes the entry of e1 after three heartbeat intervals of silence")
		d.store.Remove("servers", e.id)
	} else {
		time.Sleep(entryLapse)
	}
	time.Sleep(500 * time.Millisecond)
	planner.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if d.trouble {
		d.notef("engine e1 reaches the store again")
		e.setSilent(false)
	}
	time.Sleep(6 * time.Second)
	stop()
	broken := false
	for _, checked := range engines {
		broken = checked.checkTurns() || broken
	}
	return broken, nil
}

// sendModelRequests sends requests for the models in turn until the returned function
// is called.
func (d *drill) sendModelRequests(target *atomic.Pointer[gateway], models []string) func() {
	done := make(chan struct{})
	var once sync.Once
	var running sync.WaitGroup
	running.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(callerInterval):
			}
			running.Go(func() {
				c, err := d.dial(target.Load().callers)
				if err != nil {
					return
				}
				defer c.close()
				model := models[i%len(models)]
				c.do(http.MethodPost, "/tips/2f", fmt.Sprintf("r%d", i), "bag", 8*time.Second, headerModel+": "+model,
					"X-Rattanpaddle-Token-Counts: 60,12", fmt.Sprintf("X-Rattanpaddle-Prompt-Prefix: a1:40,%x:20", i))
			})
		}
	})
	return func() {
		once.Do(func() { close(done) })
		running.Wait()
	}
}

func (e *engine) lastHolder() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.orders) == 0 {
		return ""
	}
	return e.orders[len(e.orders)-1].holder
}

// checkTurns reports whether two holders gave the engine orders within leaseGap.
func (e *engine) checkTurns() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	broken := false
	for i := 1; i < len(e.orders); i++ {
		before, order := e.orders[i-1], e.orders[i]
		if before.holder == order.holder {
			continue
		}
		gap := order.at.Sub(before.at)
		e.drill.notef("engine %s: holder %s, token %d, follows holder %s, token %d, after %d ms", e.id, order.holder, order.fence, before.holder, before.fence, gap.Milliseconds())
		broken = broken || gap < leaseGap
	}
	return broken
}
