package rpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// DefaultListInterval is the poll interval of the list. An endpoint that is
	// leaving must get no more work after 3 s, and the list is one of the
	// sources from which an instance learns that an endpoint is leaving.
	DefaultListInterval = 500 * time.Millisecond
	// listBodyLimit, in bytes, is about five times the list of a deployment of
	// the design size (12,500 entries of about 250 bytes).
	listBodyLimit = 16 << 20
	membersPath   = "/v1/members"
)

// List polls the platform's instance list and registers this instance in it. Set
// all fields before Run.
//
// If the ETag shows that the list has not changed since the last poll, List posts
// MembersListed again with the same Members, because the reducer needs to know that
// they are still listed. Receivers of MembersListed must not modify Members.
type List struct {
	// Endpoint is the base URL of the list.
	Endpoint string
	// Self is the entry of this instance. If its ID is empty, nothing is
	// registered.
	Self rpcore.Member
	// Interval is the poll interval; 0 means DefaultListInterval.
	Interval time.Duration
	// Timeout is the timeout of one request; 0 means DefaultTimeout.
	Timeout time.Duration
	// RoundTrip sends one HTTP request. Nil means a new transport.
	RoundTrip func(*http.Request) (*http.Response, error)
	// Post receives the events.
	Post func(rpcore.Event)
	// Log receives failures; the zero value discards them.
	Log zerolog.Logger

	once   sync.Once
	sender *sender
	// wake signals Run to update the registration.
	wake chan struct{}

	mu sync.Mutex
	// leaving is set by Leave. registered is the last state of the entry that
	// the list has confirmed.
	leaving    bool
	registered registration

	etag    string
	members []rpcore.Member
}

type registration int

const (
	notRegistered registration = iota
	registeredLive
	registeredLeaving
)

func (l *List) init() {
	l.once.Do(func() {
		l.sender = Access{RoundTrip: l.RoundTrip}.newSender()
		l.wake = make(chan struct{}, 1)
	})
}

// Run registers this instance and polls the list until the context ends. It retries
// a failed registration with the next poll. It does not repeat a confirmed
// registration, even if the list loses the entry: other instances may already have
// seen that the incarnation is gone, which is final.
func (l *List) Run(ctx context.Context) {
	l.init()
	defer l.sender.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			l.register(ctx)
		case <-timer.C:
			l.register(ctx)
			l.poll(ctx)
			timer.Reset(orDefault(l.Interval, DefaultListInterval))
		}
	}
}

// Leave marks this instance as leaving. It returns at once; Run retries the request
// until the list confirms it.
func (l *List) Leave() {
	l.init()
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Deregister removes this incarnation from the list at a clean exit. Call it only
// after Run has returned, because Run might register the instance again. It retries
// the request until the list confirms it or the context ends.
func (l *List) Deregister(ctx context.Context) error {
	l.init()
	if l.Self.ID == "" {
		return nil
	}
	target := l.selfURL() + "?incarnation=" + url.QueryEscape(string(l.Self.Incarnation))
	for {
		err := l.send(ctx, http.MethodDelete, target, nil)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(err)
		case <-time.After(orDefault(l.Interval, DefaultListInterval)):
		}
	}
}

// register updates the entry of this instance, unless the list has already
// confirmed the wanted state.
func (l *List) register(ctx context.Context) {
	l.mu.Lock()
	entry, wanted, confirmed := l.Self, registeredLive, l.registered
	entry.Leaving = entry.Leaving || l.leaving
	l.mu.Unlock()
	if entry.Leaving {
		wanted = registeredLeaving
	}
	if entry.ID == "" || confirmed == wanted {
		return
	}
	body, err := json.Marshal(entry)
	if err == nil {
		err = l.send(ctx, http.MethodPut, l.selfURL(), body)
	}
	if err != nil {
		l.Log.Warn().Err(err).Msg("failed to register in the instance list")
		return
	}
	l.mu.Lock()
	l.registered = wanted
	l.mu.Unlock()
}

func (l *List) selfURL() string {
	return l.Endpoint + membersPath + "/" + url.PathEscape(l.Self.ID)
}

// send sends a request and ignores the response body.
func (l *List) send(ctx context.Context, method, target string, body []byte) error {
	response, cancel, err := l.sendRequest(ctx, method, target, body)
	defer cancel()
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return ListStatusError{Status: response.StatusCode}
	}
	return nil
}

func (l *List) sendRequest(ctx context.Context, method, target string, body []byte) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(l.Timeout, DefaultTimeout))
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, cancel, trace.Wrap(err)
	}
	if method == http.MethodGet && l.etag != "" {
		r.Header.Set("If-None-Match", l.etag)
	}
	response, err := l.sender.Do(r)
	return response, cancel, trace.Wrap(err)
}

// poll fetches the list once and posts the result.
func (l *List) poll(ctx context.Context) {
	err := l.fetchMembers(ctx)
	if ctx.Err() != nil || l.Post == nil {
		return
	}
	if err != nil {
		l.Log.Warn().Err(err).Msg("failed to read the instance list")
		l.Post(rpcore.ListUnavailable{Stamp: stampNow()})
		return
	}
	l.Post(rpcore.MembersListed{Stamp: stampNow(), Members: l.members})
}

func (l *List) fetchMembers(ctx context.Context) error {
	response, cancel, err := l.sendRequest(ctx, http.MethodGet, l.Endpoint+membersPath, nil)
	defer cancel()
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotModified && l.etag != "":
		return nil
	case response.StatusCode != http.StatusOK:
		return ListStatusError{Status: response.StatusCode}
	}
	members, err := decodeMembers(response.Body)
	if err != nil {
		return err
	}
	l.members, l.etag = members, response.Header.Get("ETag")
	return nil
}

// decodeMembers decodes one complete JSON array. It must not accept a truncated or
// empty response as a shorter list: a missing entry means that the member is gone
// for good, and its reservations are freed.
func decodeMembers(body io.Reader) ([]rpcore.Member, error) {
	data, err := io.ReadAll(io.LimitReader(body, listBodyLimit+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(data) > listBodyLimit {
		return nil, ListBodyError{Reason: "it is too large"}
	}
	var members []rpcore.Member
	if err := json.Unmarshal(data, &members); err != nil {
		return nil, ListBodyError{Reason: err.Error()}
	}
	if members == nil {
		return nil, ListBodyError{Reason: "it is not an array"}
	}
	return members, nil
}

// ListStatusError reports an unexpected HTTP status of the list.
type ListStatusError struct {
	Status int
}

func (e ListStatusError) Error() string {
	return fmt.Sprintf("unexpected status %d from the instance list", e.Status)
}

// ListBodyError reports a response body that is not a list of members.
type ListBodyError struct {
	Reason string
}

func (e ListBodyError) Error() string {
	return "response is not a list of members: " + e.Reason
}
