package rpaccount

// Credential is the digest of a caller's key.
type Credential [32]byte

// Directory is the set of accounts of one configuration. It is immutable after
// NewDirectory.
type Directory struct {
	accounts map[string]*Account
	keys     map[Credential]string
}

// NewDirectory returns the directory of the accounts. keys maps the digests of
// keys to names of accounts.
func NewDirectory(accounts []Account, keys map[Credential]string) *Directory {
	d := &Directory{accounts: make(map[string]*Account, len(accounts)), keys: keys}
	for i := range accounts {
		a := accounts[i]
		d.accounts[a.Name] = &a
	}
	return d
}

// Lookup returns the account of a key.
func (d *Directory) Lookup(c Credential) (*Account, bool) {
	if d == nil {
		return nil, false
	}
	return d.Account(d.keys[c])
}

// Account returns the account with a name.
func (d *Directory) Account(name string) (*Account, bool) {
	if d == nil {
		return nil, false
	}
	a, ok := d.accounts[name]
	return a, ok
}
