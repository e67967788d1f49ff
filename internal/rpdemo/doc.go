// Package rpdemo runs the embedded default: three failure domains, six entry
// instances and stand-ins for all external systems, in one process on loopback
// addresses.
//
// # Usage
//
//	demo := rpdemo.Demo{Deployment: rpdemo.Snoepschep, Out: os.Stdout}
//	report, err := demo.Run(ctx)
//
// The requests use real sockets. The stand-ins respond faster than real systems, so
// the measured times show how the system behaves, not how fast a deployment is.
package rpdemo
