package rptimeline

// origins holds the identifying fields of the first entry of each request,
// attempt and order, and adds them to the later entries when these are read.
// Recording the fields in every entry would cost more time in the event loop.
type origins struct {
	requests map[string]origin
	attempts map[string]origin
	orders   map[string]origin
}

type origin struct {
	request, service, model, endpoint string
}

func newOrigins() *origins {
	return &origins{requests: map[string]origin{}, attempts: map[string]origin{}, orders: map[string]origin{}}
}

func (o *origins) fill(e *Entry) {
	switch e.Kind {
	case KindRequestArrived:
		o.requests[e.Request] = origin{service: e.Service, model: e.Model}
	case KindAttemptStarted:
		o.requests[e.Request].fillMissing(e)
		o.attempts[e.Attempt] = origin{e.Request, e.Service, e.Model, e.Endpoint}
	case KindOrderSent:
		o.orders[e.Order] = origin{"", e.Service, e.Model, e.Endpoint}
	default:
		o.fillFromOrigin(e)
	}
}

func (o *origins) fillFromOrigin(e *Entry) {
	switch {
	case e.Attempt != "":
		o.attempts[e.Attempt].fillMissing(e)
	case e.Order != "":
		o.orders[e.Order].fillMissing(e)
	case e.Request != "":
		o.requests[e.Request].fillMissing(e)
	}
}

// fillMissing sets the empty fields of the entry.
func (o origin) fillMissing(e *Entry) {
	for _, field := range []struct {
		to   *string
		from string
	}{{&e.Request, o.request}, {&e.Service, o.service}, {&e.Model, o.model}, {&e.Endpoint, o.endpoint}} {
		if *field.to == "" {
			*field.to = field.from
		}
	}
}
