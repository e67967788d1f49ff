package rpgateway_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

// withFault makes an endpoint inject the same fault for each request.
func withFault(e *rpfake.Endpoint, fault rpfake.EndpointFault) {
	e.Fault = func(*http.Request) rpfake.EndpointFault { return fault }
}

// longBody makes a response longer than the part that the instance buffers before it
// sends the first byte.
var longBody = strings.Repeat("x", 60000)

// Guards against a complete response that is cut or refused because only the end of
// its connection ends it.
func TestUnframedPlainResponse(t *testing.T) {
	p := withPlatform(t)
	service := p.startPlain("s1")
	withFault(service, rpfake.EndpointFault{Unframed: true})
	gw := p.startGateway("front-1")
	for _, path := range []string{"/place/1", "/stock/1"} {
		for name, body := range map[string]string{"short": "one bag", "long": longBody} {
			t.Run(path+" "+name, func(t *testing.T) {
				g := NewWithT(t)
				id := path + name
				got := gw.send(rpfake.CallerRequest{ID: id, Path: path, Body: body})
				g.Expect(got.Status).To(Equal(http.StatusOK))
				g.Expect(got.Complete).To(BeTrue())
				g.Expect(got.Body).To(Equal("answer to " + body))
				g.Expect(got.Signer()).To(Equal("s1"))
				g.Expect(service.Runs(id)).To(Equal(1))
			})
		}
	}
}

// Guards against a response that is reset midway and looks complete because it
// states no length, to callers of HTTP/1.1 and of HTTP/1.0.
func TestUnframedPlainResetIsNotComplete(t *testing.T) {
	p := withPlatform(t)
	service := p.startPlain("s1")
	gw := p.startGateway("front-1")
	for _, path := range []string{"/place/1", "/stock/1"} {
		for name, after := range map[string]int{"first byte": 1, "in the buffer": 20000, "beyond the buffer": 50000} {
			t.Run(path+" "+name, func(t *testing.T) {
				g := NewWithT(t)
				withFault(service, rpfake.EndpointFault{Unframed: true, TruncateAfter: after})
				request := rpfake.CallerRequest{ID: path + name + " 1.1", Path: path, Body: longBody}
				got := gw.send(request)
				g.Expect(got.Status == http.StatusOK && got.Complete).To(BeFalse(), "status %d", got.Status)
				g.Expect(got.Status).NotTo(BeElementOf(http.StatusServiceUnavailable, http.StatusTooManyRequests), "the request has run")
				request.ID = path + name + " 1.0"
				body, err := sendHTTP10(t, gw, request)
				g.Expect(bytes.Contains(body, []byte(" 200 OK\r\n")) && err == nil).To(BeFalse(), "%.100q", body)
			})
		}
	}
}

// Guards against a complete stream that is cut because only the end of its
// connection ends it, and against one that an HTTP/1.0 caller can't read.
func TestUnframedStream(t *testing.T) {
	p := withPlatform(t)
	engine := p.startEngine("e1", "m0")
	withFault(engine, rpfake.EndpointFault{Unframed: true})
	gw := p.startGateway("front-1")
	var want strings.Builder
	for i := range engine.Events {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: token %d\n\n", i+1, i+1)
	}
	for _, path := range []string{"/suggest/1", "/later/1"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			request := rpfake.CallerRequest{ID: path + " 1.1", Path: path, Model: "m0"}
			got := gw.send(request)
			g.Expect(got.Status).To(Equal(http.StatusOK))
			g.Expect(got.Complete).To(BeTrue())
			g.Expect(got.Body).To(Equal(want.String()))
			request.ID = path + " 1.0"
			body, err := sendHTTP10(t, gw, request)
			g.Expect(err).NotTo(HaveOccurred())
			head, events, _ := strings.Cut(string(body), "\r\n\r\n")
			g.Expect(head).To(ContainSubstring(" 200 OK"))
			g.Expect(head).NotTo(ContainSubstring("chunked"))
			g.Expect(events).To(Equal(want.String()))
			g.Expect(engine.Runs(request.ID)).To(Equal(1))
		})
	}
}

// Guards against a stream that ends inside an event and is taken for complete instead
// of resumed at another engine.
func TestUnframedStreamCutInEventResumes(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	var cut atomic.Bool
	engines := []*rpfake.Endpoint{p.startEngine("e1", "m0"), p.startEngine("e2", "m0")}
	for _, e := range engines {
		e.Fault = func(*http.Request) rpfake.EndpointFault {
			fault := rpfake.EndpointFault{Unframed: true}
			if cut.CompareAndSwap(false, true) {
				fault.TruncateAfter = 5
			}
			return fault
		}
	}
	gw := p.startGateway("front-1")
	got := gw.send(rpfake.CallerRequest{ID: "r1", Path: "/suggest/1", Model: "m0"})
	g.Expect(got.Complete).To(BeTrue())
	g.Expect(got.EventIDs()).To(Equal(eventIDsUpTo(12)))
	g.Expect(got.Body).NotTo(ContainSubstring("cu\n"))
	g.Expect(engines[0].Runs("r1")).To(Equal(1))
	g.Expect(engines[1].Runs("r1")).To(Equal(1))
}

