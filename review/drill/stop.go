package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// playStop stops a machine while one of its requests waits in the queue of an engine. 6.2 s
// after SIGTERM, the engine rejects the request as not run, because the planner unloads
// the model for others. The request must still get an answer before the process ends.
// Without trouble, the machine is not stopped.
func playStop(d *drill) (bool, error) {
	routes := []route{
		{"/later/", "stream", "engines", 1, false, 6000, 15000},
		{"/tips/", "stream", "engines", 2, true, 500, 8000},
	}
	models := []string{"m0", "m1"}
	if err := d.putConfig(1, routes, models); err != nil {
		return false, err
	}
	e := &engine{
		drill: d, id: "e1", service: "engines", models: []string{"m0"}, onDisk: models, loadTime: 300 * time.Millisecond, slots: 2,
		answer: func(w http.ResponseWriter, r *http.Request, _ []byte) {
			w.Header().Set("Content-Type", "text/event-stream")
			if strings.HasPrefix(r.Header.Get(headerID), "long") {
				writeEvents(w, r, 1, 20, 500*time.Millisecond)
				return
			}
			writeEvents(w, r, 1, 3, 10*time.Millisecond)
		},
	}
	if err := e.start(); err != nil {
		return false, err
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
	planner, stopped := fronts[0], fronts[1]
	if d.leaseHolder() == stopped.name {
		planner, stopped = stopped, planner
	} else if d.leaseHolder() != planner.name {
		return false, errors.New("nobody is the planner")
	}
	d.notef("%s is the planner, %s is the machine to be stopped", planner.name, stopped.name)
	var running sync.WaitGroup
	send := func(g *gateway, id, path, model string) *answer {
		got := &answer{}
		running.Go(func() {
			c, err := d.dial(g.callers)
			if err != nil {
				got.err = err
				return
			}
			defer c.close()
			*got = c.do(http.MethodPost, path, id, "bag", 15*time.Second, headerModel+": "+model,
				"X-Rattanpaddle-Token-Counts: 60,12", "X-Rattanpaddle-Prompt-Prefix: a1:40,"+fmt.Sprintf("%x", id)+":20")
		})
		return got
	}
	send(planner, "long1", "/later/2f", "m0")
	send(planner, "long2", "/later/2f", "m0")
	time.Sleep(500 * time.Millisecond)
	queued := send(stopped, "queued", "/later/2f", "m0")
	time.Sleep(500 * time.Millisecond)
	if d.trouble {
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(6200 * time.Millisecond)
	send(planner, "other", "/tips/2f", "m1")
	running.Wait()
	if d.trouble {
		<-stopped.exited
		d.notef("%s has ended", stopped.name)
	}
	return queued.status == 0 || !queued.complete, nil
}
