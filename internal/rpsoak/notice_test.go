package rpsoak

import (
	"strconv"
	"time"

	"github.com/rattanpaddle/rattanpaddle/platform/rpfake"
)

const (
	// retryAfter is the Retry-After of endpoints that turn work away, in seconds.
	retryAfter = "1.5"
	// holdOffGrace is the time after a Retry-After in which requests may still
	// arrive, and holdOffArrivals how many may after that.
	holdOffGrace    = 500 * time.Millisecond
	holdOffArrivals = 2
)

// disruption is a time in which a process, or the link to an endpoint, was
// disrupted from outside.
type disruption struct {
	// name is that of the process or the ID of the endpoint.
	name     string
	from, to time.Time
}

// disrupt records the begin of a disruption and returns a function that records its
// end.
func (env *environment) disrupt(name string) func() {
	from := time.Now()
	return func() {
		env.faultMu.Lock()
		defer env.faultMu.Unlock()
		env.disruptions = append(env.disruptions, disruption{name: name, from: from, to: time.Now()})
	}
}

// endpointIDs returns the IDs of the endpoints in the order of their links.
func (env *environment) endpointIDs() []string {
	var ids []string
	for _, e := range env.engines {
		ids = append(ids, e.ID)
	}
	for _, e := range env.plainEndpoints {
		ids = append(ids, e.ID)
	}
	return ids
}

// leaveByResponse lets an endpoint say in its responses, but not in the list, that
// it is leaving, and later rejoin as a new incarnation.
func (env *environment) leaveByResponse(e *rpfake.Endpoint) {
	a := absence{endpoint: e, from: time.Now()}
	e.SetLeaving(true)
	time.Sleep(leavingBound + time.Second)
	a.to = time.Now()
	e.Rejoin()
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	env.notices = append(env.notices, a)
}

// disrupted reports whether a process or the link to an endpoint was disrupted
// within a time.
func (c *checker) disrupted(process, endpoint string, from, to time.Time) bool {
	for _, d := range c.disruptions {
		if (d.name == process || d.name == endpoint) && d.from.Before(to) && d.to.After(from) {
			return true
		}
	}
	return false
}

// requests returns the outcomes by the ID of the request.
func (c *checker) requests() map[string]outcome {
	found := make(map[string]outcome, len(c.outcomes))
	for _, o := range c.outcomes {
		found[o.id] = o
	}
	return found
}

// checkHoldOffs verifies that an instance that an endpoint turned away with a
// Retry-After sends it nothing more until then, apart from holdOffArrivals. It skips
// responses to callers that disconnected: the instance closes its connection to the
// endpoint then, and may not have read the response.
func (c *checker) checkHoldOffs() {
	requests := c.requests()
	for _, e := range c.endpoints() {
		arrivals := e.Arrivals()
		for _, a := range arrivals {
			seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
			process := requests[a.ID].target
			until := a.At.Add(time.Duration(seconds * float64(time.Second)))
			if err != nil || process == "" || requests[a.ID].NoResponse || c.disrupted(process, e.ID, a.At, until) {
				continue
			}
			n := 0
			for _, b := range arrivals {
				if requests[b.ID].target == process && b.At.After(a.At.Add(holdOffGrace)) && b.At.Before(until) {
					n++
				}
			}
			if n > holdOffArrivals {
				c.errorf("%s got %d requests of %s although it had turned %s away until %s", e.ID, n, process, a.ID, until.Format(time.StampMilli))
			}
		}
	}
}

// checkNotices verifies that an instance that passed on a response of an endpoint
// which is leaving sends it no request that a caller sent later than leavingBound
// after that.
func (c *checker) checkNotices() {
	requests := c.requests()
	for _, notice := range c.notices {
		told := map[string]time.Time{}
		for _, a := range notice.endpoint.Arrivals() {
			if !a.Leaving || a.At.Before(notice.from) || a.At.After(notice.to) {
				continue
			}
			o := requests[a.ID]
			if at, ok := told[o.target]; !ok {
				told[o.target] = a.At
			} else if o.sentAt.After(at.Add(leavingBound)) && !c.disrupted(o.target, notice.endpoint.ID, at, a.At) {
				c.errorf("%s reached %s %s after its response to %s said that it is leaving", a.ID, notice.endpoint.ID, a.At.Sub(at), o.target)
			}
		}
	}
}
