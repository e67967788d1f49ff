package rpaccount

import "maps"

// fairSweepInterval is the number of calls of Advance between two searches for
// idle accounts.
const fairSweepInterval = 64

// FairShare orders waiting requests by start-time fair queueing over their
// costs. The zero value works. It is not safe for concurrent use.
//
// The request whose account has the smallest tag starts next:
//
//	tag := fair.Tag(account)
//	fair.Advance(tag)
//	fair.Charge(account, weight, cost)
//
// The order is work-conserving: an account that is alone gets everything, and
// pays nothing for it once others come.
type FairShare struct {
	virtual float64
	// finish is the virtual time at which each account has used its part. An
	// account without an entry has not used more than its part.
	finish   map[string]float64
	advanced int
}

// Charge charges the cost of a request that starts. A weight of 0 or less is 1.
func (f *FairShare) Charge(account string, weight, cost float64) {
	if f.finish == nil {
		f.finish = map[string]float64{}
	}
	if !(weight > 0) {
		weight = 1
	}
	f.finish[account] = f.Tag(account) + max(cost, 0)/weight
}

// Tag returns the virtual start time of the next request of an account.
func (f *FairShare) Tag(account string) float64 { return max(f.finish[account], f.virtual) }

// Now returns the virtual time. An account whose tag is later has used more than its
// part.
func (f *FairShare) Now() float64 { return f.virtual }

// Advance sets the virtual time to the tag of the request that starts. It never
// goes back.
func (f *FairShare) Advance(virtual float64) {
	f.virtual = max(f.virtual, virtual)
	f.advanced++
	if f.advanced%fairSweepInterval == 0 {
		maps.DeleteFunc(f.finish, func(_ string, finish float64) bool { return finish <= f.virtual })
	}
}
