package rpplatform_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpplatform"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Guards against treating an inconclusive response as a rejected write, and against
// treating a rejected write as unknown, which makes the reducer read the rows for
// nothing.
func TestWriteOutcomeOfEachAnswer(t *testing.T) {
	failure := func(code string) string { return `{"__type":"com.amazonaws.dynamodb.v20120810#` + code + `"}` }
	canceled := func(reasons string) string {
		return `{"__type":"TransactionCanceledException","CancellationReasons":[` + reasons + `]}`
	}
	cases := []struct {
		name   string
		status int
		body   string
		want   rpcore.WriteOutcome
	}{
		{"success", 200, "{}", rpcore.WriteApplied},
		{"condition", 400, failure("ConditionalCheckFailedException"), rpcore.WriteConflict},
		{"conflict", 400, failure("TransactionConflictException"), rpcore.WriteConflict},
		{"in progress", 400, failure("TransactionInProgressException"), rpcore.WriteUnknown},
		{"throttled", 400, failure("ThrottlingException"), rpcore.WriteUnavailable},
		{"throughput", 400, failure("ProvisionedThroughputExceededException"), rpcore.WriteUnavailable},
		{"no table", 400, failure("ResourceNotFoundException"), rpcore.WriteUnavailable},
		{"invalid", 400, failure("ValidationException"), rpcore.WriteUnavailable},
		{"refused", 503, failure("ServiceUnavailable"), rpcore.WriteUnavailable},
		{"internal", 500, failure("InternalServerError"), rpcore.WriteUnknown},
		{"proxy 503", 503, "<html>upstream reset</html>", rpcore.WriteUnknown},
		{"proxy 504", 504, "", rpcore.WriteUnknown},
		{"proxy 429", 429, "", rpcore.WriteUnavailable},
		{"proxy 408", 408, "", rpcore.WriteUnknown},
		{"redirect", 307, "", rpcore.WriteUnknown},
		{"cut answer", 400, `{"__type":"Conditional`, rpcore.WriteUnavailable},
		{"cut success", 200, `{"Attri`, rpcore.WriteUnknown},
		{"canceled by a condition", 400, canceled(`{"Code":"ThrottlingError"},{"Code":"ConditionalCheckFailed"}`), rpcore.WriteConflict},
		{"canceled by another", 400, canceled(`{"Code":"None"},{"Code":"TransactionConflict"}`), rpcore.WriteConflict},
		{"canceled by throttling", 400, canceled(`{"Code":"None"},{"Code":"ThrottlingError"}`), rpcore.WriteUnavailable},
		{"canceled without reasons", 400, canceled(""), rpcore.WriteConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := withTable(t, withResponse(c.status, c.body))
			NewWithT(t).Expect(table.write(modelWrite("a", 0, "n1"), modelWrite("b", 0, "n1"))).To(Equal(c.want))
		})
	}
}

// Guards against reporting the outcome of a write as unknown although it was never
// sent. During an outage, the reducer would read and repeat such writes.
func TestWriteWithoutConnectionIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	table := withTable(t, rpplatform.Access{Endpoint: "http://" + listener.Addr().String()})
	g.Expect(table.write(modelWrite("a", 0, "n1"))).To(Equal(rpcore.WriteUnavailable))
	g.Expect(table.read(rpcore.ReadTable{Keys: []rpcore.RowKey{modelKey("a")}}).Unavailable).To(BeTrue())
}

// Guards against treating a connection that broke after the request as a rejected
// write, and against the SDK or the transport sending a write twice.
func TestBrokenConnectionIsUnknownAndNotRepeated(t *testing.T) {
	g := NewWithT(t)
	sent := 0
	table := withTable(t, rpplatform.Access{Endpoint: "http://service.test", RoundTrip: func(*http.Request) (*http.Response, error) {
		sent++
		return nil, errors.New("connection reset by peer")
	}})
	g.Expect(table.write(modelWrite("a", 0, "n1"))).To(Equal(rpcore.WriteUnknown))
	g.Expect(sent).To(Equal(1))
}

