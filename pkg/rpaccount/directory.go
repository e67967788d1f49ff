package rpaccount

// Unit is what a quota counts.
type Unit string

// The units of quotas.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Quota limits the cost of an account's requests. Rate is per second and Burst is
// the size of the bucket. The zero value is no limit.
type Quota struct {
	Rate  float64
	Burst float64
	Unit  Unit
	// PlainCost is the cost in tokens of a request without token counts.
	PlainCost float64
}

// IsZero reports whether the quota is no limit.
func (q Quota) IsZero() bool { return q.Rate <= 0 && q.Burst <= 0 }

// Cost returns the cost of a request: one for UnitRequests, otherwise the sum of its
// tokens. counted says that the caller stated the numbers of tokens; without them,
// the cost is PlainCost. Negative numbers count as zero, so that no request gives
// credit to its account.
func (q Quota) Cost(promptTokens, outputTokens int, counted bool) float64 {
	switch {
	case q.Unit != UnitTokens:
		return 1
	case !counted:
		return max(0, q.PlainCost)
	}
	return float64(max(0, promptTokens)) + float64(max(0, outputTokens))
}

// Account is a client account of the configuration.
type Account struct {
	Name string
	// Rank takes precedence over the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
	Quota   Quota
}

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
