package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	// streamEvents and eventPause make a stream of 6.4 s, with pauses below the 600 ms
	// that the deployments allow.
	streamEvents = 16
	eventPause   = 400 * time.Millisecond
	// rollGap is the gap_s of roll_term: the time between the stops of two machines.
	rollGap = time.Second
	// arrivalGap is the time between two callers.
	arrivalGap = 50 * time.Millisecond
	// lateBound is the time after a SIGTERM up to which the rule LOST excuses a request
	// whose engine is still at work near the end of graceTime.
	lateBound = 3 * time.Second
	graceTime = 8 * time.Second
	// slowCallers is the number of callers of each machine that send their headers in
	// slowHeaderParts parts, which takes 2 s. The header_timeout_ms of the configuration
	// is 3 s.
	slowCallers     = 4
	slowHeaderParts = 20
	slowHeaderPause = 100 * time.Millisecond
	// callerDeadline is the deadline and the route's timeout of the deferred streams.
	callerDeadline = 15 * time.Second
)

// sentRequest is one request of a caller and what became of it.
type sentRequest struct {
	id       string
	machine  *machine
	sent     time.Time
	ended    time.Time
	status   int
	events   int
	complete bool
}

// lateArrival stops two of the three machines of a zone in turn. Callers open new
// connections for their requests, and some send their headers slowly. No request that a machine has
// read and passed on may be cut off, unless it was sent within 3 s of the SIGTERM.
func lateArrival(ctx context.Context, l *lab) error {
	config := &rpfake.Config{Version: 1, ModelService: "assistant", PlainService: "shop", Models: 1, RemoteLoad: 6}
	config.Routes = config.StandardRoutes()
	if err := l.store.PutConfig(config); err != nil {
		return err
	}
	for i := range 2 {
		engine := &rpfake.Endpoint{
			ID: fmt.Sprintf("i-%d", i+1), Service: "assistant", Zone: "zone-a", Slots: 64, Events: streamEvents, EventDelay: eventPause,
			LoadTime: 100 * time.Millisecond, Models: []string{rpfake.ModelName(0)}, OnDisk: []string{rpfake.ModelName(0)},
		}
		if err := l.addEndpoint(ctx, engine); err != nil {
			return err
		}
	}
	plain := &rpfake.Endpoint{ID: "i-3", Service: "shop", Zone: "zone-a", Slots: 6, ResponseDelay: 15 * time.Millisecond}
	if err := l.addEndpoint(ctx, plain); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := l.addMachine(fmt.Sprintf("front-zone-a-%d", i+1), "zone-a", fmt.Sprintf("127.0.11.%d", i+1), true); err != nil {
			return err
		}
	}
	if err := l.awaitReady(ctx, l.machines...); err != nil {
		return err
	}
	balancer := &balancer{lab: l, misses: make([]int, len(l.machines))}
	go balancer.run(ctx)
	slow, stopSlow := context.WithCancel(ctx)
	defer stopSlow()
	for _, m := range l.machines {
		for i := range slowCallers {
			go m.callSlowly(slow, time.Duration(i)*slowHeaderParts*slowHeaderPause/slowCallers)
		}
	}
	pause(ctx, 4*time.Second)

	var callers sync.WaitGroup
	var mu sync.Mutex
	var requests []*sentRequest
	arrivals, stopArrivals := context.WithTimeout(ctx, 6*time.Second)
	defer stopArrivals()
	callers.Go(func() {
		for i := 0; arrivals.Err() == nil; i++ {
			callers.Go(func() {
				if r := balancer.send(ctx, i); r != nil {
					mu.Lock()
					defer mu.Unlock()
					requests = append(requests, r)
				}
			})
			pause(arrivals, arrivalGap)
		}
	})
	stoppedAt := map[*machine]time.Time{}
	if l.trouble {
		for _, m := range l.machines[:2] {
			stoppedAt[m] = time.Now()
			m.signal(syscall.SIGTERM)
			pause(ctx, rollGap)
		}
	}
	callers.Wait()
	if ctx.Err() != nil {
		return errors.New("the case took too long")
	}
	l.judgeLost(requests, stoppedAt)
	return nil
}

// balancer selects machines as the platform does: a machine that missed two questions
// in a row gets no new connections, unless fewer than half of its zone are left.
type balancer struct {
	*lab
	mu     sync.Mutex
	misses []int
}

