package rpaccount

import (
	"maps"
	"slices"
)

// Directory is the set of accounts of one version of the configuration. It does not
// change after NewDirectory. A nil or zero Directory has no accounts.
type Directory struct {
	accounts map[string]*Account
	keys     map[Credential]*Account
}

// NewDirectory returns the directory of the given accounts. keys maps the digest of
// each key to the name of its account; keys of other names identify no account. An
// account without a name is left out: a request of it would look like an anonymous one.
func NewDirectory(accounts []Account, keys map[Credential]string) *Directory {
	d := &Directory{
		accounts: make(map[string]*Account, len(accounts)),
		keys:     make(map[Credential]*Account, len(keys)),
	}
	for i := range accounts {
		account := accounts[i]
		if account.Name != "" {
			d.accounts[account.Name] = &account
		}
	}
	for credential, name := range keys {
		if account := d.accounts[name]; account != nil && !credential.IsZero() {
			d.keys[credential] = account
		}
	}
	return d
}

// Lookup returns the account of a key.
func (d *Directory) Lookup(c Credential) (*Account, bool) {
	if d == nil {
		return nil, false
	}
	account, ok := d.keys[c]
	return account, ok
}

// Account returns the account with the given name.
func (d *Directory) Account(name string) (*Account, bool) {
	if d == nil {
		return nil, false
	}
	account, ok := d.accounts[name]
	return account, ok
}

// Names returns the names of the accounts, in no order.
func (d *Directory) Names() []string {
	if d == nil {
		return nil
	}
	return slices.Collect(maps.Keys(d.accounts))
}

// Len returns the number of accounts.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.accounts)
}

// IsBelow reports whether the quota limits an account more than before.
func (q Quota) IsBelow(before Quota) bool {
	if q.IsZero() || before.IsZero() {
		return before.IsZero() && !q.IsZero()
	}
	return q.Rate < before.Rate || q.Burst < before.Burst
}
