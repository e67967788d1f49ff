package rpstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	faultsPath = "/standin/faults"
	// maxRequestBytes is larger than a transaction of the DynamoDB protocol can
	// be: at most 4 MB, whose binary attributes grow by a third in JSON.
	maxRequestBytes = 8 << 20
)

// FaultSettings are the faults to inject into a stand-in. The zero value means no
// faults.
type FaultSettings struct {
	// Unavailable rejects every request with 503, without effect.
	Unavailable bool `json:"unavailable"`
	// DelayMS is the time in milliseconds between the arrival of a request and
	// its effect. The request takes effect even if the client disconnects.
	DelayMS int `json:"delay_ms"`
	// Hold delays requests until it is false again. They then take effect even if
	// the client has disconnected.
	Hold bool `json:"hold"`
	// LoseAnswers is the fraction (0 to 1) of requests that take effect and whose
	// connection is then closed without a response. LoseNextAnswers is the
	// number of next requests that this happens to.
	LoseAnswers     float64 `json:"lose_answers"`
	LoseNextAnswers int     `json:"lose_next_answers"`
	// DropRequests is the fraction (0 to 1) of requests that have no effect and
	// whose connection is closed without a response.
	DropRequests float64 `json:"drop_requests"`
}

// Faults injects faults into a stand-in that embeds it.
type Faults struct {
	faultsMu sync.Mutex
	settings FaultSettings
	released chan struct{}
}

// SetFaults replaces all fault settings.
func (f *Faults) SetFaults(settings FaultSettings) {
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	if settings.Hold && f.released == nil {
		f.released = make(chan struct{})
	}
	if !settings.Hold && f.released != nil {
		close(f.released)
		f.released = nil
	}
	f.settings = settings
}

// planFaults returns the fault settings of one request. LoseAnswers and DropRequests
// are drawn at random and set to 0 or 1. The channel is not nil if the request is
// held, and is closed when the request may proceed.
func (f *Faults) planFaults() (FaultSettings, <-chan struct{}) {
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	plan := f.settings
	plan.DropRequests = drawFault(plan.DropRequests)
	plan.LoseAnswers = drawFault(plan.LoseAnswers)
	if !plan.Unavailable && plan.DropRequests == 0 && plan.LoseNextAnswers > 0 {
		f.settings.LoseNextAnswers--
		plan.LoseAnswers = 1
	}
	return plan, f.released
}

func drawFault(ratio float64) float64 {
	if rand.Float64() < ratio {
		return 1
	}
	return 0
}

// serveWithFaults serves a request and injects the faults. refusal is the response
// body, in the format of the protocol, if the stand-in is unavailable. The request
// body is read completely before the request takes effect, and the response is
// written afterwards, so that the effect does not depend on how long the client
// waits.
func (f *Faults) serveWithFaults(w http.ResponseWriter, r *http.Request, refusal string, serve http.HandlerFunc) {
	if r.URL.Path == faultsPath {
		f.serveFaults(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	plan, released := f.planFaults()
	if plan.Unavailable {
		http.Error(w, refusal, http.StatusServiceUnavailable)
		return
	}
	if released != nil {
		<-released
	}
	time.Sleep(time.Duration(plan.DelayMS) * time.Millisecond)
	if plan.DropRequests == 1 {
		panic(http.ErrAbortHandler)
	}
	recorder := httptest.NewRecorder()
	serve(recorder, r)
	if plan.LoseAnswers == 1 {
		panic(http.ErrAbortHandler)
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

func (f *Faults) serveFaults(w http.ResponseWriter, r *http.Request) {
	var settings FaultSettings
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil || r.Method != http.MethodPost {
		http.Error(w, "send the fault settings as JSON with POST", http.StatusBadRequest)
		return
	}
	f.SetFaults(settings)
	w.WriteHeader(http.StatusNoContent)
}

// listenAndServe listens on an address and serves a platform stand-in until the
// context ends.
func listenAndServe(ctx context.Context, listen netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return trace.Wrap(err)
	}
	return nil
}
