package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["path"] = playPath }

// playPath sends requests whose path begins with two slashes, on a route with the prefix
// "/". Without trouble, the two slashes are further back in the path.
func playPath(d *drill) (bool, error) {
	const requests = 5
	if err := d.putConfig(1, []route{{"/", "non_idempotent", "orders", 1, false, 100, 2000}}, nil, "orders"); err != nil {
		return false, err
	}
	path, query := "//place/2f", "n=1"
	if !d.trouble {
		path = "/place//2f"
	}
	target := path + "?" + query
	var mu sync.Mutex
	ran, changed := 0, 0
	e := &engine{drill: d, id: "e1", service: "orders", answer: func(w http.ResponseWriter, r *http.Request, _ []byte) {
		mu.Lock()
		ran++
		if r.URL.Path != path || r.URL.RawQuery != query {
			changed++
			d.notef("UNASKED: the client sent %s %s, the engine runs %s %s: path %s of host %s", r.Method, target, r.Method, r.RequestURI, r.URL.Path, r.Host)
		}
		mu.Unlock()
		answerText(w, http.StatusOK, "placed")
	}}
	if err := e.start(); err != nil {
		return false, err
	}
	g, err := d.startGateway("front-1")
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for i := range requests {
		c, err := d.dial(g.callers)
		if err != nil {
			return false, err
		}
		c.do(http.MethodPost, target, fmt.Sprintf("p%d", i), "bag", 2*time.Second)
		c.close()
	}
	mu.Lock()
	defer mu.Unlock()
	if ran == 0 {
		return false, errors.New("the engine ran no request")
	}
	d.notef("%d of %d requests ran with another path", changed, ran)
	return changed > 0, nil
}