// Guards against treating a lost response as a rejected write, and against a retry
// inside the client, which would report a conflict with the first attempt.
func TestLostAnswerIsUnknownAndTakesEffect(t *testing.T) {
	g := NewWithT(t)
	service := &rpstandin.Table{}
	table := withTable(t, withServer(t, service))
	g.Expect(table.write(modelWrite("warm", 0, "n0"))).To(Equal(rpcore.WriteApplied))
	service.SetFaults(rpstandin.FaultSettings{LoseNextAnswers: 1})
	g.Expect(table.write(modelWrite("a", 0, "n1"))).To(Equal(rpcore.WriteUnknown))
	read := table.read(rpcore.ReadTable{Keys: []rpcore.RowKey{modelKey("a")}})
	g.Expect(read.Rows).To(HaveLen(1))
	g.Expect(read.Rows[0].Nonce).To(Equal(rpcore.Nonce("n1")))

	service.SetFaults(dropRequests)
	g.Expect(table.write(modelWrite("b", 0, "n1"), modelWrite("c", 0, "n1"))).To(Equal(rpcore.WriteUnknown))
	service.SetFaults(noFaults)
	g.Expect(table.read(rpcore.ReadTable{Keys: []rpcore.RowKey{modelKey("b"), modelKey("c")}}).Rows).To(BeEmpty())
}

// withNetworkTransport calls a handler the way a network does: a request that was
// sent takes effect even if the client has stopped waiting for it. It works with
// the fake clock of a synctest bubble.
func withNetworkTransport(handler http.Handler) rpplatform.Access {
	return rpplatform.Access{Endpoint: "http://service.test", RoundTrip: func(r *http.Request) (*http.Response, error) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		sent := r.Clone(context.WithoutCancel(r.Context()))
		sent.Body = io.NopCloser(bytes.NewReader(body))
		responses := make(chan *http.Response, 1)
		go func() {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, sent)
			responses <- recorder.Result()
		}()
		select {
		case response := <-responses:
			return response, nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}}
}

// Guards against treating a timeout as a rejected write, because the write may take
// effect after the client has stopped waiting, and against an operation that
// exceeds its timeout.
func TestLateEffectIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		service := &rpstandin.Table{}
		table := withTable(t, withNetworkTransport(service))
		table.Timeout = 0
		service.SetFaults(rpstandin.FaultSettings{DelayMS: 5000})
		began := time.Now()
		g.Expect(table.write(modelWrite("a", 0, "n1"))).To(Equal(rpcore.WriteUnknown))
		g.Expect(time.Since(began)).To(BeNumerically("~", rpplatform.DefaultTimeout, 100*time.Millisecond))
		service.SetFaults(noFaults)
		read := rpcore.ReadTable{Keys: []rpcore.RowKey{modelKey("a")}}
		g.Expect(table.read(read).Rows).To(BeEmpty())
		time.Sleep(5 * time.Second)
		g.Expect(table.read(read).Rows).To(HaveLen(1))
	})
}

// Guards against operations without a result or with the wrong result during an
// outage, and against a client that does not recover from it.
func TestOutage(t *testing.T) {
	g := NewWithT(t)
	service := &rpstandin.Table{}
	table := withTable(t, withServer(t, service))
	service.SetFaults(unavailable)
	g.Expect(table.write(modelWrite("a", 0, "n1"))).To(Equal(rpcore.WriteUnavailable))
	g.Expect(table.write(modelWrite("a", 0, "n1"), modelWrite("b", 0, "n1"))).To(Equal(rpcore.WriteUnavailable))
	g.Expect(table.read(rpcore.ReadTable{Prefix: rpcore.RowModel}).Unavailable).To(BeTrue())
	service.SetFaults(noFaults)
	g.Expect(table.write(modelWrite("a", 0, "n1"), modelWrite("b", 0, "n1"))).To(Equal(rpcore.WriteApplied))
}
