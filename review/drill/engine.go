package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"
)

// entryLapse is how long after its last heartbeat the platform removes an entry: three
// intervals.
const entryLapse = 3 * heartbeatTime

// The headers of the platform that the stand-ins use.
const (
	headerID       = "X-Rattanpaddle-Attempt-Id"
	headerSeal     = "X-Rattanpaddle-Server-Seal"
	headerDeadline = "X-Rattanpaddle-Deadline-Ms"
	headerNotRun   = "X-Rattanpaddle-Not-Executed"
	headerEngine   = "X-Rattanpaddle-Instance-Id"
	headerExpected = "X-Rattanpaddle-Expect-Instance"
	headerModel    = "X-Rattanpaddle-Model"
)

// engine is a stand-in of an engine. It registers itself in the store and answers
// reports, orders and requests.
type engine struct {
	drill   *drill
	id      string
	service string
	// answer answers a request that runs.
	answer func(w http.ResponseWriter, r *http.Request, body []byte)
	// loadTime is the time of a load.
	loadTime time.Duration
	// slots is the number of requests that run at once; 0 means no limit. Others wait
	// in the engine's queue.
	slots int

	address netip.AddrPort
	born    int64
	stop    func()

	mu       sync.Mutex
	silent   bool
	beats    uint64
	sequence uint64
	busy     bool
	models   []string
	onDisk   []string
	orders   []orderSeen
	// unloading is the model that an order is unloading, or "". running counts the
	// requests that run, by model.
	unloading string
	running   map[string]int
}

// orderSeen is an order that the engine accepted.
type orderSeen struct {
	at     time.Time
	holder string
	fence  uint64
	text   string
}

// start starts the engine and registers it.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = listener.Addr().(*net.TCPAddr).AddrPort()
	e.born = time.Now().UnixMilli()
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	done := make(chan struct{})
	e.stop = sync.OnceFunc(func() {
		close(done)
		_ = server.Close()
	})
	e.drill.stops = append(e.drill.stops, e.stop)
	e.beat()
	go func() {
		ticker := time.NewTicker(heartbeatTime)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				e.beat()
			}
		}
	}()
	e.drill.notef("engine %s of service %s listens at %s", e.id, e.service, e.address)
	return nil
}

// crash ends the engine: its connections break off, and its entry lapses.
func (e *engine) crash() {
	e.drill.notef("engine %s crashes", e.id)
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	e.stop()
	time.AfterFunc(entryLapse, func() { e.drill.store.Remove("servers", e.id) })
}

// setSilent cuts the engine off from the store, or ends the cut with a heartbeat.
func (e *engine) setSilent(silent bool) {
	e.mu.Lock()
	e.silent = silent
	e.mu.Unlock()
	e.beat()
}

// beat writes the engine's entry, unless it is cut off from the store.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return
	}
	e.beats++
	_ = e.drill.store.Put("servers", e.id, map[string]any{
		"service": e.service, "addr": e.address.String(), "zone": "west-a", "version": "1", "slots": max(6, e.slots), "state": "ready",
		"cold_left_ms": 0, "seq": e.beats, "born": e.born, "phase": "colocated", "models": e.heldModels(),
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": e.onDisk},
	})
}

func (e *engine) heldModels() []map[string]any {
	held := []map[string]any{}
	for _, name := range e.models {
		held = append(held, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return held
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(headerExpected); expected != "" && expected != e.id {
		w.Header().Set(headerEngine, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.serveReport(w)
		return
	case "/order":
		e.serveOrder(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, model := r.Header.Get(headerID), r.Header.Get(headerModel)
	w.Header().Set(headerID, id)
	if status := e.admit(r.Context(), model); status != 0 {
		e.drill.notef("engine %s rejects %s with %d", e.id, id, status)
		if status == http.StatusMisdirectedRequest {
			w.Header().Set(headerEngine, e.id)
		} else {
			w.Header().Set(headerNotRun, "1")
		}
		w.WriteHeader(status)
		return
	}
	defer e.leave(model)
	e.drill.notef("engine %s runs %s: %s %s, host %s, %d bytes", e.id, id, r.Method, r.RequestURI, r.Host, len(body))
	w.Header().Set(headerSeal, "seal."+e.id)
	e.answer(w, r, body)
}

// admit waits for a slot. It returns 0, or the status with which the engine rejects the
// request: 421 without the model, 503 while an order unloads it.
func (e *engine) admit(ctx context.Context, model string) int {
	for {
		e.mu.Lock()
		running := 0
		for _, n := range e.running {
			running += n
		}
		switch {
		case model != "" && model == e.unloading:
			e.mu.Unlock()
			return http.StatusServiceUnavailable
		case model != "" && !slices.Contains(e.models, model):
			e.mu.Unlock()
			return http.StatusMisdirectedRequest
		case e.slots == 0 || running < e.slots:
			if e.running == nil {
				e.running = map[string]int{}
			}
			e.running[model]++
			e.mu.Unlock()
			return 0
		}
		e.mu.Unlock()
		select {
		case <-ctx.Done():
			return http.StatusServiceUnavailable
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// leave ends a request, and the unload that waits for it.
func (e *engine) leave(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[model]--
	e.finishUnload()
}

// finishUnload completes an unload once no request for the model runs. mu must be held.
func (e *engine) finishUnload() {
	if e.unloading == "" || e.running[e.unloading] > 0 {
		return
	}
	e.models = slices.DeleteFunc(e.models, func(name string) bool { return name == e.unloading })
	e.unloading, e.busy = "", false
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{
		"phase": "colocated", "models": e.heldModels(), "busy": e.busy, "seq": e.sequence, "queued": 0, "active": 0,
		"kv_used": 0, "kv_total": 90000, "handles": 0, "born": e.born, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": e.onDisk},
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Op       string  `json:"op"`
		Model    string  `json:"model"`
		Holder   string  `json:"holder"`
		Fence    uint64  `json:"fencing_token"`
		Expected *uint64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	text := fmt.Sprintf("%s %s", body.Op, body.Model)
	if e.busy || body.Expected != nil && *body.Expected != e.sequence {
		e.drill.notef("engine %s answers 409 to the order %q of %s, token %d", e.id, text, body.Holder, body.Fence)
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	e.orders = append(e.orders, orderSeen{at: time.Now(), holder: body.Holder, fence: body.Fence, text: text})
	e.drill.notef("engine %s accepts the order %q of %s, token %d", e.id, text, body.Holder, body.Fence)
	if body.Op == "unload" {
		e.unloading, e.busy = body.Model, true
		e.finishUnload()
	} else {
		e.busy = true
		time.AfterFunc(e.loadTime, func() {
			e.mu.Lock()
			e.busy = false
			e.models = append(e.models, body.Model)
			if !slices.Contains(e.onDisk, body.Model) {
				e.onDisk = append(e.onDisk, body.Model)
			}
			e.mu.Unlock()
			e.beat()
		})
	}
	w.WriteHeader(http.StatusAccepted)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// answerText answers with a body of known length.
func answerText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
