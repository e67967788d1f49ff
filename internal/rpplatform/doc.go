// Package rpplatform contains the clients of the platform services: the table
// (DynamoDB protocol), the object store (S3 protocol) and the instance list. The
// clients execute effects of the reducer and post the results as events.
//
// # Usage
//
// The methods of Table and Objects that execute effects return at once. Each
// effect results in exactly one call of Post, which must be safe for concurrent
// use. Close waits for the operations in progress:
//
//	access := rpplatform.Access{Endpoint: "http://127.0.0.1:8000"}
//	table := &rpplatform.Table{Access: access, Name: "rattanpaddle", Post: node.Post}
//	node.Handlers.ReadTable = table.ReadTable
//	node.Handlers.WriteTable = table.WriteTable
//	defer table.Close(ctx)
//
// List runs until its context ends. It registers this instance and polls the list:
//
//	list := &rpplatform.List{Endpoint: "http://127.0.0.1:8002", Self: self, Post: node.Post}
//	go list.Run(ctx)
//	list.Leave()              // at a planned stop: marks this instance as leaving
//	list.Deregister(ctx)      // at a clean exit, after Run has returned
//
// # Outcomes of a write
//
// The retries of the SDK are disabled, because a retry after a lost response would
// report a conflict with the effect of the first attempt. The reducer retries
// instead. The outcome of a failed write is unknown, unless it is certain that the
// write had no effect and will have none: because no connection was made, or
// because the response of the service says so.
//
// # Credentials
//
// Credentials come only from Access. The clients don't read environment variables
// or files in the home directory, and don't query a metadata service.
package rpplatform
