package rpoperator

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// maxCredentialLength bounds a credential, in bytes.
const maxCredentialLength = 4096

// compareSums compares without telling by its time where two sums differ.
var compareSums = subtle.ConstantTimeCompare

// credentialSum returns the SHA-256 sum of the bearer credential of a request,
// or "" where it has none.
func credentialSum(r *http.Request) string {
	scheme, credential, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	credential = strings.TrimSpace(credential)
	if !ok || !strings.EqualFold(scheme, "Bearer") || credential == "" || len(credential) > maxCredentialLength {
		return ""
	}
	return rpdocument.Hash([]byte(credential))
}

// containsSum reports whether a sum stands in a list. It compares with every
// entry, so that its time does not tell the place of a match.
func containsSum(sum string, sums []string) bool {
	found := 0
	for _, entry := range sums {
		found |= compareSums([]byte(sum), []byte(entry))
	}
	return found == 1
}
