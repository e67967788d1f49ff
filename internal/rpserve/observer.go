package rpserve

import (
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// observer derives metrics from events and effects. Only the event loop calls it,
// except for setReady and ready.
type observer struct {
	metrics    *rpmetric.Metrics
	requests   map[rpcore.RequestID]observedRequest
	orders     map[rpcore.OrderID]time.Time
	operations map[rpcore.OpID]time.Time

	mu        sync.Mutex
	readiness rpcore.ReportReady
}

// observedRequest contains the data of a request in progress that the metrics need.
type observedRequest struct {
	rank      rpdocument.Rank
	arrivedAt time.Time
	started   bool
}

func newObserver(metrics *rpmetric.Metrics) *observer {
	return &observer{
		metrics:    metrics,
		requests:   make(map[rpcore.RequestID]observedRequest),
		orders:     make(map[rpcore.OrderID]time.Time),
		operations: make(map[rpcore.OpID]time.Time),
		readiness:  rpcore.ReportReady{Reason: "starting"},
	}
}

func (o *observer) observe(ev rpcore.Event, effects []rpcore.Effect, took time.Duration) {
	o.metrics.ReducerEvent(took)
	o.observeEvent(ev)
	for _, effect := range effects {
		o.observeEffect(effect)
	}
}

func (o *observer) observeEvent(ev rpcore.Event) {
	switch ev := ev.(type) {
	case rpcore.RequestArrived:
		o.requests[ev.Request.ID] = observedRequest{rank: ev.Request.Rank, arrivedAt: ev.At}
		o.metrics.SetRequestsInProgress(len(o.requests))
	case rpcore.AttemptFirstToken:
		o.observeFirstToken(ev)
	case rpcore.AttemptEnded:
		o.metrics.AttemptEnded(ev.Reason)
		if ev.Reason == rpcore.AttemptComplete {
			o.endRequest(ev.Request, rpmetric.CodeOK)
		}
	case rpcore.RequestAbandoned:
		o.endRequest(ev.Request, rpmetric.CodeAbandoned)
	case rpcore.OrderAnswered:
		delete(o.orders, ev.Order)
	case rpcore.TableReadDone:
		o.metrics.TableRead(ev.Unavailable, o.operationTime(ev.Op, ev.At))
	case rpcore.TableWriteDone:
		o.metrics.TableWrite(ev.Outcome, o.operationTime(ev.Op, ev.At))
	case rpcore.PeerReceived:
		o.metrics.PeerMessage("received", ev.Message)
	}
}

func (o *observer) observeEffect(effect rpcore.Effect) {
	switch effect := effect.(type) {
	case rpcore.StartAttempt:
		if request, ok := o.requests[effect.Request]; ok {
			request.rank = effect.Rank
			o.requests[effect.Request] = request
		}
	case rpcore.RefuseRequest:
		o.endRequest(effect.Request, string(effect.Refusal.Code))
	case rpcore.ReplayOutcome:
		o.endRequest(effect.Request, rpmetric.CodeOK)
	case rpcore.ReadTable:
		o.operations[effect.Op] = time.Now()
	case rpcore.WriteTable:
		o.operations[effect.Op] = time.Now()
	case rpcore.SendPeer:
		o.metrics.PeerMessage("sent", effect.Message)
	}
}

func (o *observer) observeFirstToken(ev rpcore.AttemptFirstToken) {
	request, ok := o.requests[ev.Request]
	if !ok || request.started {
		return
	}
	request.started = true
	o.requests[ev.Request] = request
	o.metrics.FirstToken(request.rank, ev.At.Sub(request.arrivedAt))
}

func (o *observer) endRequest(id rpcore.RequestID, code string) {
	request, ok := o.requests[id]
	if !ok {
		return
	}
	delete(o.requests, id)
	o.metrics.RequestEnded(request.rank, code)
	o.metrics.SetRequestsInProgress(len(o.requests))
}

// operationTime returns the time that a table operation took, or 0 if its start is
// unknown.
func (o *observer) operationTime(op rpcore.OpID, at time.Time) time.Duration {
	begin, ok := o.operations[op]
	if !ok {
		return 0
	}
	delete(o.operations, op)
	return at.Sub(begin)
}

func (o *observer) setReady(readiness rpcore.ReportReady) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readiness = readiness
}

func (o *observer) ready() (bool, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readiness.Ready, o.readiness.Reason
}
