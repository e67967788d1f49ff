// Package rpendpoint is the client side of the endpoints: it runs inference
// attempts and orders at engines, forwards requests to plain services, and
// polls the reports of engines.
//
// # Usage
//
// The zero Client works once Post is set. Run blocks until the attempt has
// ended and is called by the goroutine that owns the caller's connection;
// SendOrder and PollEngine are edges of the event loop and return at once:
//
//	client := &rpendpoint.Client{Post: node.Post}
//	defer client.Close()
//	result := client.Run(ctx, attempt, relay)
//
// # Verdicts
//
// The verdict of an attempt comes from the connection itself: every
// connection counts the bytes that were handed to the kernel. Before a failure
// is called not_run, the connection is sealed, so no byte of the request can
// leave later. A request is written to at most one connection; net/http's own
// repetition is suppressed.
//
// # Streams
//
// A stream is relayed event by event. Each chunk with generated content
// counts as one token. StreamState belongs to the request and lives across its
// attempts, so a resumed stream keeps the id of the first one and repeats
// neither the opening nor the closing chunk.
package rpendpoint
