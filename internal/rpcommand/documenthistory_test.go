package rpcommand

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Guards against a history that names the wrong editor or change, and against a
// body that can't be read being reported as no change.
func TestDocumentHistory(t *testing.T) {
	g := NewWithT(t)
	n := withInstance(t, "anna")
	bodies := map[string]string{"h3": exampleBody(), "h4": exampleBody("max_replicas = 3", "max_replicas = 4")}
	t.Setenv("RATTANPADDLE_OPERATOR", n.address)
	t.Setenv(CredentialVariable, "anna")
	g.Expect(withRun(t, &Program{}, "document", "accept", withFile(t, exampleBody()), "--edited-version", "0").code).To(Equal(ExitDone))
	n.server.AcceptedRow = func(context.Context, string) (*rpcore.DocumentRow, error) {
		row := n.current.Row
		row.Version, row.Hash, row.Editor = 4, "h4", rpdocument.Hash([]byte("bram"))
		row.History = []rpcore.AcceptedVersion{{Version: 3, Hash: "h3", Editor: rpdocument.Hash([]byte("anna")), AcceptedAt: time.Unix(60, 0)}}
		return &row, nil
	}
	n.current.Row.Version = 4
	n.server.LoadBody = func(_ context.Context, hash string) ([]byte, error) {
		if bodies[hash] == "" {
			return nil, errors.New("down")
		}
		return []byte(bodies[hash]), nil
	}
	run := func(args string) result { return withRun(t, &Program{}, strings.Fields(args)...) }
	table := "Versions of service mixadvies that are known: 2. The first one is accepted now.\n\n" +
		" VERSION  ACCEPTED AT           EDITOR        CONTENT HASH (SHA-256)\n" +
		"       4  1970-01-01T00:00:00Z  " + rpdocument.Hash([]byte("bram"))[:12] + "  h4\n" +
		"       3  1970-01-01T00:01:00Z  " + rpdocument.Hash([]byte("anna"))[:12] + "  h3\n" +
		"The table does not name the versions before 3 any more.\n"
	g.Expect(run("document log mixadvies").stdout).To(Equal(table))
	g.Expect(run("document history mixadvies 3 4").stdout).To(Equal(
		table + "\nChanges from version 3 to version 4:\nModel bag-small: at most 4 replicas, was 3.\n"))
	g.Expect(run("document history -o json mixadvies 4 4").stdout).To(ContainSubstring(`"changes": []`))
	delete(bodies, "h3")
	got := run("document history -o json mixadvies 3 4")
	g.Expect(got.code).To(Equal(ExitUnavailable))
	g.Expect(got.stdout).To(ContainSubstring(`"changes": null`))
	g.Expect(run("document history mixadvies 3").code).To(Equal(ExitUsage))
	t.Setenv(CredentialVariable, "stranger")
	got = run("document history mixadvies 3 4")
	g.Expect(got.code).To(Equal(ExitRefused))
	g.Expect(got.stdout).To(BeEmpty())
}
