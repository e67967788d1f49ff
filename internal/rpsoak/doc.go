// Package rpsoak holds a randomized fault soak of the gateway, as tests: the
// real program runs as separate processes on loopback against stand-ins of the
// platform, and faults are injected from outside while callers send requests.
//
// # Usage
//
//	go test ./internal/rpsoak                                # the seeds of CI
//	go test ./internal/rpsoak -soak.first 100 -soak.seeds 50 # fifty seeds more
//
// A seed plays the same schedule of faults again. Faults are delayed, reset,
// silent and one-way connections, processes that are stopped, paused, killed and
// restarted by signals, a store that is down, slow, loses answers or forgets its
// history, endpoints that leave, crash, shed, lose or spoil answers, and changes
// of the configuration and the settings. They come in series and overlap.
//
// The checks look at what callers and endpoints see: each caller gets the whole
// answer to its own request or one that looks broken off; a request that may run
// once runs once at most; a refusal that says that it did not run is true;
// leaving endpoints get no work; engines are never ordered beyond their memory,
// by falling fences or by two instances at a time; and all is served again when
// the faults have ended.
package rpsoak
