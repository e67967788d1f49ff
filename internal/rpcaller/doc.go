// Package rpcaller bounds the memory that an instance holds for requests of
// callers. docs/design/caller-memory.md says how the bound is chosen.
//
// # Usage
//
// A Budget is shared by all requests. Each request has a Hold, which grows while
// the request arrives, is kept when it has arrived, and is released when the
// request has ended:
//
//	budget := &rpcaller.Budget{Limit: 36 << 20}
//	hold := rpcaller.Hold{Budget: budget, Evict: interruptReading}
//	defer hold.Release()
//	body, err := rpcaller.ReadBody(r.Body, r.ContentLength, &hold)
//	if err == nil {
//		err = hold.Keep()
//	}
//
// While memory is short, the hold whose last grant is the longest ago is evicted
// for one that needs memory. Limits divides the memory and the descriptors of a
// process.
package rpcaller
