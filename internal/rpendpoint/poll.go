package rpendpoint

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// pollJitter is the fraction of the interval by which polls vary, so that many
// instances do not poll an engine at the same time.
const pollJitter = 0.2

// poller polls the report and the cache events of one engine.
type poller struct {
	client   *Client
	endpoint rpcore.EndpointID
	cancel   context.CancelFunc
	wake     chan struct{}
	cursor   cacheCursor

	mu       sync.Mutex
	address  netip.AddrPort
	interval time.Duration
}

// StatusError reports a response to a poll with a status other than 200.
type StatusError struct {
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("the engine responded with status %d", e.Status)
}

// PollEngine starts or changes the polling of an engine. An interval of 0 stops it.
func (c *Client) PollEngine(cmd rpcore.PollEngine) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pollers[cmd.Endpoint]
	switch {
	case cmd.Interval <= 0 && p != nil:
		p.cancel()
		delete(c.pollers, cmd.Endpoint)
	case cmd.Interval <= 0 || c.closed:
	case p != nil:
		p.update(cmd)
	default:
		c.startPoller(cmd)
	}
}

func (c *Client) startPoller(cmd rpcore.PollEngine) {
	ctx, cancel := context.WithCancel(c.ctx)
	p := &poller{client: c, endpoint: cmd.Endpoint, cancel: cancel, wake: make(chan struct{}, 1)}
	p.address = cmd.Address
	p.interval = cmd.Interval
	c.pollers[cmd.Endpoint] = p
	c.background.Go(func() { p.run(ctx) })
}

func (p *poller) update(cmd rpcore.PollEngine) {
	p.mu.Lock()
	p.address = cmd.Address
	p.interval = cmd.Interval
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *poller) current() (netip.AddrPort, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address, p.interval
}

// run polls until ctx ends. The first poll has a random delay of up to one interval,
// which spreads the polls of many engines.
func (p *poller) run(ctx context.Context) {
	fraction := rand.Float64()
	for p.wait(ctx, fraction) {
		p.poll(ctx)
		fraction = 1 + pollJitter*(rand.Float64()-0.5)
	}
}

// wait waits for a fraction of the interval. It returns false if the poller was
// stopped. A change of the interval restarts the wait.
func (p *poller) wait(ctx context.Context, fraction float64) bool {
	for {
		_, interval := p.current()
		timer := time.NewTimer(time.Duration(fraction * float64(interval)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
			return true
		case <-p.wake:
			timer.Stop()
		}
	}
}

func (p *poller) poll(ctx context.Context) {
	address, _ := p.current()
	report, err := p.fetchReport(ctx, address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.client.Log.Debug().Err(err).Str("endpoint", string(p.endpoint)).Msg("failed to poll the report of an engine")
		refused := errors.Is(err, syscall.ECONNREFUSED)
		p.client.post(rpcore.EngineUnreachable{Stamp: stamp(), Endpoint: p.endpoint, Refused: refused})
		return
	}
	p.client.post(rpcore.EngineReported{Stamp: stamp(), Report: report})
	p.pollCacheEvents(ctx, address, report.Incarnation)
}

func (p *poller) fetchReport(ctx context.Context, address netip.AddrPort) (rpcore.EngineReport, error) {
	body, err := p.client.fetch(ctx, address, "/v1/engine/report", "")
	if err != nil {
		return rpcore.EngineReport{}, err
	}
	return decodeReport(body, p.endpoint)
}

func (p *poller) pollCacheEvents(ctx context.Context, address netip.AddrPort, incarnation rpcore.Incarnation) {
	query := "after=" + strconv.FormatUint(p.cursor.pollAfter(incarnation), 10)
	body, err := p.client.fetch(ctx, address, "/v1/engine/cache_events", query)
	if err != nil || ctx.Err() != nil {
		return
	}
	batch, err := decodeCacheBatch(body)
	if err != nil {
		p.client.Log.Debug().Err(err).Str("endpoint", string(p.endpoint)).Msg("failed to poll the cache events of an engine")
		return
	}
	if !p.cursor.advance(batch) {
		return
	}
	p.client.post(rpcore.CacheEventsReceived{
		Stamp:       stamp(),
		Endpoint:    p.endpoint,
		Incarnation: batch.Incarnation,
		First:       batch.First,
		Next:        batch.Next,
		Reset:       batch.Reset,
		Added:       batch.Added,
		Removed:     batch.Removed,
	})
}

// fetch sends a GET request and returns the body of the response.
func (c *Client) fetch(ctx context.Context, address netip.AddrPort, path, query string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.PollTimeout)
	defer cancel()
	target := endpointURL(address, path, query)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, StatusError{Status: resp.StatusCode}
	}
	return readLimited(resp, c.limits.ReportBytes)
}
