package rpdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// checks lists the checks in the order in which they run. The later checks need the
// documents that checkDocuments submits.
var checks = []func(context.Context, *cluster) Check{
	checkDocuments,
	checkColdStart,
	checkRanks,
	checkAdapter,
	checkCharge,
	checkPlannedStop,
	checkBounds,
}

// burstRequests is the number of requests in the cold start burst.
const burstRequests = 50

// newCheck returns the result of a check. The check failed if err is not nil.
func newCheck(name, figures string, err error) Check {
	check := Check{Name: name, Figures: figures}
	if err != nil {
		check.Problem = trace.UserMessage(err)
	}
	return check
}

func checkDocuments(ctx context.Context, c *cluster) Check {
	const name = "documents accepted and in force everywhere"
	client := rpoperator.Client{Address: c.instances[0].operators, Credential: credential}
	var slowest time.Duration
	for _, service := range c.deployment.Services {
		accept := func() error {
			_, err := client.Accept(ctx, service.Name, 0, service.documentText(credentialHash()))
			return err
		}
		if err := eventually(ctx, readyTimeout, accept); err != nil {
			return newCheck(name, service.Name, err)
		}
		begin := time.Now()
		inForce := func() error { return c.checkInForce(ctx, service.Name, 1) }
		if err := eventually(ctx, readyTimeout, inForce); err != nil {
			return newCheck(name, service.Name, err)
		}
		slowest = max(slowest, time.Since(begin))
	}
	return newCheck(name, fmt.Sprintf("%d documents, the slowest after %s at %d instances (target 3000 ms)",
		len(c.deployment.Services), milliseconds(slowest), len(c.instances)), nil)
}

// checkInForce returns an error unless a version is in force at every instance.
func (c *cluster) checkInForce(ctx context.Context, service string, version uint64) error {
	for _, i := range c.instances {
		client := rpoperator.Client{Address: i.operators}
		document, err := client.Document(ctx, service)
		if err != nil {
			return err
		}
		if document.Document.Version != version {
			return trace.Errorf("%s has version %d, want %d", i.name, document.Document.Version, version)
		}
	}
	return nil
}

// checkColdStart sends a burst of requests for one idle model to all instances at
// the same time. The model must be loaded exactly once.
func checkColdStart(ctx context.Context, c *cluster) Check {
	const name = "cold start in a burst"
	service := c.deployment.Services[0]
	model := modelName(0)
	if err := c.waitForEngineReports(ctx); err != nil {
		return newCheck(name, "", err)
	}
	loads := c.countLoads()
	var mu sync.Mutex
	var firstTokens []time.Duration
	var failure error
	var group sync.WaitGroup
	for n := range burstRequests {
		group.Go(func() {
			prompt := fmt.Sprintf("cold start %d", n)
			to := c.instances[n%len(c.instances)].callers
			a, err := streamChat(ctx, to, service.Name+"/"+model, rpdocument.RankNormal, prompt, 8, nil)
			if err == nil {
				err = a.verify(prompt, 8)
			}
			mu.Lock()
			defer mu.Unlock()
			failure = firstError(failure, err)
			firstTokens = append(firstTokens, a.firstToken)
		})
	}
	group.Wait()
	slices.Sort(firstTokens)
	p50, p99 := firstTokens[len(firstTokens)/2], firstTokens[len(firstTokens)*99/100]
	loaded := c.countLoads() - loads
	if failure == nil && loaded != 1 {
		failure = trace.Errorf("the engines performed %d loads, want 1", loaded)
	}
	return newCheck(name, fmt.Sprintf("%d requests at %d instances, %d load, first token p50 %s, p99 %s, load alone %s",
		burstRequests, len(c.instances), loaded, milliseconds(p50), milliseconds(p99), milliseconds(c.minLoadTime(service, model))), failure)
}

// waitForEngineReports waits until every instance knows all instances and has a
// report of every engine.
func (c *cluster) waitForEngineReports(ctx context.Context) error {
	return eventually(ctx, readyTimeout, func() error {
		for _, i := range c.instances {
			if err := c.checkInstanceView(ctx, i); err != nil {
				return err
			}
		}
		return nil
	})
}

// checkInstanceView returns an error unless the instance considers all instances
// live and has a report of every engine.
func (c *cluster) checkInstanceView(ctx context.Context, i *instance) error {
	client := rpoperator.Client{Address: i.operators}
	body, err := client.Status(ctx)
	if err != nil {
		return err
	}
	var status rpcore.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return trace.Wrap(err)
	}
	live := 0
	for _, other := range status.Instances {
		if other.Live {
			live++
		}
	}
	reported := 0
	for _, endpoint := range status.Endpoints {
		if endpoint.Kind == rpcore.MemberEngine && endpoint.ReportAge >= 0 {
			reported++
		}
	}
	if live != len(c.instances) || reported != len(c.engines) {
		return trace.Errorf("%s sees %d live instances and %d engine reports", i.name, live, reported)
	}
	return nil
}

// countLoads returns the number of loads that all engines have performed.
func (c *cluster) countLoads() int {
	loads := 0
	for _, e := range c.engines {
		loads += e.State().Loads
	}
	return loads
}

