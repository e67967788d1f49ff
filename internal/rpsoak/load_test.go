package rpsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// outcome is one request and the response that its caller received.
type outcome struct {
	rpfake.CallerResponse
	id     string
	route  string
	body   string
	sentAt time.Time
}

func (o *outcome) stream() bool { return o.route == "suggest" || o.route == "later" }

// atMostOnce reports whether the request may run at most once.
func (o *outcome) atMostOnce() bool { return o.route == "place" || o.route == "later" }

// loadGenerator sends requests of callers to the processes at a constant rate.
type loadGenerator struct {
	env       *environment
	client    *http.Client
	mu        sync.Mutex
	outcomes  []outcome
	running   sync.WaitGroup
	rng       *rand.Rand
	sentCount int
	// neverCancel disables the callers that disconnect early.
	neverCancel bool
	// chooseTarget returns the process for a request; nil chooses any at random.
	chooseTarget func(*rand.Rand) *process
}

const (
	requestInterval = 8 * time.Millisecond
	requestDeadline = 5 * time.Second
)

var routes = []string{"suggest", "suggest", "later", "place", "place", "stock"}

func newLoadGenerator(env *environment, seed uint64) *loadGenerator {
	return &loadGenerator{env: env, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// run sends requests until the context ends and waits for all responses.
func (c *loadGenerator) run(ctx context.Context) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.running.Wait()
			return
		case <-ticker.C:
			c.sentCount++
			o := outcome{id: fmt.Sprintf("r%d", c.sentCount), route: routes[c.rng.IntN(len(routes))], body: fmt.Sprintf("body %d", c.sentCount)}
			model := rpfake.ModelName(c.rng.IntN(modelCount))
			target := c.env.processes[c.rng.IntN(len(c.env.processes))]
			if c.chooseTarget != nil {
				target = c.chooseTarget(c.rng)
			}
			disconnects := c.rng.IntN(20) == 0 && !c.neverCancel
			c.running.Go(func() { c.send(o, model, target, disconnects) })
		}
	}
}

func (c *loadGenerator) send(o outcome, model string, target *process, disconnects bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	if disconnects {
		time.AfterFunc(100*time.Millisecond, cancel)
	}
	ask := rpfake.CallerRequest{ID: o.id, Path: "/" + o.route + "/x", Body: o.body, Deadline: requestDeadline}
	if o.stream() {
		ask.Model = model
	}
	o.sentAt = time.Now()
	var err error
	if o.CallerResponse, err = ask.Do(ctx, c.client, target.callerAddress); err != nil {
		panic(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}
