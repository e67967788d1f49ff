package rpstandin

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

var errCanceled = errors.New("the request was canceled")

// defaultTokens is the number of tokens of a response if the request has no
// max_tokens.
const defaultTokens = 16

// engineRequest is one inference request.
type engineRequest struct {
	Model     string
	Prompt    json.RawMessage
	Messages  []struct{ Role, Content string }
	MaxTokens int `json:"max_tokens"`
	Stream    bool
	Priority  int

	id                   string
	resumeAfter, arrival int
	chat                 bool
	model                *engineModel
	// admitted is closed when the request may start.
	admitted chan struct{}
}

func (e *Engine) serveInference(w http.ResponseWriter, r *http.Request) {
	req := &engineRequest{admitted: make(chan struct{}), id: r.Header.Get("X-Request-Id"), chat: mux.Vars(r)["kind"] != "completions"}
	if err := json.NewDecoder(io.LimitReader(r.Body, 64<<20)).Decode(req); err != nil {
		(&refusal{http.StatusBadRequest, "invalid_request", "the body can't be read"}).send(w)
		return
	}
	req.MaxTokens = cmp.Or(req.MaxTokens, defaultTokens)
	req.resumeAfter, _ = strconv.Atoi(r.Header.Get("Rattan-Resume-After"))
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if refused := e.enqueue(req, cancel); refused != nil {
		refused.send(w)
		return
	}
	defer e.removeRequest(req)
	select {
	case <-req.admitted:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	if e.generate(ctx, w, req, r.Header.Get("Idempotency-Key")) != nil {
		panic(http.ErrAbortHandler)
	}
}

// enqueue adds a request to the queue, or refuses it.
func (e *Engine) enqueue(req *engineRequest, cancel context.CancelCauseFunc) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.models[req.Model]
	switch {
	case e.leaving:
		return &refusal{http.StatusServiceUnavailable, "leaving", "the engine is leaving"}
	case m == nil || !m.ready || m.unloading:
		return &refusal{http.StatusNotFound, "model_not_loaded", "the model is not loaded"}
	case len(e.queue) >= e.cfg.MaxWaiting:
		return &refusal{http.StatusServiceUnavailable, "busy", "the queue is full"}
	}
	m.running++
	e.arrivals++
	req.arrival, req.model = e.arrivals, m
	e.cancelFuncs[req.id] = cancel
	e.queue = append(e.queue, req)
	e.admitWaiting()
	return nil
}

// admitWaiting starts waiting requests in the order of priority, then of arrival,
// while fewer than Concurrency requests are running.
func (e *Engine) admitWaiting() {
	slices.SortFunc(e.queue, func(a, b *engineRequest) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	for len(e.queue) > 0 && e.state.Running < e.cfg.Concurrency {
		close(e.queue[0].admitted)
		e.queue = e.queue[1:]
		e.state.Running++
	}
}

func (e *Engine) removeRequest(req *engineRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.queue, req); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	} else {
		e.state.Running--
	}
	delete(e.cancelFuncs, req.id)
	req.model.running--
	e.changed.Broadcast()
	e.admitWaiting()
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.cancelFuncs[mux.Vars(r)["id"]]; cancel != nil {
		e.state.Canceled++
		cancel(errCanceled)
	}
	w.WriteHeader(http.StatusNoContent)
}

// startExecution counts an execution. It returns the number of prompt blocks that
// are not cached, and the number of tokens after which to abort the connection, or
// -1.
func (e *Engine) startExecution(req *engineRequest, key string) (misses, breakAt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Executions[req.id]++
	if key != "" {
		e.state.ByKey[key]++
	}
	breakAt = -1
	if req.Stream && len(e.breakAfter) > 0 {
		breakAt, e.breakAfter = e.breakAfter[0], e.breakAfter[1:]
	}
	return e.cache.touchBlocks(prefixBlockHashes(req.Model, req.promptText())), breakAt
}

// generate produces and sends the tokens, starting at the resume point.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, req *engineRequest, key string) error {
	misses, breakAt := e.startExecution(req, key)
	if err := sleepContext(ctx, scaleDuration(e.cfg.PrefillTime, e.cfg.TimeScale)*time.Duration(misses)); err != nil {
		return err
	}
	if req.chat {
		req.sendChunk(w, map[string]string{"role": "assistant", "content": ""}, "", nil)
	}
	text := ""
	for i := req.resumeAfter; i < req.MaxTokens; i++ {
		if i-req.resumeAfter == breakAt {
			return http.ErrAbortHandler
		}
		if err := sleepContext(ctx, e.tokenInterval()); err != nil {
			return err
		}
		token := EngineToken(req.promptText(), i)
		req.sendChunk(w, map[string]string{"content": token}, token, nil)
		text += token
	}
	if req.Stream {
		req.sendChunk(w, map[string]string{}, "", "length")
		fmt.Fprint(w, "data: [DONE]\n\n")
		return nil
	}
	writeJSON(w, http.StatusOK, req.responseBody("message", map[string]string{"role": "assistant", "content": text}, text, "length"))
	return nil
}

// tokenInterval returns the time until the next token of a request. All running
// requests share TokenRate.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.cfg.TokenTime
	if e.cfg.TokenRate > 0 {
		step = max(step, time.Duration(float64(e.state.Running)/e.cfg.TokenRate*float64(time.Second)))
	}
	return scaleDuration(step, e.cfg.TimeScale)
}

// responseBody returns a response or a chunk of a stream in the format of the OpenAI
// protocol.
func (r *engineRequest) responseBody(member string, message map[string]string, text string, finish any) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": finish}
	object := "text_completion"
	if r.chat {
		choice[member] = message
		object = strings.TrimSuffix("chat.completion."+map[bool]string{true: "chunk"}[r.Stream], ".")
	} else {
		choice["text"] = text
	}
	return map[string]any{"id": "cmpl-" + r.id, "object": object, "created": 1, "model": r.Model, "choices": []any{choice}}
}

// sendChunk writes a chunk of a stream. It does nothing if the request does not ask
// for a stream.
func (r *engineRequest) sendChunk(w http.ResponseWriter, delta map[string]string, text string, finish any) {
	if !r.Stream {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	data, _ := json.Marshal(r.responseBody("delta", delta, text, finish))
	fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

// EngineToken returns token i of the response to a prompt. It is the same on every
// replica.
func EngineToken(prompt string, i int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(prompt+"\x00"+strconv.Itoa(i))))
}

// promptText returns the text that determines the prefix blocks and the tokens. For a
// chat, it consists of the role and the content of each message, each followed by a
// zero byte.
func (r *engineRequest) promptText() string {
	var text string
	if !r.chat && json.Unmarshal(r.Prompt, &text) != nil {
		return string(r.Prompt)
	}
	for _, m := range r.Messages {
		text += m.Role + "\x00" + m.Content + "\x00"
	}
	return text
}
