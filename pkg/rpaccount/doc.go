// Package rpaccount identifies client accounts by their keys, says how long a
// configuration may be trusted with respect to withdrawn keys, and enforces the
// accounts' quotas over all instances. It is pure: it has no I/O and no clock.
//
// # Usage
//
// A Directory is built once for each version of the configuration:
//
//	keys := map[rpaccount.Credential]string{rpaccount.NewCredential("k-4711"): "shop"}
//	directory := rpaccount.NewDirectory([]rpaccount.Account{{Name: "shop"}}, keys)
//
// A request is identified by the digest of its key:
//
//	account, ok := directory.Lookup(rpaccount.NewCredential(key))
//
// Currency tells whether the instance may still accept keys. It is confirmed with
// the time before the call that found the configuration to be the newest one:
//
//	currency := rpaccount.Currency{Bound: 5 * time.Second, Strict: true}
//	currency.Confirm(callBegan)
//	if !currency.Accepts(now) {
//		// The key may have been withdrawn: refuse the request.
//	}
package rpaccount
