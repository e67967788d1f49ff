package rpsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcome is what a caller got for one request.
type outcome struct {
	id       string
	route    string
	body     string
	sentAt   time.Time
	endedAt  time.Time
	status   int
	answer   string
	whole    bool
	noAnswer bool
}

// callers send requests to all processes at a steady rate until they stop.
type callers struct {
	w        *world
	client   *http.Client
	mu       sync.Mutex
	outcomes []outcome
	running  sync.WaitGroup
	rng      *rand.Rand
	sent     int
}

const (
	requestInterval = 8 * time.Millisecond
	requestDeadline = 5 * time.Second
)

var routes = []string{"suggest", "suggest", "later", "place", "place", "stock"}

func newCallers(w *world, seed uint64) *callers {
	return &callers{w: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// run sends requests until the time is up and waits for their ends.
func (c *callers) run(ctx context.Context) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.running.Wait()
			return
		case <-ticker.C:
			c.sent++
			o := outcome{id: fmt.Sprintf("r%d", c.sent), route: routes[c.rng.IntN(len(routes))], body: fmt.Sprintf("body %d", c.sent)}
			model := modelName(c.rng.IntN(models))
			target := c.w.processes[c.rng.IntN(len(c.w.processes))]
			leaves := c.rng.IntN(20) == 0
			c.running.Go(func() { c.send(o, model, target, leaves) })
		}
	}
}

func (c *callers) send(o outcome, model string, target *process, leaves bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	if leaves {
		time.AfterFunc(100*time.Millisecond, cancel)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.callers.String()+"/"+o.route+"/x", strings.NewReader(o.body))
	if err != nil {
		panic(err)
	}
	// The transport must not send a request again by itself.
	req.GetBody = nil
	req.Host = "shop.example"
	req.Header.Set("X-Rattanpaddle-Attempt-Id", o.id)
	req.Header.Set("X-Rattanpaddle-Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	if o.route == "suggest" || o.route == "later" {
		req.Header.Set("X-Rattanpaddle-Model", model)
		req.Header.Set("X-Rattanpaddle-Token-Counts", "100,40")
	}
	o.sentAt = time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		o.noAnswer = true
	} else {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status, o.answer, o.whole = resp.StatusCode, string(body), err == nil
	}
	o.endedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// eventIDs returns the ids of the whole events of a stream.
func eventIDs(answer string) []string {
	var ids []string
	scanner := bufio.NewScanner(strings.NewReader(answer))
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
