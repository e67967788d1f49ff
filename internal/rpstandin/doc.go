// Package rpstandin contains small stand-ins for the external systems that the
// system communicates with, for tests and demos. Each one keeps its state in memory
// and implements the part of the published protocol that this repository uses.
//
// # Usage
//
// Every stand-in is an http.Handler, and its Run method serves it until the context
// ends. The zero values of Table, Objects and List are ready to use; Engine, Service
// and Weights are created with a configuration:
//
//	table := &rpstandin.Table{}
//	err := table.Run(ctx, netip.MustParseAddrPort("127.0.0.1:8000"))
//
//	engine := rpstandin.NewEngine(rpstandin.EngineConfig{ID: "engine-1", Memory: 80 * rpdocument.GiB})
//	err := engine.Run(ctx, listener)
//
// GET /standin/state returns the counters of an engine, a service or the weight
// store.
//
// # Faults of the platform stand-ins
//
// Table, Objects and List embed Faults. Go code calls SetFaults to inject faults;
// another process sends the same settings with POST. An empty object ends all
// faults:
//
//	POST /standin/faults
//	{"delay_ms": 20, "lose_next_answers": 1}
package rpstandin
