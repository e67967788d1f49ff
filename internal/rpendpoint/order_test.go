package rpendpoint_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

func withClient(t *testing.T) (*rpendpoint.Client, chan rpcore.Event) {
	events := make(chan rpcore.Event, 100)
	client := &rpendpoint.Client{Post: func(ev rpcore.Event) { events <- ev }}
	t.Cleanup(client.Close)
	return client, events
}

// Guards against an order that is reported as not sent or rejected although it may
// still take effect. The reducer would then free memory that is in use.
func TestOrderResults(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		result  rpcore.OrderResult
	}{
		{"done", respondWith(200, jsonType, `{}`), rpcore.OrderDone},
		{"fenced", respondWith(409, jsonType, `{"error":{"code":"fenced","message":"old"}}`), rpcore.OrderFenced},
		{"conflict", respondWith(409, jsonType, `{"code":"out_of_memory","detail":"old"}`), rpcore.OrderRejected},
		{"rejected", respondWith(400, "text/plain", `old`), rpcore.OrderRejected},
		{"leaving", respondWith(503, jsonType, `{"code":"leaving","message":"old"}`), rpcore.OrderRejected},
		{"500", respondWith(500, "text/plain", `old`), rpcore.OrderUnknown},
		{"503", respondWith(503, "text/plain", `old`), rpcore.OrderUnknown},
		{"redirect", respondWith(307, "text/plain", `old`), rpcore.OrderUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client, events := withClient(t)
			client.SendOrder(rpcore.SendOrder{Order: "o1", Endpoint: "e1", Address: addressOf(server.URL), Timeout: time.Minute})
			answered := (<-events).(rpcore.OrderAnswered)
			g.Expect(answered.Result).To(Equal(c.result))
			g.Expect(answered.Order).To(Equal(rpcore.OrderID("o1")))
			if c.result != rpcore.OrderDone {
				g.Expect(answered.Detail).To(Equal("old"))
			}
		})
	}
}

// Guards against a wrong result of an order that gets no response, and against
// sending an order twice.
func TestOrdersWithoutResponse(t *testing.T) {
	var requests atomic.Int32
	hang := withRawServer(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	drop := withRawServer(t, func(conn net.Conn) {
		requests.Add(1)
		_, _ = conn.Read(make([]byte, 1))
	})
	for _, c := range []struct {
		name    string
		address netip.AddrPort
		result  rpcore.OrderResult
	}{
		{"refused", closedAddress(t), rpcore.OrderNotSent},
		{"lost response", drop, rpcore.OrderUnknown},
		{"timeout", hang, rpcore.OrderUnknown},
	} {
		g := NewWithT(t)
		client, events := withClient(t)
		client.SendOrder(rpcore.SendOrder{Address: c.address, Timeout: 100 * time.Millisecond})
		g.Expect((<-events).(rpcore.OrderAnswered).Result).To(Equal(c.result), c.name)
	}
	NewWithT(t).Expect(requests.Load()).To(BeEquivalentTo(1))
}

// Guards against orders in a format that engines don't understand.
func TestOrderRequest(t *testing.T) {
	g := NewWithT(t)
	var uri, body string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		uri, body = r.RequestURI, string(raw)
	}))
	defer server.Close()
	client, events := withClient(t)
	client.SendOrder(rpcore.SendOrder{
		Address: addressOf(server.URL), Incarnation: "i1", Fence: 9, Kind: rpcore.OrderUnloadAdapter, Version: "3",
		Model: rpcore.ModelKey{Service: "mix", Name: "dutch"}, BaseModel: "small", Checkpoint: "c", Memory: 5,
	})
	<-events
	g.Expect(uri).To(Equal("/v2/repository/models/mix%2Fdutch/unload"))
	g.Expect(body).To(MatchJSON(`{"parameters":{"fencing_number":9,"incarnation":"i1","kind":"unload_adapter",
		"version":"3","memory_bytes":5,"checkpoint":"c","base_model":"small"}}`))
}

// Guards against a view of an engine's cache that stays wrong after a gap in the
// events, and against polls that continue after they were stopped.
func TestPolling(t *testing.T) {
	g := NewWithT(t)
	engine := rpstandin.NewEngine(rpstandin.EngineConfig{ID: "e1", Incarnation: "i1", Memory: rpdocument.GiB, CacheGapEvery: 1})
	server := httptest.NewServer(engine)
	defer server.Close()
	client, events := withClient(t)
	client.SendOrder(rpcore.SendOrder{Address: addressOf(server.URL), Kind: rpcore.OrderLoadModel, Model: rpcore.ModelKey{Service: "mix", Name: "small"}, Memory: 7})
	g.Expect((<-events).(rpcore.OrderAnswered).Result).To(Equal(rpcore.OrderDone))
	client.PollEngine(rpcore.PollEngine{Endpoint: "e1", Address: addressOf(server.URL), Interval: time.Millisecond})
	g.Expect((<-events).(rpcore.EngineReported).Report).To(And(
		HaveField("Loaded", ConsistOf(HaveField("Memory", rpdocument.Bytes(7)))), HaveField("Incarnation", rpcore.Incarnation("i1"))))
	g.Expect(nextCacheEvents(events)).To(And(HaveField("Reset", true), HaveField("Added", BeEmpty())))

	for i, want := range []int{4, 8} {
		text, _ := json.Marshal(map[string]string{"prompt": longPrompt(i)})
		a := inferenceAttempt(addressOf(server.URL), false)
		delete(a.Fields, "stream")
		g.Expect(json.Unmarshal(text, &a.Fields)).To(Succeed())
		a.Path = "/v1/completions"
		g.Expect(client.Run(t.Context(), a, (&callerRecorder{}).relay()).Reason).To(Equal(rpcore.AttemptComplete))
		batch := nextCacheEvents(events)
		if !batch.Reset {
			batch = nextCacheEvents(events)
		}
		g.Expect(batch.Reset).To(BeTrue())
		g.Expect(batch.Added).To(HaveLen(want))
	}

	client.PollEngine(rpcore.PollEngine{Endpoint: "e1", Address: closedAddress(t), Interval: time.Millisecond})
	g.Eventually(events).Should(Receive(And(BeAssignableToTypeOf(rpcore.EngineUnreachable{}), HaveField("Refused", true))))
	client.PollEngine(rpcore.PollEngine{Endpoint: "e1", Address: addressOf(server.URL), Interval: time.Millisecond})
	g.Eventually(events).Should(Receive(BeAssignableToTypeOf(rpcore.EngineReported{})))
	client.PollEngine(rpcore.PollEngine{Endpoint: "e1"})
	client.Close()
	g.Expect(len(events)).To(BeNumerically("<", cap(events)))
}

func longPrompt(i int) string {
	prompt := make([]byte, 1024)
	for j := range prompt {
		prompt[j] = byte('a' + i)
	}
	return string(prompt)
}

func nextCacheEvents(events chan rpcore.Event) rpcore.CacheEventsReceived {
	for ev := range events {
		if ev, ok := ev.(rpcore.CacheEventsReceived); ok {
			return ev
		}
	}
	return rpcore.CacheEventsReceived{}
}
