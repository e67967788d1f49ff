package rpplatform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/rattanpaddle/rattanpaddle/internal/rpplatform"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

var self = rpcore.Member{
	ID: "i/1", Kind: rpcore.MemberInstance, FailureDomain: "nl-west-1", Incarnation: "inc 1",
	Address: netip.MustParseAddrPort("127.0.0.1:7000"),
}

// withHandlerTransport returns a round trip that calls a handler directly, so that
// it works with the fake clock of a synctest bubble.
func withHandlerTransport(handler http.Handler) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		return recorder.Result(), nil
	}
}

// runningList is a List that runs in a synctest bubble.
type runningList struct {
	*rpplatform.List
	latest atomic.Value
	posted atomic.Int64
	stop   func()
}

// withList starts a List in the synctest bubble of the test.
func withList(t *testing.T, handler http.Handler, member rpcore.Member) *runningList {
	t.Helper()
	run := &runningList{List: &rpplatform.List{Endpoint: "http://list.test", Self: member, RoundTrip: withHandlerTransport(handler)}}
	run.Post = func(ev rpcore.Event) {
		run.posted.Add(1)
		run.latest.Store(&ev)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run.Run(ctx)
	}()
	run.stop = func() {
		cancel()
		<-ended
	}
	return run
}

func (r *runningList) eventAfter(d time.Duration) rpcore.Event {
	time.Sleep(d)
	synctest.Wait()
	return *r.latest.Load().(*rpcore.Event)
}

func listMembers(members ...rpcore.Member) types.GomegaMatcher {
	return WithTransform(func(ev rpcore.Event) []rpcore.Member {
		if ev, ok := ev.(rpcore.MembersListed); ok {
			return ev.Members
		}
		return []rpcore.Member{{ID: "the list was not read"}}
	}, Equal(members))
}

// Guards against an instance that is not listed, not marked as leaving during a
// planned stop, or still listed after a clean exit. The list shows changes with a
// delay.
func TestRegistrationWithLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		service := &rpstandin.List{Lag: 2 * time.Second}
		list := withList(t, service, self)
		g.Expect(list.eventAfter(1900 * time.Millisecond)).To(listMembers([]rpcore.Member{}...))
		g.Expect(list.eventAfter(700 * time.Millisecond)).To(listMembers(self))
		list.Leave()
		leaving := self
		leaving.Leaving = true
		g.Expect(list.eventAfter(1900 * time.Millisecond)).To(listMembers(self))
		g.Expect(list.eventAfter(700 * time.Millisecond)).To(listMembers(leaving))
		list.stop()
		g.Expect(list.Deregister(t.Context())).To(Succeed())
		observer := withList(t, service, rpcore.Member{})
		defer observer.stop()
		g.Expect(observer.eventAfter(3 * time.Second)).To(listMembers([]rpcore.Member{}...))
	})
}

// Guards against an outage of the list without a ListUnavailable event, and against
// a registration that is not retried after it.
func TestListOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		service := &rpstandin.List{}
		service.SetFaults(unavailable)
		list := withList(t, service, self)
		defer list.stop()
		g.Expect(list.eventAfter(time.Second)).To(BeAssignableToTypeOf(rpcore.ListUnavailable{}))
		service.SetFaults(noFaults)
		g.Expect(list.eventAfter(time.Second)).To(listMembers(self))
	})
}

// Guards against accepting an invalid response as a list without entries, which
// would free all reservations.
func TestBrokenListIsUnavailable(t *testing.T) {
	for _, body := range []string{"", "null", "{}", `[{"id":"a"}`, `[{"id":"a"}] x`, `[{"address":"nowhere"}]`} {
		synctest.Test(t, func(t *testing.T) {
			list := withList(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}), rpcore.Member{})
			defer list.stop()
			NewWithT(t).Expect(list.eventAfter(time.Second)).To(BeAssignableToTypeOf(rpcore.ListUnavailable{}), body)
		})
	}
}

// Guards against transferring and decoding an unchanged list of thousands of
// entries twice a second, and against a late deregistration of an earlier process
// that removes the entry of its successor.
func TestUnchangedListIsPostedWithoutBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		service := &rpstandin.List{}
		var bodies atomic.Int64
		list := withList(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			service.ServeHTTP(recorder, r)
			if r.Method == http.MethodGet && recorder.Code == http.StatusOK {
				bodies.Add(1)
			}
			w.Header().Set("ETag", recorder.Header().Get("ETag"))
			w.WriteHeader(recorder.Code)
			_, _ = w.Write(recorder.Body.Bytes())
		}), self)
		defer list.stop()
		g.Expect(list.eventAfter(10 * time.Second)).To(listMembers(self))
		g.Expect(bodies.Load()).To(Equal(int64(1)))
		g.Expect(list.posted.Load()).To(BeNumerically(">=", 19))
		earlier := &rpplatform.List{Endpoint: list.Endpoint, Self: self, RoundTrip: list.RoundTrip}
		earlier.Self.Incarnation = "inc 0"
		g.Expect(earlier.Deregister(t.Context())).To(Succeed())
		g.Expect(list.eventAfter(time.Second)).To(listMembers(self))
	})
}
