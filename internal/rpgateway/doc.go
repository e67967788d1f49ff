// Package rpgateway runs an entry instance on the users' platform: it serves
// callers on the routes of the operators' configuration, follows the platform's
// store, and carries out the decisions of rpfleet.
//
// # Usage
//
//	settings, problems := rpgateway.LoadSettings(file)
//	instance := rpgateway.Instance{File: file, Settings: settings, Log: log}
//	err := instance.Run(ctx)
//
// Run returns after a planned stop that begins when the context ends. SIGHUP
// makes it read the settings file again; a change of the file is noticed
// without a signal too.
package rpgateway
