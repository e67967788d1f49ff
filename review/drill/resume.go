package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["resume"] = playResume }

const (
	resumeEngines  = 6
	resumeCrashes  = 4
	resumeTime     = 34 * time.Second
	resumeInterval = 50 * time.Millisecond
	// crashDownTime is the time from the crash of an engine to the start of the next
	// incarnation.
	crashDownTime = 2 * time.Second
	// streamPieces is the number of events of a stream.
	streamPieces = 20
	pieceTime    = 200 * time.Millisecond
	// errorEvery says that an engine answers each run with that number with its own
	// 500.
	errorEvery = 7
)

// playResume lets engines crash, one at a time, while they send streams that may be
// resumed. The service has no model engines, so its answers carry no version of weights.
// Its engines answer a part of all runs with a 500 of their own. Without trouble, no
// engine crashes.
func playResume(d *drill) (bool, error) {
	if err := d.putConfig(1, []route{{"/tips/", "stream", "tips", 2, true, 500, 8000}}, nil, "tips"); err != nil {
		return false, err
	}
	engines := make([]*engine, resumeEngines)
	for i := range engines {
		engines[i] = d.newStreamEngine(fmt.Sprintf("e%d", i))
		if err := engines[i].start(); err != nil {
			return false, err
		}
	}
	g, err := d.startGateway("front-1")
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if d.trouble {
		for i := range resumeCrashes {
			time.AfterFunc(time.Duration(8+6*i)*time.Second, func() {
				engines[i].crash()
				time.Sleep(crashDownTime)
				next := d.newStreamEngine(fmt.Sprintf("e%d", resumeEngines+i))
				if err := next.start(); err != nil {
					d.notef("the engine did not start again: %v", err)
				}
			})
		}
	}
	var mixed, whole, other atomic.Int64
	var running sync.WaitGroup
	for i := range int(resumeTime / resumeInterval) {
		time.Sleep(resumeInterval)
		running.Go(func() {
			c, err := d.dial(g.callers)
			if err != nil {
				return
			}
			defer c.close()
			a := c.do(http.MethodPost, "/tips/2f", fmt.Sprintf("r%d", i), "bag", 8*time.Second)
			switch {
			case a.status == http.StatusOK && a.complete && a.body == pieces(1):
				whole.Add(1)
			case a.status == http.StatusOK && a.complete:
				mixed.Add(1)
				d.notef("MIXED: r%d got a complete 200 that no engine sent; it ends with %q", i, a.body[max(0, len(a.body)-90):])
			default:
				other.Add(1)
			}
		})
	}
	running.Wait()
	d.notef("%d whole streams, %d complete streams with other content, %d failures", whole.Load(), mixed.Load(), other.Load())
	return mixed.Load() > 0, nil
}

// newStreamEngine returns an engine that sends streams and can resume them.
func (d *drill) newStreamEngine(id string) *engine {
	var runs atomic.Int64
	return &engine{drill: d, id: id, service: "tips", slots: 32, answer: func(w http.ResponseWriter, r *http.Request, _ []byte) {
		if runs.Add(1)%errorEvery == 0 {
			d.notef("engine %s answers %s, last event %q, with 500", id, r.Header.Get(headerID), r.Header.Get("Last-Event-Id"))
			answerText(w, http.StatusInternalServerError, `{"error":"out of memory"}`)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeEvents(w, r, last+1, streamPieces, pieceTime)
	}}
}

// pieces returns the events of a whole stream from the one with the given number.
func pieces(from int) string {
	var text strings.Builder
	for i := from; i <= streamPieces; i++ {
		text.WriteString(piece(i))
	}
	return text.String()
}

func piece(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

// writeEvents writes the events from one number to another, with a pause after each.
func writeEvents(w http.ResponseWriter, r *http.Request, from, to int, pause time.Duration) {
	for i := from; i <= to; i++ {
		_, _ = w.Write([]byte(piece(i)))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
	}
}
