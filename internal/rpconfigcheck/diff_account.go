package rpconfigcheck

import (
	"fmt"

	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

func (d *differ) diffAccounts(old, file *rpwire.ConfigFile) {
	pairs(old.Accounts, file.Accounts, func(a *rpwire.FileAccount) string { return a.Name }, func(name string, old, now *rpwire.FileAccount) {
		switch {
		case old == nil:
			d.add(GroupAccounts, "Account %q is new: %s.", name, quotaText(now))
		case now == nil:
			d.add(GroupAccounts, "Account %q is removed. Its requests get 401, except on anonymous routes.", name)
		default:
			d.diffAccount(name, old, now)
		}
	})
}

func (d *differ) diffAccount(name string, old, now *rpwire.FileAccount) {
	if before, after := rankText(old.Rank), rankText(now.Rank); before != after {
		d.add(GroupAccounts, "Account %q: the rank is %s, was %s.", name, after, before)
	}
	if quotaText(old) == quotaText(now) && old.PlainCost == now.PlainCost {
		return
	}
	group := GroupAccounts
	if lowersQuota(old, now) {
		group = GroupLoweredQuotas
	}
	if quotaText(old) != quotaText(now) {
		d.add(group, "Account %q: the quota is %s, was %s.", name, quotaText(now), quotaText(old))
	}
	if old.PlainCost != now.PlainCost && now.Unit == rpwire.UnitTokens {
		d.add(group, "Account %q: a request without token counts costs %g tokens, was %g.", name, now.PlainCost, old.PlainCost)
	}
}

// lowersQuota reports whether requests that were served may be refused. After a change
// of the unit the two quotas can't be compared, so it counts as lowered.
func lowersQuota(old, now *rpwire.FileAccount) bool {
	switch {
	case !hasQuota(now):
		return false
	case !hasQuota(old), (old.Unit == rpwire.UnitTokens) != (now.Unit == rpwire.UnitTokens):
		return true
	}
	return now.Rate < old.Rate || now.Burst < old.Burst || now.Unit == rpwire.UnitTokens && now.PlainCost > old.PlainCost
}

func quotaText(account *rpwire.FileAccount) string {
	if !hasQuota(account) {
		return "no limit"
	}
	unit := "requests"
	if account.Unit == rpwire.UnitTokens {
		unit = "tokens"
	}
	return fmt.Sprintf("%g %s per second with a burst of %g", account.Rate, unit, account.Burst)
}

func rankText(rank *int) string {
	if rank == nil {
		return "that of the route"
	}
	return fmt.Sprint(*rank)
}

// diffKeys compares the keys of all accounts. It names them by digest.
func (d *differ) diffKeys(old, file *rpwire.ConfigFile) {
	before, after := keyOwners(old), keyOwners(file)
	for i := range file.Accounts {
		account := &file.Accounts[i]
		for _, key := range account.Keys {
			if after[key] != account.Name {
				continue
			}
			owner, ok := before[key]
			switch {
			case !ok:
				d.add(GroupAccounts, "Account %q: key %s is new.", account.Name, keyDigest(key))
			case owner != account.Name:
				d.add(GroupAccounts, "Key %s belongs to account %q, was %q.", keyDigest(key), account.Name, owner)
			}
		}
	}
	for i := range old.Accounts {
		account := &old.Accounts[i]
		for _, key := range account.Keys {
			if _, ok := after[key]; !ok && before[key] == account.Name {
				d.add(GroupRemovedKeys, "Account %q: key %s is removed. Its requests get 401, except on anonymous routes.", account.Name, keyDigest(key))
			}
		}
	}
}

// keyOwners returns the account of each key, the first one if several have it.
func keyOwners(file *rpwire.ConfigFile) map[string]string {
	owners := map[string]string{}
	for i := range file.Accounts {
		for _, key := range file.Accounts[i].Keys {
			if _, ok := owners[key]; !ok {
				owners[key] = file.Accounts[i].Name
			}
		}
	}
	return owners
}
