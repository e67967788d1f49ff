package rpendpoint

import (
	"context"
	"io"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Client is the HTTP client of the endpoints. The zero value is ready to use once
// Post is set.
type Client struct {
	// Post receives the events of orders and polls.
	Post   func(rpcore.Event)
	Log    zerolog.Logger
	Limits Limits

	once   sync.Once
	limits Limits
	// pooled reuses connections. singleUse opens a connection for each request:
	// an endpoint may close an idle connection just as a request is written to
	// it, and then it would be unknown whether a request that may run only once
	// has run.
	pooled, singleUse Transport
	ctx               context.Context
	stop              context.CancelFunc
	background        sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	pollers map[rpcore.EndpointID]*poller
}

func (c *Client) init() {
	c.once.Do(func() {
		c.limits = c.Limits.withDefaults()
		c.pooled = newTransport(c.limits, true, nil)
		c.singleUse = newTransport(c.limits, false, nil)
		c.ctx, c.stop = context.WithCancel(context.Background())
		c.pollers = map[rpcore.EndpointID]*poller{}
	})
}

// Close stops the polls, ends orders in flight with an unknown result, waits for
// the background work and closes idle connections.
func (c *Client) Close() {
	c.init()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.stop()
	c.background.Wait()
	c.pooled.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// startBackground runs work in the background. It returns false if the client is
// closed.
func (c *Client) startBackground(work func()) bool {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.background.Go(work)
	return true
}

func (c *Client) post(ev rpcore.Event) {
	if c.Post != nil {
		c.Post(ev)
	}
}

func stamp() rpcore.Stamp { return rpcore.Stamp{At: time.Now()} }

// endpointURL returns the URL of a path at an endpoint. rawPath is already escaped.
func endpointURL(address netip.AddrPort, rawPath, rawQuery string) *url.URL {
	path, err := url.PathUnescape(rawPath)
	if err != nil {
		path = rawPath
	}
	return &url.URL{Scheme: "http", Host: address.String(), Path: path, RawPath: rawPath, RawQuery: rawQuery}
}

const (
	// drainTimeout and maxDrainBytes limit reading the remainder of a complete
	// response. Its connection can be reused once the body has been read to EOF.
	drainTimeout  = 250 * time.Millisecond
	maxDrainBytes = 4 << 10
)

// drainBody reads the remainder of a complete response in the background, closes
// the body and calls done.
func (c *Client) drainBody(body io.ReadCloser, done func()) {
	started := c.startBackground(func() {
		timer := time.AfterFunc(drainTimeout, func() { body.Close() })
		_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes))
		timer.Stop()
		body.Close()
		done()
	})
	if !started {
		body.Close()
		done()
	}
}
