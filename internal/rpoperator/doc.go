// Package rpoperator implements the server and the client of the HTTP interface for
// operators: documents, status, time line, metrics, health and profiles.
//
// # Usage
//
//	server := &rpoperator.Server{
//		Document:  node.Document,
//		Documents: node.Documents,
//		Post:      node.Post,
//		Metrics:   metrics.Handler(),
//	}
//	node.Handlers.AnswerSubmission = server.AnswerSubmission
//	err := server.Serve(ctx, listener)
//
// # Interface
//
//	GET  /operator/v1/documents            the documents in force, as JSON
//	GET  /operator/v1/documents/{service}  one document, as TOML, or as JSON with Accept: application/json
//	PUT  /operator/v1/documents/{service}  submits a document
//	GET  /operator/v1/documents/{service}/history
//	                                       the accepted versions with their editors and times, as JSON
//	GET  /operator/v1/documents/{service}/history/{version}
//	                                       one of these versions and its body, as JSON
//	GET  /operator/v1/status               the state of the instance, as JSON
//	GET  /operator/v1/timeline             the time line of the instance, as lines of JSON
//	GET  /metrics, /healthz, /readyz, /debug/pprof/
//
// A PUT sends the version that the operator edited in If-Match (0 for a new
// service) and a credential in Authorization: Bearer. The status of the response is
// 200 (accepted), 412 (another version was accepted first), 422 (the document has
// problems), 503 (the document was not and will not be accepted) or 504 (the
// outcome is unknown). Errors are application/problem+json with the fields of
// Refusal.
//
// The time line has the query parameters since (a clock value: milliseconds since
// 1970, or milliseconds.counter), limit, service, model, request, endpoint and
// part. The first line of the response is {"head": …} with the fields of
// rptimeline.Head. Each further line is an rptimeline.Entry, the oldest first.
//
// # Authorization
//
// Only a credential listed in editors of the document in force may change the
// document. The version in If-Match must be the version in force on this instance.
// An instance with an outdated document therefore can't accept the credential of
// an editor whom a newer document removed. The first document of a service requires
// a credential that is listed both in the document's own editors and in
// operators.bootstrap_editors of the instance's settings. The credential of a
// caller grants no access.
//
// The history and the bodies of earlier versions require the credential of an
// editor too. The document in force is readable for everyone who can connect to the
// operators' address.
package rpoperator
