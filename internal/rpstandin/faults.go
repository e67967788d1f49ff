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
	// maxRequestBytes is above the largest transaction (4 MB) of the
	// DynamoDB protocol, whose binary attributes grow by a third in JSON.
	maxRequestBytes = 8 << 20
)

// FaultSettings says how a stand-in misbehaves. The zero value is no fault.
type FaultSettings struct {
	// Unavailable refuses every request with 503; nothing takes effect.
	Unavailable bool `json:"unavailable"`
	// DelayMS is the time in milliseconds between a request's arrival and its
	// effect, which takes place even when the client has gone away.
	DelayMS int `json:"delay_ms"`
	// Hold keeps requests back until it is false again. They then take effect
	// even when the client has gone away.
	Hold bool `json:"hold"`
	// LoseAnswers is the share (0 to 1), LoseNextAnswers the number of requests
	// that take effect and whose connection is closed without an answer.
	LoseAnswers     float64 `json:"lose_answers"`
	LoseNextAnswers int     `json:"lose_next_answers"`
	// DropRequests is the share (0 to 1) of requests whose connection is closed
	// without an effect.
	DropRequests float64 `json:"drop_requests"`
}

// Faults injects the faults of one stand-in.
type Faults struct {
	faultsMu sync.Mutex
	settings FaultSettings
	released chan struct{}
}

// SetFaults replaces all settings.
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

// planFaults returns the settings for one request, with LoseAnswers and
// DropRequests decided to be 0 or 1, and what a held request waits for.
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

// serveWithFaults runs a request through the faults; refusal is the body of a
// refusal in the protocol. The body is read in full first and the answer is
// written last, so that the effect of a request never depends on how long the
// client waits.
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
	answer := httptest.NewRecorder()
	serve(answer, r)
	if plan.LoseAnswers == 1 {
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
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

// listenAndServe serves a platform stand-in until the context ends.
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
