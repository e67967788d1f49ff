package rpoperator

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// maxCredentialLength is the maximum length of a credential, in bytes.
const maxCredentialLength = 4096

// compareSums compares two sums in constant time.
var compareSums = subtle.ConstantTimeCompare

// credentialSum returns the SHA-256 sum of the bearer credential of a request, or ""
// if there is none or it is too long.
func credentialSum(r *http.Request) string {
	scheme, credential, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	credential = strings.TrimSpace(credential)
	if !ok || !strings.EqualFold(scheme, "Bearer") || credential == "" || len(credential) > maxCredentialLength {
		return ""
	}
	return rpdocument.Hash([]byte(credential))
}

// containsSum reports whether a list contains a sum. It compares every entry, so
// that its duration does not reveal the position of a match.
func containsSum(sum string, sums []string) bool {
	found := 0
	for _, entry := range sums {
		found |= compareSums([]byte(sum), []byte(entry))
	}
	return found == 1
}
