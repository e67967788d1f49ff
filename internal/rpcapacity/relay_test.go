package rpcapacity_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/internal/rpfront"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	relayStreams = 64
	relayTokens  = 2000
)

// relayTokenNS measures the processor time for relaying a token through the
// front end and the endpoint client. The fake engine and the caller run in the
// same process, so the result is an upper bound.
func relayTokenNS(t *testing.T) float64 {
	g := NewWithT(t)
	engine := httptest.NewServer(http.HandlerFunc(serveTokens))
	defer engine.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(engine.URL, "http://"))
	client := &rpendpoint.Client{Post: func(rpcore.Event) {}}
	defer client.Close()
	front := &rpfront.Server{RunAttempt: client.Run}
	front.Post = func(ev rpcore.Event) {
		if arrived, ok := ev.(rpcore.RequestArrived); ok {
			key := rpcore.ModelKey{Service: "s", Name: "m"}
			go front.StartAttempt(rpcore.StartAttempt{
				Attempt: rpcore.AttemptID(arrived.Request.ID), Request: arrived.Request.ID, Address: address, Model: key,
				Deadline: time.Now().Add(time.Minute),
			})
		}
	}
	caller := httptest.NewServer(front.Handler())
	defer caller.Close()
	begin := processorTime()
	var group sync.WaitGroup
	for range relayStreams {
		group.Go(func() { readStream(g, caller.URL) })
	}
	group.Wait()
	return float64(processorTime()-begin) / (relayStreams * relayTokens)
}

func serveTokens(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := range relayTokens {
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token%d \"}}]}\n\n", i)
		_ = flusher.Flush()
	}
	_, _ = io.WriteString(w, "data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

func readStream(g *WithT, address string) {
	body := strings.NewReader(`{"model":"s/m","stream":true,"messages":[{"role":"user","content":"x"}]}`)
	response, err := http.Post(address+"/v1/chat/completions", "application/json", body)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.HasSuffix(strings.TrimSpace(string(text)), "data: [DONE]")).To(BeTrue())
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