func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		for i, m := range b.machines {
			go b.ask(ctx, i, m)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) ask(ctx context.Context, i int, m *machine) {
	ready := m.isReady(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case ready:
		b.misses[i] = 0
	default:
		b.misses[i]++
		b.note("%s is not ready (%d in a row)", m.name, b.misses[i])
	}
}

// choose returns the machine for a client's new connection.
func (b *balancer) choose(client int) *machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var inRotation []*machine
	for i, m := range b.machines {
		if b.misses[i] < 2 {
			inRotation = append(inRotation, m)
		}
	}
	if 2*len(inRotation) < len(b.machines) {
		inRotation = b.machines
	}
	return inRotation[client%len(inRotation)]
}

// send opens a connection, sends a request on it and reads the response. It returns nil
// if the request could not be sent.
func (b *balancer) send(ctx context.Context, client int) *sentRequest {
	r := &sentRequest{id: rpfake.NewID(), machine: b.choose(client)}
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", r.machine.callers.String())
	if err != nil {
		b.note("no connection to %s", r.machine.name)
		return nil
	}
	defer func() { _ = conn.Close() }()
	request := rpfake.CallerRequest{ID: r.id, Path: "/later/1", Model: rpfake.ModelName(0), Deadline: callerDeadline}
	req, err := request.HTTPRequest(ctx, r.machine.callers)
	if err != nil {
		return nil
	}
	r.sent = time.Now()
	if err := conn.SetDeadline(r.sent.Add(callerDeadline)); err != nil {
		return nil
	}
	if err := req.Write(conn); err != nil {
		b.note("request %s: %s had closed the connection", r.id, r.machine.name)
		return nil
	}
	r.read(conn, req)
	r.ended = time.Now()
	b.note("request %s to %s: sent at %.3f, status %d, %d events, complete: %t, after %.3f s", r.id, r.machine.name,
		r.sent.Sub(b.begin).Seconds(), r.status, r.events, r.complete, r.ended.Sub(r.sent).Seconds())
	return r
}

func (r *sentRequest) read(conn net.Conn, req *http.Request) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.status = resp.StatusCode
	r.events = strings.Count(string(body), "id: ")
	r.complete = err == nil && (r.status != http.StatusOK || r.events == streamEvents)
}

// callSlowly sends requests one after the other, each on a new connection and with a
// header that arrives slowly.
func (m *machine) callSlowly(ctx context.Context, delay time.Duration) {
	pause(ctx, delay)
	for ctx.Err() == nil {
		if err := m.sendSlowly(ctx); err != nil {
			pause(ctx, time.Second)
		}
	}
}

func (m *machine) sendSlowly(ctx context.Context) error {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", m.callers.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	id := rpfake.NewID()
	req, err := rpfake.CallerRequest{ID: id, Path: "/stock/1", Method: http.MethodGet, Deadline: 4 * time.Second}.HTTPRequest(ctx, m.callers)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return err
	}
	for part := range slices.Chunk(text.Bytes(), text.Len()/slowHeaderParts+1) {
		if _, err := conn.Write(part); err != nil {
			return err
		}
		pause(ctx, slowHeaderPause)
	}
	m.lab.note("request %s to %s: sent slowly", id, m.name)
	if err := conn.SetDeadline(time.Now().Add(callerDeadline)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		m.lab.note("request %s to %s: no answer", id, m.name)
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	m.lab.note("request %s to %s: status %d, complete: %t", id, m.name, resp.StatusCode, err == nil)
	return errors.Join(err, resp.Body.Close())
}

// judgeLost checks the requests at machines that got a SIGTERM.
func (l *lab) judgeLost(requests []*sentRequest, stoppedAt map[*machine]time.Time) {
	for _, r := range requests {
		if r.complete {
			continue
		}
		ran := slices.ContainsFunc(l.endpoints, func(e *rpfake.Endpoint) bool { return e.Runs(r.id) > 0 })
		stop, stopped := stoppedAt[r.machine]
		after := r.sent.Sub(stop)
		l.note("request %s at %s has no complete answer; passed on to an engine: %t", r.id, r.machine.name, ran)
		if !stopped || !ran || r.ended.Sub(r.sent) >= callerDeadline || after > graceTime+time.Second {
			continue
		}
		if after <= lateBound {
			l.note("request %s is excused: it was sent %.3f s after the SIGTERM", r.id, after.Seconds())
			continue
		}
		l.breaks("LOST: request %s was sent %.3f s after the SIGTERM, read and passed on, and cut off after %d of %d events, %.3f s after the SIGTERM",
			r.id, after.Seconds(), r.events, streamEvents, r.ended.Sub(stop).Seconds())
	}
}
