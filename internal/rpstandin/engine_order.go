package rpstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

type engineOrder struct {
	FencingNumber uint64             `json:"fencing_number"`
	Incarnation   rpcore.Incarnation `json:"incarnation"`
	Kind          rpcore.OrderKind   `json:"kind"`
	Version       string             `json:"version"`
	MemoryBytes   uint64             `json:"memory_bytes"`
	Checkpoint    string             `json:"checkpoint"`
	BaseModel     string             `json:"base_model"`
}

// engineModel is a model or adapter that uses memory, from the start of its load to
// the end of its unload.
type engineModel struct {
	rpcore.LoadedModel
	ready, unloading bool
	running          int
}

// refusal is an error response of an endpoint.
type refusal struct {
	status        int
	code, message string
}

func (r *refusal) send(w http.ResponseWriter) {
	writeJSON(w, r.status, map[string]any{"error": map[string]string{"code": r.code, "message": r.message}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serveOrder executes an order completely, even if the connection breaks, because an
// engine does not undo a load whose response can't be delivered.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(mux.Vars(r)["name"])
	var body struct{ Parameters engineOrder }
	if err == nil {
		err = json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&body)
	}
	key, keyErr := rpcore.ParseModelKey(name)
	if err != nil || keyErr != nil {
		(&refusal{http.StatusBadRequest, "invalid_request", "the order can't be read"}).send(w)
		return
	}
	execute := e.load
	if mux.Vars(r)["action"] == "unload" {
		execute = e.unload
	}
	if refused := execute(key, body.Parameters); refused != nil {
		refused.send(w)
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"name": name})
}

// checkOrder refuses an order if the engine is leaving or the order is fenced, and
// otherwise records its fencing number.
func (e *Engine) checkOrder(order engineOrder) *refusal {
	if e.leaving {
		return &refusal{http.StatusServiceUnavailable, "leaving", "the engine is leaving"}
	}
	if e.cfg.EnforceFencing && (order.FencingNumber < e.highestFence || order.Incarnation != e.cfg.Incarnation) {
		return &refusal{http.StatusConflict, "fenced", fmt.Sprintf("the order is older than fencing number %d or for another incarnation", e.highestFence)}
	}
	e.highestFence = max(e.highestFence, order.FencingNumber)
	return nil
}

// load loads a model and returns when it is ready. If the same version is already
// loaded or loading, load only waits until it is ready.
func (e *Engine) load(key rpcore.ModelKey, order engineOrder) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.checkOrder(order); refused != nil {
		return refused
	}
	if m := e.models[key.String()]; m != nil {
		if m.unloading || m.Version != order.Version {
			return &refusal{http.StatusConflict, "conflict", "another version is loaded or the model is being unloaded"}
		}
		for !m.ready {
			e.changed.Wait()
		}
		return nil
	}
	m, refused := e.reserveMemory(key, order)
	if refused != nil {
		return refused
	}
	e.mu.Unlock()
	e.loadCheckpoint(order)
	e.mu.Lock()
	m.ready = true
	e.state.Loads++
	e.changed.Broadcast()
	return nil
}

func (e *Engine) reserveMemory(key rpcore.ModelKey, order engineOrder) (*engineModel, *refusal) {
	base := e.models[rpcore.ModelKey{Service: key.Service, Name: order.BaseModel}.String()]
	if order.Kind == rpcore.OrderLoadAdapter && (base == nil || !base.ready || base.unloading) {
		return nil, &refusal{http.StatusConflict, "base_not_loaded", "the base model is not loaded"}
	}
	used := rpdocument.Bytes(order.MemoryBytes)
	for _, m := range e.models {
		used += m.Memory
	}
	if used > e.cfg.Memory {
		e.state.Overcommits++
		return nil, &refusal{http.StatusConflict, "out_of_memory", "the accelerator memory is not enough"}
	}
	e.state.HighestMemory = max(e.state.HighestMemory, used)
	m := &engineModel{LoadedModel: rpcore.LoadedModel{Key: key, Version: order.Version, BaseModel: order.BaseModel, Memory: rpdocument.Bytes(order.MemoryBytes)}}
	e.models[key.String()] = m
	return m, nil
}

// loadCheckpoint waits for the duration of a load, which depends on the place of the
// checkpoint.
func (e *Engine) loadCheckpoint(order engineOrder) {
	if order.Kind == rpcore.OrderLoadAdapter {
		_ = sleepContext(context.Background(), scaleDuration(e.cfg.AdapterTime, e.cfg.TimeScale))
		return
	}
	e.mu.Lock()
	place, cached := e.checkpointPlaces[order.Checkpoint]
	e.mu.Unlock()
	if !cached {
		place = rpcore.PlaceRemote
	}
	if place == rpcore.PlaceRemote && e.cfg.Weights != "" {
		if resp, err := http.Get(e.cfg.Weights + "/weights/" + url.PathEscape(order.Checkpoint)); err == nil {
			resp.Body.Close()
		}
	}
	_ = sleepContext(context.Background(), scaleDuration(e.cfg.LoadTime[place], e.cfg.TimeScale))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkpointPlaces[order.Checkpoint] = rpcore.PlaceMemory
}

// unload refuses new requests for the model at once and frees its memory when its
// running requests have finished. It also unloads the adapters of the model.
func (e *Engine) unload(key rpcore.ModelKey, order engineOrder) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.checkOrder(order); refused != nil {
		return refused
	}
	targets := map[string]*engineModel{}
	for name, m := range e.models {
		if m.Key == key || m.Key.Service == key.Service && m.BaseModel == key.Name {
			m.unloading = true
			targets[name] = m
		}
	}
	for name, m := range targets {
		for !m.ready || m.running > 0 {
			e.changed.Wait()
		}
		if e.models[name] == m {
			delete(e.models, name)
			e.state.Unloads++
		}
	}
	return nil
}
