// Package rpplatform has the clients for the platform's services: the table
// (DynamoDB protocol), the object store (S3 protocol) and the instance list.
// They carry out effects of the reducer and answer with events.
//
// # Usage
//
// Table and Objects carry out effects through functions that return at once.
// Each effect ends with exactly one event through Post, which must be safe
// for concurrent use. Close waits for what is under way:
//
//	access := rpplatform.Access{Endpoint: "http://127.0.0.1:8000"}
//	table := &rpplatform.Table{Access: access, Name: "rattanpaddle", Post: node.Post}
//	node.Edges.ReadTable = table.ReadTable
//	node.Edges.WriteTable = table.WriteTable
//	defer table.Close(ctx)
//
// List runs until its context ends. It registers this instance and polls:
//
//	list := &rpplatform.List{Endpoint: "http://127.0.0.1:8002", Self: self, Post: node.Post}
//	go list.Run(ctx)
//	list.Leave()              // at a planned stop: shows this instance as leaving
//	list.Deregister(ctx)      // at a clean exit, after Run has returned
//
// # Outcomes of a write
//
// The SDK's retries are off, because a repetition after a lost answer would
// report a conflict with the effect of the first try. The reducer repeats.
// A write that failed has the outcome unknown unless something proves that
// it had no effect and will have none: no connection was made, or the service
// gave an answer that says so.
//
// # Credentials
//
// Credentials come from Access only. No client looks at the environment, at
// files in the home directory or at a metadata service.
package rpplatform
