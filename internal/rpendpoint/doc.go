// Package rpendpoint contains the HTTP clients of the endpoints. It runs
// inference attempts and orders at engines, forwards requests to plain services,
// and polls the reports of engines.
//
// # Usage
//
// The zero Client is ready to use once Post is set. Run blocks until the attempt
// has ended, and is called by the goroutine that owns the caller's connection.
// SendOrder and PollEngine are effect handlers of the event loop and return
// immediately:
//
//	client := &rpendpoint.Client{Post: node.Post}
//	defer client.Close()
//	result := client.Run(ctx, attempt, relay)
//
// # Verdicts
//
// The verdict of a failed attempt depends on whether any byte of the request was
// written: every connection counts the bytes that it passed to the kernel. Before
// a failure gets the verdict not_run, further writes to the connection are
// blocked, so no byte of the request can be sent later. A request is written to
// at most one connection; the automatic retries of net/http are suppressed.
//
// # Streams
//
// A stream is relayed event by event. Each chunk with generated content counts as
// one token. All attempts of a request share its StreamState, so a resumed stream
// keeps the id of the first attempt and repeats neither the opening nor the
// closing chunk.
package rpendpoint
