// Package rpserve builds one entry instance from its settings. It wires the event
// loop and its components with fx, and implements their start and the planned stop.
//
// # Usage
//
//	instance := rpserve.Instance{Settings: settings, Log: log}
//	err := instance.Run(ctx)
//
// When the context ends, Run performs a planned stop and returns: the instance
// reports that it is not ready, waits for the grace period in which the balancer
// notices that, refuses new requests, lets the requests in progress finish, and
// removes itself from the instance list.
package rpserve
