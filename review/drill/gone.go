package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["gone"] = playGone }

const (
	goneEngines  = 3
	goneInterval = 50 * time.Millisecond
	// orderWork is the time that an engine works on an order.
	orderWork = 300 * time.Millisecond
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
	// servesOn is how long an engine serves on after its entry was removed: the bound
	// of draining and some seconds more.
	servesOn = drainBound + 4*time.Second
)

// playGone kills the planner just before the entry of an engine is removed that leaves
// without a report. The platform starts the planner again. The clients send orders to
// another machine, which is not disturbed. Without trouble, the planner is not killed.
func playGone(d *drill) (bool, error) {
	if err := d.putConfig(1, []route{{"/place/", "non_idempotent", "orders", 1, false, 100, 4000}}, nil, "orders"); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var leftAt time.Time
	late, lost := 0, 0
	engines := make([]*engine, goneEngines)
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		engines[i] = &engine{drill: d, id: id, service: "orders", answer: func(w http.ResponseWriter, r *http.Request, _ []byte) {
			mu.Lock()
			if i == 0 && !leftAt.IsZero() && time.Since(leftAt) > drainBound {
				late++
				d.notef("DRAIN: %s reached e0 %d ms after its entry was removed", r.Header.Get(headerID), time.Since(leftAt).Milliseconds())
			}
			mu.Unlock()
			time.Sleep(orderWork)
			answerText(w, http.StatusOK, "placed")
		}}
		if err := engines[i].start(); err != nil {
			return false, err
		}
	}
	var fronts [2]*gateway
	for i := range fronts {
		g, err := d.startGateway(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return false, err
		}
		fronts[i] = g
	}
	time.Sleep(3 * time.Second)
	planner, other := fronts[0], fronts[1]
	if d.leaseHolder() == other.name {
		planner, other = other, planner
	} else if d.leaseHolder() != planner.name {
		return false, errors.New("nobody is the planner")
	}
	d.notef("%s is the planner; the clients use %s", planner.name, other.name)
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(goneInterval):
			}
			running.Go(func() {
				c, err := d.dial(other.callers)
				if err != nil {
					return
				}
				defer c.close()
				a := c.do(http.MethodPost, "/place/2f", fmt.Sprintf("o%d", i), "bag", 4*time.Second)
				if a.status != http.StatusOK {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	if d.trouble {
		planner.signal(syscall.SIGKILL)
		<-planner.exited
	}
	time.Sleep(100 * time.Millisecond)
	d.notef("e0 leaves: its entry is removed, and it serves on for %s", servesOn)
	mu.Lock()
	leftAt = time.Now()
	mu.Unlock()
	engines[0].mu.Lock()
	engines[0].silent = true
	engines[0].mu.Unlock()
	d.store.Remove("servers", engines[0].id)
	time.Sleep(restartDelay - 100*time.Millisecond)
	if d.trouble {
		if err := planner.start(); err != nil {
			return false, err
		}
		if err := planner.waitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(servesOn - restartDelay)
	d.notef("e0 ends")
	engines[0].stop()
	time.Sleep(3 * time.Second)
	close(done)
	running.Wait()
	d.notef("%d orders reached e0 later than %s after it had left; %d orders were not served", late, drainBound, lost)
	return late > 0, nil
}
