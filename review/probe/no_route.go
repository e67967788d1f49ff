package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// requestTarget is a method with a request target.
type requestTarget struct{ method, target string }

// routedTargets are requests on a route. unroutedTargets match the prefix of no route,
// so each of them must get 404.
var (
	routedTargets   = []requestTarget{{"GET", "/stock/1"}, {"OPTIONS", "/stock/1"}, {"GET", "/stock/2?a=1"}}
	unroutedTargets = []requestTarget{{"GET", "/none/1"}, {"OPTIONS", "/none/1"}, {"GET", "*"}, {"OPTIONS", "*"}}
)

// noRoute sends requests that match no route, beside requests on a route. A success
// without the signature of an endpoint breaks the rule MIXED.
func noRoute(ctx context.Context, l *lab) error {
	config := &rpfake.Config{Version: 1, ModelService: "assistant", PlainService: "shop", Models: 1, RemoteLoad: 6}
	config.Routes = config.StandardRoutes()
	if err := l.store.PutConfig(config); err != nil {
		return err
	}
	plain := &rpfake.Endpoint{ID: "i-1", Service: "shop", Zone: "zone-a", Slots: 6, ResponseDelay: 15 * time.Millisecond}
	if err := l.addEndpoint(ctx, plain); err != nil {
		return err
	}
	for i := range 2 {
		if _, err := l.addMachine(fmt.Sprintf("front-zone-a-%d", i+1), "zone-a", fmt.Sprintf("127.0.12.%d", i+1), true); err != nil {
			return err
		}
	}
	if err := l.awaitReady(ctx, l.machines...); err != nil {
		return err
	}
	targets := routedTargets
	if l.trouble {
		targets = append(targets, unroutedTargets...)
	}
	for _, m := range l.machines {
		for _, target := range targets {
			if err := m.sendTarget(ctx, target); err != nil {
				return err
			}
		}
	}
	if ctx.Err() != nil {
		return errors.New("the case took too long")
	}
	return nil
}

// sendTarget sends a request with a target that http.Client does not send, and judges
// the response.
func (m *machine) sendTarget(ctx context.Context, target requestTarget) error {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", m.callers.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(callerDeadline)); err != nil {
		return err
	}
	id := rpfake.NewID()
	lines := []string{
		target.method + " " + target.target + " HTTP/1.1", "Host: " + rpfake.Host,
		rpfake.HeaderRequestID + ": " + id, rpfake.HeaderDeadline + ": 4000", "", "",
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: target.method})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	signature := resp.Header.Get(rpfake.HeaderSignature)
	runs := 0
	for _, e := range m.lab.endpoints {
		runs += e.Runs(id)
	}
	m.lab.note("request %s to %s: %s %s, status %d, signature %q, run %d times", id, m.name, target.method, target.target, resp.StatusCode, signature, runs)
	if resp.StatusCode/100 == 2 && signature == "" {
		m.lab.breaks("MIXED: request %s (%s %s) got status %d without the signature of an endpoint", id, target.method, target.target, resp.StatusCode)
	}
	return nil
}
