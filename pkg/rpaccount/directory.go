package rpaccount

// Directory is the set of accounts of one version of the configuration. It does not
// change after NewDirectory. A nil or zero Directory has no accounts.
type Directory struct {
	accounts map[string]*Account
	keys     map[Credential]*Account
}

// NewDirectory returns the directory of the given accounts. keys maps the digest of
// each key to the name of its account; keys of other names identify no account.
func NewDirectory(accounts []Account, keys map[Credential]string) *Directory {
	d := &Directory{
		accounts: make(map[string]*Account, len(accounts)),
		keys:     make(map[Credential]*Account, len(keys)),
	}
	for i := range accounts {
		account := accounts[i]
		d.accounts[account.Name] = &account
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

// Len returns the number of accounts.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.accounts)
}
