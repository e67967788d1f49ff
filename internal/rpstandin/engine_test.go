package rpstandin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// sendRequest sends a request to a stand-in and returns the status and the body of
// the response.
func sendRequest(handler http.Handler, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	text, _ := io.ReadAll(w.Body)
	return w.Code, string(text)
}

func sendOrder(e *Engine, name, action string, fence, memory int) (int, string) {
	body := fmt.Sprintf(`{"parameters":{"fencing_number":%d,"incarnation":"i1","memory_bytes":%d,"checkpoint":%q}}`, fence, memory, name)
	return sendRequest(e, http.MethodPost, "/v2/repository/models/mix%2F"+name+"/"+action, body)
}

// Guards against a stand-in that accepts too much memory use or late orders, which
// would hide faults in the tests that use it.
func TestEngineOrders(t *testing.T) {
	for _, enforce := range []bool{true, false} {
		g := NewWithT(t)
		e := NewEngine(EngineConfig{Incarnation: "i1", Memory: 10, EnforceFencing: enforce})
		status, _ := sendOrder(e, "a", "load", 5, 6)
		g.Expect(status).To(Equal(200))
		status, body := sendOrder(e, "b", "load", 6, 6)
		g.Expect(status).To(Equal(409))
		g.Expect(body).To(ContainSubstring("out_of_memory"))
		status, body = sendOrder(e, "b", "load", 5, 4)
		if enforce {
			g.Expect(status).To(Equal(409))
			g.Expect(body).To(ContainSubstring("fenced"))
		} else {
			g.Expect(status).To(Equal(200))
		}
		status, _ = sendOrder(e, "a", "unload", 7, 0)
		g.Expect(status).To(Equal(200))
		status, _ = sendRequest(e, http.MethodPost, "/v1/completions", `{"model":"mix/a"}`)
		g.Expect(status).To(Equal(404))
		g.Expect(e.State()).To(And(HaveField("Overcommits", 1), HaveField("Unloads", 1)))
	}
}

// Guards against an engine that ignores priorities or its concurrency limit, or that
// aborts running requests when it unloads a model.
func TestEnginePriorityAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := NewEngine(EngineConfig{Memory: 10, Concurrency: 1, TokenTime: time.Second, TimeScale: 0.5})
		sendOrder(e, "a", "load", 1, 1)
		started := time.Now()
		done := make(chan string, 4)
		for i, priority := range []int{2, 2, 0} {
			go func() {
				status, _ := sendRequest(e, http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":"mix/a","max_tokens":4,"priority":%d}`, priority))
				done <- fmt.Sprintf("request %d: %d after %s", i, status, time.Since(started))
			}()
			synctest.Wait()
		}
		g.Expect(e.State()).To(And(HaveField("Running", 1), HaveField("Waiting", 2)))
		go func() {
			sendOrder(e, "a", "unload", 2, 0)
			done <- fmt.Sprintf("unloaded after %s", time.Since(started))
		}()
		got := []string{<-done, <-done, <-done, <-done}
		g.Expect(got).To(ConsistOf("request 0: 200 after 2s", "request 2: 200 after 4s", "request 1: 200 after 6s", "unloaded after 6s"))
	})
}

// Guards against ignoring the report lag, and against load times that don't depend
// on the place of the checkpoint.
func TestEngineLoadTimeAndReportLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := NewEngine(EngineConfig{Memory: 10, ReportLag: time.Minute, LoadTime: map[rpcore.CheckpointPlace]time.Duration{
			rpcore.PlaceRemote: 8 * time.Second, rpcore.PlaceMemory: time.Second,
		}})
		sendRequest(e, http.MethodGet, "/v1/engine/report", "")
		started := time.Now()
		sendOrder(e, "a", "load", 1, 1)
		g.Expect(time.Since(started)).To(Equal(8 * time.Second))
		_, report := sendRequest(e, http.MethodGet, "/v1/engine/report", "")
		g.Expect(report).To(ContainSubstring(`"loaded":[]`))
		sendOrder(e, "a", "unload", 2, 1)
		started = time.Now()
		sendOrder(e, "a", "load", 3, 1)
		g.Expect(time.Since(started)).To(Equal(time.Second))
		time.Sleep(time.Minute)
		_, report = sendRequest(e, http.MethodGet, "/v1/engine/report", "")
		g.Expect(report).To(ContainSubstring(`"sequence":2`))
		g.Expect(report).To(ContainSubstring(`"name":"a"`))
	})
}

// Guards against a weight store whose speed does not drop with many concurrent
// loads.
func TestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := NewWeights(WeightsConfig{LoadsPerSecond: 1e9, LoadTime: 10 * time.Second})
		started := time.Now()
		done := make(chan int, 8)
		for range 8 {
			go func() {
				status, _ := sendRequest(s, http.MethodGet, "/weights/c", "")
				done <- status
			}()
		}
		for range 8 {
			g.Expect(<-done).To(Equal(200))
		}
		g.Expect(time.Since(started)).To(BeNumerically("~", 20*time.Second, time.Second))
		g.Expect(s.State()).To(And(HaveField("Loads", 8), HaveField("MostRunning", 8)))
	})
}
