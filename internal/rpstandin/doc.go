// Package rpstandin has small stand-ins for the outside systems that the
// system talks to. Each one keeps its state in memory and speaks the published
// protocol of the real one, as far as this repository uses it.
//
// # Usage
//
// Every stand-in is an http.Handler and has a Run that serves it until the
// context ends. The zero value of Table, Objects and List works; Engine,
// Service and Weights are made from a configuration:
//
//	table := &rpstandin.Table{}
//	err := table.Run(ctx, netip.MustParseAddrPort("127.0.0.1:8000"))
//
//	engine := rpstandin.NewEngine(rpstandin.EngineConfig{ID: "engine-1", Memory: 80 * rpdocument.GiB})
//	err := engine.Run(ctx, listener)
//
// GET /standin/state shows what an engine, a service or the weight store
// counted.
//
// # Faults of the platform stand-ins
//
// Table, Objects and List embed Faults. Go code calls SetFaults; another
// process posts the same settings to an admin path. An empty object ends all
// faults:
//
//	POST /standin/faults
//	{"delay_ms": 20, "lose_next_answers": 1}
package rpstandin
