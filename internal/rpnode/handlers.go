// Package rpnode runs the event loop of one instance. The loop applies events to the
// reducer and executes the effects that the reducer returns.
//
// # Usage
//
// Components post events and provide the functions that execute effects. All
// functions of Handlers return immediately. Work that takes time runs in goroutines
// of the component and ends with an event:
//
//	node := &rpnode.Node{Handlers: rpnode.Handlers{SendOrder: engines.SendOrder}}
//	engines.Post = node.Post
//	err := node.Run(ctx, start)
package rpnode

import "github.com/rattanpaddle/rattanpaddle/pkg/rpcore"

// Handlers contains the functions that execute the effects of the reducer. Effects
// with a nil function are dropped. The event loop calls the functions, so they must
// not block.
type Handlers struct {
	// Handled by the caller server.
	StartAttempt  func(rpcore.StartAttempt)
	CancelAttempt func(rpcore.CancelAttempt)
	RefuseRequest func(rpcore.RefuseRequest)
	ReplayOutcome func(rpcore.ReplayOutcome)
	ReportReady   func(rpcore.ReportReady)

	// Handled by the endpoint client.
	PollEngine func(rpcore.PollEngine)
	SendOrder  func(rpcore.SendOrder)

	// Handled by the platform clients.
	ReadTable     func(rpcore.ReadTable)
	WriteTable    func(rpcore.WriteTable)
	LoadDocument  func(rpcore.LoadDocument)
	StoreDocument func(rpcore.StoreDocument)

	// Handled by the operator server.
	AnswerSubmission func(rpcore.AnswerSubmission)

	// Handled by the links to other instances.
	SendPeer func(rpcore.SendPeer)

	// ReportDrained is called when a planned stop has finished all work.
	ReportDrained func(rpcore.ReportDrained)
	// Note logs a note of the reducer.
	Note func(rpcore.Note)
}
