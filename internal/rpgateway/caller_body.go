package rpgateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcaller"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// holdOf returns the hold of the connection on which a request has arrived.
func (c *callerServer) holdOf(r *http.Request) *rpcaller.Hold {
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		return &conn.hold
	}
	return &rpcaller.Hold{Budget: &c.conns.budget, Evict: func() {}}
}

func (c *callerServer) headerLimits() headerLimits {
	limits := c.limits.Load()
	if limits == nil {
		return headerLimits{}
	}
	found := headerLimits{bytes: limits.HeaderBytes}
	if limits.HeaderTimeout > 0 {
		found.timeout = limits.HeaderTimeout + headerTimeoutMargin
	}
	return found
}

func (c *callerServer) maxBodyBytes() int64 {
	if limits := c.limits.Load(); limits != nil && limits.BodyBytes > 0 {
		return limits.BodyBytes
	}
	return maxBodyBytes
}

// readBody reads the body of a request into segments. From then on, the request is
// not given up for the memory of another one.
func (c *callerServer) readBody(w http.ResponseWriter, r *http.Request, hold *rpcaller.Hold) ([][]byte, *rpverdict.Refusal) {
	limit := c.maxBodyBytes()
	if r.ContentLength > limit {
		return nil, refuseBody(rpverdict.CodeBodyTooLarge, "The body is larger than the limit of the configuration.")
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		c.log.Debug().Err(err).Msg("failed to set the read deadline of a request body")
	}
	err := hold.Grow(rpcaller.UseRequest, rpcaller.RequestMemory)
	var body [][]byte
	if err == nil {
		body, err = rpcaller.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, hold)
	}
	// An eviction also fails the read.
	err = errors.Join(err, hold.Keep())
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, rpcaller.ErrShort), errors.Is(err, rpcaller.ErrEvicted):
		hold.Release()
		refusal := refuseBody(rpverdict.CodeMemoryShort, "")
		refusal.RetryAfter = rpcaller.RetryAfter
		return nil, refusal
	case errors.As(err, &tooLarge):
		return nil, refuseBody(rpverdict.CodeBodyTooLarge, "The body is larger than the limit of the configuration.")
	case err != nil:
		return nil, refuseBody(rpverdict.CodeMalformedRequest, "The body did not arrive whole and in time.")
	}
	// Clears the deadline because net/http detects a closed connection with a
	// background read, which would time out.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		c.log.Debug().Err(err).Msg("failed to clear the read deadline of a request body")
	}
	return body, nil
}

// abandonBody limits the time for which net/http reads a body that was not read
// before the refusal of its request. The connection is closed after the refusal.
func (c *callerServer) abandonBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedReadTimeout)); err != nil {
		c.log.Debug().Err(err).Msg("failed to set the read deadline of a request body")
	}
}

func refuseBody(code rpverdict.Code, detail string) *rpverdict.Refusal {
	refusal := rpverdict.Refuse(code, detail)
	return &refusal
}
