package rpplatform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpplatform"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// eventTimeout is the timeout for events that must happen. No passing test waits
// that long.
const eventTimeout = 20 * time.Second

// withServer serves a handler on a loopback address until the test ends.
func withServer(t *testing.T, handler http.Handler) rpplatform.Access {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return rpplatform.Access{Endpoint: server.URL, AccessKey: "key", SecretKey: "secret"}
}

// tableClient runs operations of a Table and waits for their events.
type tableClient struct {
	*rpplatform.Table
	t      *testing.T
	events chan rpcore.Event
	lastOp rpcore.OpID
}

func withTable(t *testing.T, access rpplatform.Access) *tableClient {
	t.Helper()
	events := make(chan rpcore.Event, 1000)
	table := &rpplatform.Table{
		Access: access, Name: "rattanpaddle", Timeout: eventTimeout,
		Post: func(ev rpcore.Event) { events <- ev },
		Log:  zerolog.New(zerolog.NewTestWriter(t)),
	}
	t.Cleanup(func() {
		NewWithT(t).Expect(table.Close(context.Background())).To(Succeed())
	})
	return &tableClient{Table: table, t: t, events: events}
}

func (c *tableClient) write(writes ...rpcore.RowWrite) rpcore.WriteOutcome {
	c.t.Helper()
	c.lastOp++
	c.WriteTable(rpcore.WriteTable{Op: c.lastOp, Writes: writes})
	done := receive[rpcore.TableWriteDone](c.t, c.events)
	NewWithT(c.t).Expect(done.Op).To(Equal(c.lastOp))
	return done.Outcome
}

func (c *tableClient) read(effect rpcore.ReadTable) rpcore.TableReadDone {
	c.t.Helper()
	c.lastOp++
	effect.Op = c.lastOp
	c.ReadTable(effect)
	return receive[rpcore.TableReadDone](c.t, c.events)
}

func receive[T rpcore.Event](t *testing.T, events <-chan rpcore.Event) T {
	t.Helper()
	var ev rpcore.Event
	NewWithT(t).Eventually(events).WithTimeout(eventTimeout).Should(Receive(&ev))
	typed, ok := ev.(T)
	NewWithT(t).Expect(ok).To(BeTrue(), "got %T", ev)
	return typed
}

// withResponse returns access to a service that gives the same response to every
// request.
func withResponse(status int, body string) rpplatform.Access {
	return rpplatform.Access{Endpoint: "http://service.test", RoundTrip: func(r *http.Request) (*http.Response, error) {
		return &http.Response{
			StatusCode: status, Request: r, Header: http.Header{},
			Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}}
}

func modelKey(name string) rpcore.RowKey {
	return rpcore.RowKey{Kind: rpcore.RowModel, Service: "mixadvies", Name: name}
}

// modelWrite returns a write of a model row whose only slot has the nonce of the
// write.
func modelWrite(name string, expect uint64, nonce rpcore.Nonce) rpcore.RowWrite {
	return rpcore.RowWrite{
		Key: modelKey(name), ExpectVersion: expect, Nonce: nonce,
		RowBody: rpcore.RowBody{Model: &rpcore.ModelRow{Slots: []rpcore.Slot{{Nonce: nonce, Fence: expect}}}},
	}
}

var (
	noFaults     = rpstandin.FaultSettings{}
	unavailable  = rpstandin.FaultSettings{Unavailable: true}
	dropRequests = rpstandin.FaultSettings{DropRequests: 1}
)
