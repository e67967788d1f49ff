// Package rpnode runs one entry instance: an event loop around the reducer
// that carries out its effects through edges.
//
// # Usage
//
// An edge posts events and has functions that carry out effects. All
// functions of Edges return at once; whatever takes time runs in goroutines
// of the edge and ends with an event:
//
//	node := &rpnode.Node{Edges: rpnode.Edges{SendOrder: engines.SendOrder}}
//	engines.Post = node.Post
//	err := node.Run(ctx, start)
package rpnode

import "github.com/rattanpaddle/rattanpaddle/pkg/rpcore"

// Handlers carries out the effects of the reducer. A nil function drops its
// effects. Functions are called from the event loop and must not block.
type Handlers struct {
	// The front, which holds the callers' connections.
	StartAttempt  func(rpcore.StartAttempt)
	CancelAttempt func(rpcore.CancelAttempt)
	RefuseRequest func(rpcore.RefuseRequest)
	ReplayOutcome func(rpcore.ReplayOutcome)
	ReportReady   func(rpcore.ReportReady)

	// The endpoint clients.
	PollEngine func(rpcore.PollEngine)
	SendOrder  func(rpcore.SendOrder)

	// The platform clients.
	ReadTable     func(rpcore.ReadTable)
	WriteTable    func(rpcore.WriteTable)
	LoadDocument  func(rpcore.LoadDocument)
	StoreDocument func(rpcore.StoreDocument)

	// The operators' interface.
	AnswerSubmission func(rpcore.AnswerSubmission)

	// The links to other instances.
	SendPeer func(rpcore.SendPeer)

	// ReportDrained ends the process of a planned stop.
	ReportDrained func(rpcore.ReportDrained)
	// Note receives entries for the log.
	Note func(rpcore.Note)
}
