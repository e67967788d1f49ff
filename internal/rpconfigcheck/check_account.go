package rpconfigcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// digestLength is the number of characters by which messages name a key.
const digestLength = 12

// keyDigest returns the name of a key in messages, which do not contain keys.
func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])[:digestLength]
}

// keyPlace is where a key was seen first.
type keyPlace struct {
	account, line int
}

func (c *checker) checkAccounts() {
	names, keys := map[string]int{}, map[string]keyPlace{}
	for i := range c.file.Accounts {
		account, path := &c.file.Accounts[i], rpwire.IndexPath(rpwire.FieldAccounts, i)
		c.checkName(path, account.Name, names)
		c.checkKeys(i, path, keys)
		c.checkQuota(account, path)
	}
}

func (c *checker) checkKeys(i int, path string, seen map[string]keyPlace) {
	account := &c.file.Accounts[i]
	keysPath := rpwire.FieldPath(path, rpwire.FieldKeys)
	if len(account.Keys) == 0 {
		c.report(keysPath, CodeNoKeys, fmt.Sprintf("Account %q has no keys, so no request belongs to it.", account.Name), "Add a key, or remove the account.")
	}
	for n, key := range account.Keys {
		keyPath := rpwire.IndexPath(keysPath, n)
		if key == "" {
			c.report(keyPath, CodeValueInvalid, "The key is empty, so no request has it.", "Write a key, or remove the entry.")
			continue
		}
		first, ok := seen[key]
		switch {
		case !ok:
			seen[key] = keyPlace{account: i, line: c.file.Line(keyPath)}
		case first.account == i:
			c.report(keyPath, CodeDuplicate, fmt.Sprintf("Key %s is already in line %d.", keyDigest(key), first.line), "Remove one of the two.")
		default:
			c.report(keyPath, CodeKeyShared, fmt.Sprintf("Account %q has the same key %s, in line %d.", c.file.Accounts[first.account].Name, keyDigest(key), first.line),
				"Give each account keys of its own.")
		}
	}
}

// checkQuota reports a quota that can never pay for one request.
func (c *checker) checkQuota(account *rpwire.FileAccount, path string) {
	if !hasQuota(account) {
		return
	}
	burstPath := rpwire.FieldPath(path, rpwire.FieldBurst)
	if account.Rate == 0 {
		c.report(rpwire.FieldPath(path, rpwire.FieldRate), CodeContradiction, "The rate is 0 but the burst is not, so the quota never fills again.", "Write a rate above 0, or a burst of 0 for no limit.")
	}
	if cost := requestCost(account); account.Burst < cost {
		c.report(burstPath, CodeContradiction, fmt.Sprintf("The burst of %g is below the cost of one request, %g.", account.Burst, cost), "Write a burst that is not below the cost of one request.")
	}
}

// hasQuota reports whether the requests of an account are limited.
func hasQuota(account *rpwire.FileAccount) bool { return account.Rate > 0 || account.Burst > 0 }

// requestCost returns the cost of a request without token counts.
func requestCost(account *rpwire.FileAccount) float64 {
	if account.Unit == rpwire.UnitTokens {
		return account.PlainCost
	}
	return 1
}
