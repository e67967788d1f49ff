// Package rpdemo is the embedded default: three failure domains, six entry
// instances and stand-ins for everything outside, in one process on loopback
// addresses.
//
// # Usage
//
//	demo := rpdemo.Demo{Deployment: rpdemo.Snoepschep, Out: os.Stdout}
//	report, err := demo.Run(ctx)
//
// The requests go through real sockets. Times of the stand-ins are scaled
// down, so the figures show the behaviour of the system, not of a deployment.
package rpdemo
