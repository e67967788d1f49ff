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

// Guards against an answer that proves nothing being taken for a refusal, and
// against a refusal that makes the reducer read rows back for nothing.
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
			table := withTable(t, withAnswer(c.status, c.body))
			NewWithT(t).Expect(table.write(modelWrite("a", 0, "n1"), modelWrite("b", 0, "n1"))).To(Equal(c.want))
		})
	}
}

// Guards against a write that never left being read back and repeated during
// an outage, as an unknown one would be.
func TestWriteWithoutConnectionIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	table := withTable(t, rpplatform.Access{Endpoint: "http://" + listener.Addr().String()})
	g.Expect(table.write(modelWrite("a", 0, "n1"))).To(Equal(rpcore.WriteUnavailable))
	g.Expect(table.read(rpcore.ReadTable{Keys: []rpcore.RowKey{modelKey("a")}}).Unavailable).To(BeTrue())
}

// Guards against a connection that breaks after the request being taken for a
// refusal, and against the SDK or the transport sending a write twice.
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

// Guards against a lost answer being taken for a refusal or repeated inside
// the client, where the second copy would report a conflict with the first.
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

// withNetworkTransport reaches a handler like a network does: a request that was sent is
// carried out even when the client has given up. It runs on a fake clock.
func withNetworkTransport(handler http.Handler) rpplatform.Access {
	return rpplatform.Access{Endpoint: "http://service.test", RoundTrip: func(r *http.Request) (*http.Response, error) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		sent := r.Clone(context.WithoutCancel(r.Context()))
		sent.Body = io.NopCloser(bytes.NewReader(body))
		answer := make(chan *http.Response, 1)
		go func() {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, sent)
			answer <- recorder.Result()
		}()
		select {
		case response := <-answer:
			return response, nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}}
}

// Guards against a timeout being taken for a refusal, since the write takes
// effect after the client has given up, and against an operation that waits
// longer than its timeout.
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

// Guards against an outage that leaves operations without an answer or with
// the wrong one, and against a client that does not recover.
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
