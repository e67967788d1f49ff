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
	// endedAt is when the caller had read the response.
	endedAt time.Time
	model   string
	prompt  []rpfake.PromptPart
	// deadlyPart is the part of the prompt that crashes engines, or "".
	deadlyPart string
	// account and key are the account of the caller and the key that it sent.
	account, key string
	// target is the name of the process that the request was sent to.
	target string
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
	// choosePrompt returns the prompt of a request with a model; nil chooses the
	// default one.
	choosePrompt func(*rand.Rand) []rpfake.PromptPart
	// chooseKey returns the account and the key of a request; nil sends none.
	chooseKey func(*rand.Rand) (account, key string)
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
func (g *loadGenerator) run(ctx context.Context) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			g.running.Wait()
			return
		case <-ticker.C:
			g.sentCount++
			o := outcome{id: fmt.Sprintf("r%d", g.sentCount), route: routes[g.rng.IntN(len(routes))], body: fmt.Sprintf("body %d", g.sentCount)}
			o.model = rpfake.ModelName(g.rng.IntN(g.env.shape.models))
			if g.choosePrompt != nil {
				o.prompt = g.choosePrompt(g.rng)
			}
			if g.chooseKey != nil {
				o.account, o.key = g.chooseKey(g.rng)
			}
			target := g.env.processes[g.rng.IntN(len(g.env.processes))]
			if g.chooseTarget != nil {
				target = g.chooseTarget(g.rng)
			}
			disconnects := g.rng.IntN(20) == 0 && !g.neverCancel
			g.running.Go(func() { g.send(o, target, disconnects) })
		}
	}
}

func (g *loadGenerator) send(o outcome, target *process, disconnects bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	if disconnects {
		time.AfterFunc(100*time.Millisecond, cancel)
	}
	request := rpfake.CallerRequest{ID: o.id, Path: "/" + o.route + "/x", Body: o.body, Deadline: requestDeadline, Key: o.key}
	if o.stream() {
		request.Model, request.Prompt = o.model, o.prompt
	}
	o.sentAt, o.target = time.Now(), target.name
	var err error
	if o.CallerResponse, err = request.Do(ctx, g.client, target.callerAddress); err != nil {
		panic(err)
	}
	o.endedAt = time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes = append(g.outcomes, o)
}
