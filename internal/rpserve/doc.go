// Package rpserve builds one entry instance from its settings: the event loop
// and all of its edges, wired with fx, with their start and planned stop.
//
// # Usage
//
//	instance := rpserve.Instance{Settings: settings, Log: log}
//	err := instance.Run(ctx)
//
// Run returns after a planned stop that begins when the context ends: the
// instance shows that it is not ready, waits for the balancer, refuses new
// requests, lets those in progress finish, and leaves the instance list.
package rpserve
