package rpplatform_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpplatform"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// withRequestCapture answers every request with an empty object and stores the
// header and body of the last request.
func withRequestCapture(header *http.Header, body *string) rpplatform.Access {
	access := withResponse(http.StatusOK, "{}")
	respond := access.RoundTrip
	access.RoundTrip = func(r *http.Request) (*http.Response, error) {
		data, err := io.ReadAll(r.Body)
		*header, *body = r.Header, string(data)
		if err != nil {
			return nil, err
		}
		return respond(r)
	}
	return access
}

// Guards against using credentials or endpoints from the environment, and against
// requests that are not signed with the credentials from the settings.
func TestCredentialsComeFromSettingsOnly(t *testing.T) {
	t.Setenv("AWS_ACCESS_KEY_ID", "environment")
	t.Setenv("AWS_SECRET_ACCESS_KEY", "environment")
	t.Setenv("AWS_ENDPOINT_URL", "http://127.0.0.1:1")
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:1")
	g := NewWithT(t)
	var header http.Header
	var body string
	access := withRequestCapture(&header, &body)
	g.Expect(withTable(t, access).write(modelWrite("a", 0, "n1"))).To(Equal(rpcore.WriteApplied))
	g.Expect(header).NotTo(HaveKey("Authorization"))
	access.AccessKey, access.SecretKey = "settings", "secret"
	g.Expect(withTable(t, access).write(modelWrite("a", 0, "n1"))).To(Equal(rpcore.WriteApplied))
	g.Expect(header.Get("Authorization")).To(ContainSubstring("Credential=settings/"))
}

// Guards against claims that never expire, and against rows of other kinds that
// do.
func TestOnlyClaimsExpire(t *testing.T) {
	g := NewWithT(t)
	var header http.Header
	var body string
	table := withTable(t, withRequestCapture(&header, &body))
	table.write(rpcore.RowWrite{
		Key:     rpcore.RowKey{Kind: rpcore.RowClaim, Service: "s", Name: "k"},
		RowBody: rpcore.RowBody{Claim: &rpcore.ClaimRow{ExpiresAt: time.Unix(1234567890, 5)}},
	})
	g.Expect(body).To(ContainSubstring(`"ttl":{"N":"1234567890"}`))
	table.write(modelWrite("a", 0, "n1"))
	g.Expect(body).NotTo(ContainSubstring("ttl"))
}
