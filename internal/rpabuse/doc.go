// Package rpabuse contains tests that run the gateway as a separate process with
// little memory and few descriptors, and act as untrusted callers and slow
// endpoints.
//
// # Usage
//
// The package has tests only:
//
//	go test -p 1 ./internal/rpabuse -v
//
// Each test checks that the process lives, that its memory and its open
// descriptors stay under a bound, and that an ordinary request is answered while
// the untrusted callers keep their connections open. No test checks a time or a
// share of served requests. The tests run one at a time, because the memory of
// the machine and its processors determine how many requests are in progress at
// once.
package rpabuse
