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
	// DefaultListInterval is the time between two readings of the list. An
	// endpoint that is leaving must get no work after 3 s, and the list is
	// one of the sources of that.
	DefaultListInterval = 500 * time.Millisecond
	// listBodyLimit is about five times the list of the designed size (12,500
	// entries of about 250 bytes).
	listBodyLimit = 16 << 20
	membersPath   = "/v1/members"
)

// List polls the platform's instance list and keeps this instance's own entry
// in it. All fields must be set before Run.
//
// A reading that is the same as the last one, by its ETag, is posted again
// with the same Members, because a repeated reading is evidence too. Readers
// of MembersListed must not change Members.
type List struct {
	// Endpoint is the base URL of the list.
	Endpoint string
	// Self is the entry of this instance; without an ID, nothing is
	// registered.
	Self rpcore.Member
	// Interval is the time between two readings; 0 is DefaultListInterval.
	Interval time.Duration
	// Timeout bounds one request; 0 is DefaultTimeout.
	Timeout time.Duration
	// RoundTrip sends one HTTP request. Nil uses a transport of its own.
	RoundTrip func(*http.Request) (*http.Response, error)
	// Post takes the events.
	Post func(rpcore.Event)
	// Log gets failures; its zero value drops them.
	Log zerolog.Logger

	once   sync.Once
	sender *sender
	// wake wakes Run for a registration.
	wake chan struct{}

	mu sync.Mutex
	// leaving is what the entry should say, and registered how many changes
	// of it the list has confirmed.
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

// Run registers this instance and polls until the context ends. A failed
// registration is repeated with the next reading. A confirmed one is not,
// even when the list loses the entry: the other instances may have seen that
// the incarnation is gone, which is final.
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

// Leave shows this instance as leaving. It returns at once; Run repeats the
// request until the list confirms it.
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

// Deregister removes this incarnation from the list, at a clean exit. It must
// be called after Run has returned, which might otherwise register again. It
// repeats the request until the list confirms it or the context ends.
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

// register brings the entry of this instance up to date.
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
		l.Log.Warn().Err(err).Msg("list: registration failed")
		return
	}
	l.mu.Lock()
	l.registered = wanted
	l.mu.Unlock()
}

func (l *List) selfURL() string {
	return l.Endpoint + membersPath + "/" + url.PathEscape(l.Self.ID)
}

// send sends a request whose answer has no body.
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

// poll reads the list once and posts the result.
func (l *List) poll(ctx context.Context) {
	err := l.fetchMembers(ctx)
	if ctx.Err() != nil || l.Post == nil {
		return
	}
	if err != nil {
		l.Log.Warn().Err(err).Msg("list: reading failed")
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

// decodeMembers takes a whole JSON array and nothing else. A cut or empty
// answer must not pass for a short list: an entry that the list lacks is gone
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

// ListStatusError reports an answer of the list with an unexpected status.
type ListStatusError struct {
	Status int
}

func (e ListStatusError) Error() string {
	return fmt.Sprintf("the list answered with status %d", e.Status)
}

// ListBodyError reports an answer that is not a list of members.
type ListBodyError struct {
	Reason string
}

func (e ListBodyError) Error() string {
	return "the answer is not a list of members: " + e.Reason
}
