// Package rpsoak is a randomized soak test of the gateway under faults. It runs
// the real program as separate processes on the loopback interface, against
// stand-ins of the platform, and injects faults while callers send requests.
//
// # Usage
//
//	go test ./internal/rpsoak                                # the seeds of CI
//	go test ./internal/rpsoak -soak.first 100 -soak.seeds 50 # 50 other seeds
//
// A seed determines the schedule of faults. Faults may overlap:
//
//   - connections are delayed, reset, silent or one-way;
//   - processes are stopped, paused, killed and restarted by signals;
//   - the store is unavailable or slow, drops responses or drops its change
//     history, or comes back from a copy that is some seconds old;
//   - endpoints leave, say so in their responses only, shed requests, say for how
//     long, drop or corrupt responses, send them twice, without end, or with
//     neither a length nor chunks;
//   - endpoints crash and come back empty, or are silent for a while and go on;
//   - the configuration changes and the settings are reloaded.
//
// The checks compare what callers received with what endpoints did:
//
//   - each caller gets the complete response to its own request, or one that is
//     recognizably incomplete;
//   - a request that must not be repeated runs at most once;
//   - a request whose refusal says that it did not run did not run;
//   - endpoints that left, or said that they are leaving, get no requests;
//   - endpoints that turned an instance away for a time get no more than two
//     requests from it in that time;
//   - orders to an engine never exceed its memory, never have decreasing fencing
//     tokens, and never come from two instances too close together;
//   - requests are served again after the faults have ended.
//
// Three further tests play planned work, engines that are silent although they are
// sound, and a part of prompts that crashes engines. They also check that:
//
//   - planned work and silent engines cut no response;
//   - requests with a part that has crashed engines soon reach no more of them, while
//     sound requests that share their other parts are served;
//   - they reach none after all instances have restarted, or after the store came back
//     from a copy without the quarantine.
package rpsoak
