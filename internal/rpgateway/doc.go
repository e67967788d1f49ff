// Package rpgateway runs one gateway instance on the users' platform. The
// instance serves callers on the routes of the operators' configuration, follows
// the platform's store, and executes the decisions of package rpfleet.
//
// # Usage
//
//	settings, problems := rpgateway.LoadSettings(file)
//	instance := rpgateway.Instance{File: file, Settings: settings, Log: log}
//	err := instance.Run(ctx)
//
// When the context ends, Run performs a planned stop and then returns. SIGHUP
// reloads the settings file. A change of the file also reloads it, without a
// signal.
package rpgateway
