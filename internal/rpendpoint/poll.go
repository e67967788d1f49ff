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

// pollJitter is the share of the interval by which polls vary, so that the
// polls of many instances do not meet at one engine.
const pollJitter = 0.2

// poller polls one engine.
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

// StatusError reports an answer to a poll with another status than 200.
type StatusError struct {
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("the engine answered with status %d", e.Status)
}

// PollEngine starts, changes or stops the polling of an engine.
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

// run spreads the first polls of many engines over one interval.
func (p *poller) run(ctx context.Context) {
	share := rand.Float64()
	for p.wait(ctx, share) {
		p.poll(ctx)
		share = 1 + pollJitter*(rand.Float64()-0.5)
	}
}

// wait returns after a share of the interval, or false when the poller is
// stopped. A change of the interval starts the wait anew.
func (p *poller) wait(ctx context.Context, share float64) bool {
	for {
		_, interval := p.current()
		timer := time.NewTimer(time.Duration(share * float64(interval)))
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
		p.client.Log.Debug().Err(err).Str("endpoint", string(p.endpoint)).Msg("endpoint: report was not read")
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
		p.client.Log.Debug().Err(err).Str("endpoint", string(p.endpoint)).Msg("endpoint: cache events were not read")
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

// fetch reads a bounded answer.
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
