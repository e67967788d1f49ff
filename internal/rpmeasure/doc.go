// Package rpmeasure measures the policy of the reducer in virtual time. It runs
// several rpcore.State values with small fakes of the network, the platform and
// the engines, and uses only the exported interface of rpcore.
//
// # Usage
//
//	world := rpmeasure.NewWorld(rpmeasure.Snoepschep, rpmeasure.Options{Seed: 1})
//	world.Run(10 * time.Second)
//	world.Send(0, rpmeasure.Call{Model: key, Tokens: 30})
//	world.Run(10 * time.Second)
//
// The command internal/rpmeasure/measure runs all measures and writes the
// report; scripts/measure calls it. The fakes inject no faults: no message is
// lost, no process dies, and each delay is a constant of this package.
package rpmeasure
