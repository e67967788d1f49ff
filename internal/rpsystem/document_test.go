package rpsystem

import (
	"cmp"
	"fmt"
	"strings"

	. "github.com/onsi/gomega"
)

// model is a model in the document of a cluster.
type model struct {
	Name              string
	MaxReplicas, Warm int
	// MemoryGiB is the size of the model; 0 means 16.
	MemoryGiB int
}

// documentText returns a document for the cluster. The remark becomes a comment,
// which makes the bodies of versions differ.
func (c *cluster) documentText(remark string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\nformat = 1\nservice = %q\nteam = %q\neditors = [%q]\n", remark, service, service, editor())
	b.WriteString("[spend]\naccelerators = 100\n")
	for rank, worth := range map[string]int{"urgent": 100, "normal": 10, "background": 1} {
		fmt.Fprintf(&b, "[ranks.%s]\ntarget = \"2s\"\ndeadline = \"30s\"\nworth = %d\nfloor = 0.1\n", rank, worth)
	}
	for _, m := range c.config.Models {
		fmt.Fprintf(&b, "[[models]]\nname = %q\nversion = \"1\"\ncheckpoint = \"weights/%s\"\nmemory = \"%dGiB\"\n",
			m.Name, m.Name, cmp.Or(m.MemoryGiB, 16))
		fmt.Fprintf(&b, "max_replicas = %d\nwarm_replicas = %d\nrank = \"normal\"\n", m.MaxReplicas, m.Warm)
	}
	b.WriteString("[[routes]]\npath_prefix = \"/charge\"\nmethods = [\"POST\"]\nrepeatable = false\nrank = \"urgent\"\n")
	return []byte(b.String())
}

// acceptFirstVersion submits version 1 of the document and waits until it is in
// force at all instances.
func (c *cluster) acceptFirstVersion() {
	c.t.Helper()
	_, err := c.instances[0].operator().Accept(testContext(c.t), service, 0, c.documentText("first"))
	NewWithT(c.t).Expect(err).NotTo(HaveOccurred())
	c.waitForVersionInForce(1)
}

// waitForVersionInForce waits until all instances have a version in force and
// returns its body, which must be the same at all of them.
func (c *cluster) waitForVersionInForce(version uint64) string {
	c.t.Helper()
	g := NewWithT(c.t)
	bodies := make([]string, len(c.instances))
	for n, i := range c.instances {
		g.Eventually(func() (uint64, error) {
			found, body, err := i.documentInForce()
			bodies[n] = body
			return found, err
		}, waitTimeout, pollInterval).Should(Equal(version), i.id)
		g.Expect(bodies[n]).To(Equal(bodies[0]), i.id)
	}
	return bodies[0]
}