// Guards against a stream that ends inside an event, can't be resumed, and reaches its
// caller as complete, of HTTP/1.1 or of HTTP/1.0.
func TestUnframedStreamCutInEventIsNotComplete(t *testing.T) {
	// Each request has its own instance: an engine that fails repeatedly gets no
	// requests for a while. No other engine can take over the resumable stream.
	for _, path := range []string{"/later/1", "/suggest/1"} {
		request := rpfake.CallerRequest{ID: "r1", Path: path, Model: "m0"}
		withCut := func(t *testing.T) *gateway {
			p := withPlatform(t)
			withFault(p.startEngine("e1", "m0"), rpfake.EndpointFault{Unframed: true, TruncateAfter: 5})
			return p.startGateway("front-1")
		}
		t.Run(path+" 1.1", func(t *testing.T) {
			g := NewWithT(t)
			got := withCut(t).send(request)
			g.Expect(got.Status).To(Equal(http.StatusOK))
			g.Expect(got.Complete).To(BeFalse())
			g.Expect(got.EventIDs()).NotTo(BeEmpty())
			g.Expect(got.EventIDs()).To(Equal(eventIDsUpTo(len(got.EventIDs()))))
		})
		t.Run(path+" 1.0", func(t *testing.T) {
			g := NewWithT(t)
			body, err := sendHTTP10(t, withCut(t), request)
			g.Expect(string(body)).To(ContainSubstring(" 200 OK\r\n"))
			g.Expect(err).To(HaveOccurred(), "%q", body)
		})
	}
}

// Guards against a stream without chunks that is reset between two events and reaches
// its caller as complete, because no event is cut. A crash of its engine does that.
func TestUnframedStreamResetIsNotComplete(t *testing.T) {
	request := rpfake.CallerRequest{ID: "r1", Path: "/later/1", Model: "m0"}
	withCrash := func(t *testing.T) *gateway {
		p := withPlatform(t)
		engine := p.startEngine("e1", "m0")
		engine.EventDelay = 200 * time.Millisecond
		engine.Fault = func(*http.Request) rpfake.EndpointFault {
			time.AfterFunc(4*engine.EventDelay+engine.EventDelay/2, func() { engine.Crash(time.Minute) })
			return rpfake.EndpointFault{Unframed: true}
		}
		return p.startGateway("front-1")
	}
	t.Run("1.1", func(t *testing.T) {
		g := NewWithT(t)
		got := withCrash(t).send(request)
		g.Expect(got.Status).To(Equal(http.StatusOK))
		g.Expect(got.Complete).To(BeFalse())
		g.Expect(len(got.EventIDs())).To(BeNumerically("<", 12))
		g.Expect(got.Body).To(HaveSuffix("\n\n"), "no event is cut")
	})
	t.Run("1.0", func(t *testing.T) {
		g := NewWithT(t)
		body, err := sendHTTP10(t, withCrash(t), request)
		g.Expect(string(body)).To(ContainSubstring(" 200 OK\r\n"))
		g.Expect(err).To(HaveOccurred(), "%q", body)
	})
}

// Guards against a response without length on a kept connection that is taken for the
// rest of the one before, or whose connection is used again after it.
func TestUnframedResponseOnKeptConnection(t *testing.T) {
	g := NewWithT(t)
	p := withPlatform(t)
	service := p.startPlain("s1")
	ports := make(chan string, 3)
	var n atomic.Int32
	service.Fault = func(r *http.Request) rpfake.EndpointFault {
		ports <- r.RemoteAddr
		return rpfake.EndpointFault{Unframed: n.Add(1) == 2}
	}
	gw := p.startGateway("front-1")
	for i := range 3 {
		id := fmt.Sprintf("r%d", i)
		got := gw.send(rpfake.CallerRequest{ID: id, Path: "/stock/1", Body: id})
		g.Expect(got.Status).To(Equal(http.StatusOK))
		g.Expect(got.Complete).To(BeTrue())
		g.Expect(got.Body).To(Equal("answer to " + id))
		g.Expect(service.Runs(id)).To(Equal(1))
	}
	first, second, third := <-ports, <-ports, <-ports
	g.Expect(second).To(Equal(first), "the second request uses the kept connection")
	g.Expect(third).NotTo(Equal(second), "the connection has ended with its response")
}
