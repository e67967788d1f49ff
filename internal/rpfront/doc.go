// Package rpfront is the HTTP interface for callers: OpenAI-compatible
// inference and forwarding to plain services.
//
// # Usage
//
// The zero Front works once Post and RunAttempt are set. Its methods
// StartAttempt, CancelAttempt, RefuseRequest, ReplayOutcome and ReportReady
// are edges of the event loop and return at once:
//
//	front := &rpfront.Front{Post: node.Post, RunAttempt: endpoints.Run}
//	go front.Serve(listener)
//	...
//	err := front.Shutdown(ctx)
//
// # Requests
//
// The handler of a request posts RequestArrived and then waits for commands.
// It runs the attempts itself, so only one goroutine writes to the caller. A
// request ends with a complete answer, a refusal, a recorded outcome or
// RequestAbandoned. After an abandonment, the running attempt still ends with
// AttemptEnded; an attempt with Record runs on, so that its outcome is known
// to the next request with the same idempotency key.
//
// # Refusals
//
// A refusal is application/problem+json (RFC 9457). Inside a stream of events
// it is an event named error with the same JSON, and no end mark follows. A
// plain answer that has begun is cut off, never ended as if it were whole.
package rpfront
