// Package rpfront is the HTTP server for callers. It offers OpenAI-compatible
// inference and forwards requests to plain services.
//
// # Usage
//
// The zero Server is ready to use once Post and RunAttempt are set. Its methods
// StartAttempt, CancelAttempt, RefuseRequest, ReplayOutcome and ReportReady are
// effect handlers of the event loop and return immediately:
//
//	server := &rpfront.Server{Post: node.Post, RunAttempt: endpoints.Run}
//	go server.Serve(listener)
//	...
//	err := server.Shutdown(ctx)
//
// # Requests
//
// The handler of a request posts RequestArrived and then executes the commands of
// the reducer for this request. It runs the attempts in its own goroutine, so only
// one goroutine writes to the caller. A request ends with a complete response, a
// refusal, a recorded outcome or RequestAbandoned.
//
// After RequestAbandoned, a running attempt still ends with AttemptEnded. An
// attempt with Record is not canceled, so that its outcome is available to the next
// request with the same idempotency key.
//
// # Refusals
//
// A refusal is sent as application/problem+json (RFC 9457). Within an event stream
// it is sent as an event named "error" with the same JSON, and [DONE] does not
// follow. If the response of a plain service has started, the connection is
// aborted instead, so that the response does not look complete.
package rpfront