// minLoadTime returns the load time from the fastest place that holds the model's
// checkpoint. It is the lower bound of the time to the first token of a cold start.
func (c *cluster) minLoadTime(service Service, model string) time.Duration {
	floor := weightsLoadTime + memoryLoadTime
	for _, e := range c.engines {
		for _, cached := range e.cached {
			if e.service != service.Name || cached.Checkpoint != checkpointName(service.Name, model) {
				continue
			}
			if cached.Place == rpcore.PlaceMemory {
				floor = min(floor, memoryLoadTime)
			} else {
				floor = min(floor, diskLoadTime)
			}
		}
	}
	return floor
}

func firstError(first, next error) error {
	if first != nil {
		return first
	}
	return next
}

func checkRanks(ctx context.Context, c *cluster) Check {
	const name = "one request of each rank"
	service := c.deployment.Services[0]
	figures := ""
	for n, rank := range rpdocument.Ranks {
		prompt := "rank " + rank.String()
		a, err := streamChat(ctx, c.instances[n].callers, service.Name+"/"+modelName(0), rank, prompt, 16, nil)
		if err == nil {
			err = a.verify(prompt, 16)
		}
		if err != nil {
			return newCheck(name, rank.String(), err)
		}
		figures += fmt.Sprintf("%s %s, ", rank, milliseconds(a.firstToken))
	}
	return newCheck(name, figures+"16 tokens each", nil)
}

func checkAdapter(ctx context.Context, c *cluster) Check {
	const name = "adapter of a loaded model"
	service := c.deployment.Services[0]
	a, err := streamChat(ctx, c.instances[1].callers, service.Name+"/"+adapterName(0), rpdocument.RankUrgent, "adapter", 8, nil)
	if err == nil {
		err = a.verify("adapter", 8)
	}
	return newCheck(name, "first token "+milliseconds(a.firstToken), err)
}

// checkCharge sends the same charge to two instances at the same time, with the
// same idempotency key, and a third time afterwards. It must run once.
func checkCharge(ctx context.Context, c *cluster) Check {
	const name = "a charge sent three times"
	const key = "charge-1"
	service := c.plainServiceName()
	bodies := make([]string, 3)
	errs := make([]error, 3)
	send := func(n int) {
		bodies[n], errs[n] = sendCharge(ctx, c.instances[2*n%len(c.instances)], service, key)
	}
	var group sync.WaitGroup
	group.Go(func() { send(0) })
	group.Go(func() { send(1) })
	group.Wait()
	send(2)
	runs := 0
	for _, s := range c.services {
		runs += s.State().ByKey[key]
	}
	var failure error
	for n, err := range errs {
		failure = firstError(failure, err)
		if failure == nil && bodies[n] != bodies[0] {
			failure = trace.Errorf("the answers differ: %q and %q", bodies[0], bodies[n])
		}
	}
	if failure == nil && runs != 1 {
		failure = trace.Errorf("the charge ran %d times", runs)
	}
	return newCheck(name, fmt.Sprintf("ran %d time, 3 equal answers", runs), failure)
}

func (c *cluster) plainServiceName() string {
	for _, service := range c.deployment.Services {
		if service.PlainEndpoints > 0 {
			return service.Name
		}
	}
	return ""
}

func sendCharge(ctx context.Context, i *instance, service, key string) (string, error) {
	header := http.Header{"Idempotency-Key": {key}}
	response, err := post(ctx, i.callers, "/services/"+service+"/charge", header, []byte(`{"amount_cents":350}`))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), trace.Wrap(err)
}

// checkPlannedStop stops an instance while it streams an answer. The answer must
// be complete, and another instance must serve the model afterwards.
func checkPlannedStop(ctx context.Context, c *cluster) Check {
	const name = "planned stop during a stream"
	const tokens = 300
	stopped := c.instances[len(c.instances)-1]
	service := c.deployment.Services[0]
	onToken := func(n int) {
		if n == 5 {
			stopped.stop()
		}
	}
	a, err := streamChat(ctx, stopped.callers, service.Name+"/"+modelName(0), rpdocument.RankNormal, "stop", tokens, onToken)
	if err == nil {
		err = a.verify("stop", tokens)
	}
	if err != nil {
		return newCheck(name, "", err)
	}
	select {
	case <-stopped.done:
	case <-ctx.Done():
		return newCheck(name, "", ctx.Err())
	}
	c.instances = c.instances[:len(c.instances)-1]
	prompt := "after the stop"
	other, err := streamChat(ctx, c.instances[0].callers, service.Name+"/"+modelName(0), rpdocument.RankNormal, prompt, 8, nil)
	if err == nil {
		err = other.verify(prompt, 8)
	}
	return newCheck(name, fmt.Sprintf("all %d tokens received, then the instance stopped", tokens), firstError(stopped.err, err))
}

// checkBounds checks that no engine loaded models beyond its memory, by the
// engines' own counts.
func checkBounds(_ context.Context, c *cluster) Check {
	const name = "replica and memory bounds"
	var failure error
	var highest rpdocument.Bytes
	for _, e := range c.engines {
		state := e.State()
		highest = max(highest, state.HighestMemory)
		if state.Overcommits > 0 {
			failure = firstError(failure, trace.Errorf("%s: %d loads beyond its memory", e.id, state.Overcommits))
		}
	}
	return newCheck(name, fmt.Sprintf("highest memory in use %s of %s, no load beyond it", highest, engineMemory), failure)
}
