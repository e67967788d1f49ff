// Package rpoperator is the HTTP interface for operators: documents, status,
// metrics, health and profiles. It holds the server and the client.
//
// # Usage
//
//	server := &rpoperator.Server{
//		Document:  node.Document,
//		Documents: node.Documents,
//		Post:      node.Post,
//		Metrics:   metrics.Handler(),
//	}
//	edges.AnswerSubmission = server.AnswerSubmission
//	err := server.Serve(ctx, listener)
//
// # Interface
//
//	GET  /operator/v1/documents            the documents in force, as JSON
//	GET  /operator/v1/documents/{service}  one document, as TOML, or as JSON with Accept: application/json
//	PUT  /operator/v1/documents/{service}  submits a document
//	GET  /operator/v1/documents/{service}/history
//	                                       who accepted which version when, as JSON
//	GET  /operator/v1/documents/{service}/history/{version}
//	                                       one of these versions with its body, as JSON
//	GET  /operator/v1/status               the state of the instance, as JSON
//	GET  /operator/v1/timeline             the time line of the instance, as lines of JSON
//	GET  /metrics, /healthz, /readyz, /debug/pprof/
//
// A PUT names the version that the operator edited in If-Match (0 for a new
// service) and a credential in Authorization: Bearer. It is answered with 200
// (accepted), 412 (another version was accepted first), 422 (the document has
// problems), 503 (nothing was or will be accepted) or 504 (the outcome is not
// known). Errors are application/problem+json with the fields of Refusal.
//
// The time line takes the parameters since (a clock: milliseconds since 1970,
// or milliseconds.counter), limit, service, model, request, endpoint and part.
// The first line is {"head": …} with the fields of rptimeline.Head, each other
// line is an rptimeline.Entry, the oldest first.
//
// # Rights
//
// Only a credential in editors of the document in force may change it. The
// version in If-Match must be the version in force at this instance, so that
// an instance which is behind grants no right that a newer document took
// away. The first document of a service needs a credential that stands both
// in the document's own editors and in operators.bootstrap_editors of the
// instance's settings. The credential of a caller gives no right.
//
// The history and the bodies of earlier versions are for the same editors. The
// document in force is open to everyone who reaches the operators' address.
package rpoperator
