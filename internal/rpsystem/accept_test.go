package rpsystem

import (
	"fmt"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcommand"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
)

// Guards against two winners of one version, an untruthful answer to an
// operator, and a version that does not reach a failure domain without the
// platform.
func TestRacingOperators(t *testing.T) {
	c := withCluster(t, clusterConfig{Models: []model{{Name: "idle", MaxReplicas: 1}}})
	g := NewWithT(t)
	for round := range 5 {
		if round == 2 {
			c.setPlatformGates(3, gateBlackHole)
		}
		version := uint64(round + 1)
		a, b := c.instances[round%2], c.instances[2+round%2]
		bodies := []string{
			string(c.documentText(fmt.Sprintf("round %d from a", round))),
			string(c.documentText(fmt.Sprintf("round %d from b", round))),
		}
		first := c.withAccept(a, bodies[0], version)
		second := c.withAccept(b, bodies[1], version)
		codes := []rpcommand.ExitCode{rpcommand.ExitCode(first.exitCode()), rpcommand.ExitCode(second.exitCode())}
		g.Expect(codes).To(ConsistOf(rpcommand.ExitDone, rpcommand.ExitConflict), "%s\n%s", first.text(), second.text())
		winner := 0
		if codes[1] == rpcommand.ExitDone {
			winner = 1
		}
		g.Expect(c.waitInForce(version + 1)).To(Equal(bodies[winner]))
	}
	c.setPlatformGates(3, gateOpen)
	c.waitUntilWhole()
}

// withAccept starts document accept.
func (c *cluster) withAccept(i *instance, body string, edited uint64) *process {
	c.t.Helper()
	file := c.writeFile("document.toml", []byte(body))
	key := c.writeFile("credential", []byte(credential))
	return withProcess(c.t, "accept", "document", "accept", "--operator", i.operatorsAt.String(),
		"--edited-version", fmt.Sprint(edited), "--credential-file", key, file)
}

// Guards against an accepted version that a restart of the instances loses, and
// against an instance that can't start while the table is unavailable.
func TestDocumentsAfterRestarts(t *testing.T) {
	c := withCluster(t, clusterConfig{Models: []model{{Name: "idle", MaxReplicas: 1}}})
	g := NewWithT(t)
	body := string(c.documentText("second"))
	g.Expect(c.withAccept(c.instances[4], body, 1).exitCode()).To(BeZero())
	g.Expect(c.waitInForce(2)).To(Equal(body))
	for _, i := range c.instances {
		i.signal(syscall.SIGTERM)
		g.Expect(i.exitCode()).To(BeZero(), i.id)
		i.start()
		g.Eventually(i.ready, longTime, pollTime).Should(Succeed(), i.id)
	}
	g.Expect(c.waitInForce(2)).To(Equal(body))
	for _, i := range c.instances {
		i.kill()
	}
	for _, i := range c.instances {
		i.restart()
	}
	c.waitUntilWhole()
	g.Expect(c.waitInForce(2)).To(Equal(body))
	c.setFaults("table", rpstandin.FaultSettings{Unavailable: true})
	late := c.instances[1]
	late.kill()
	late.restart()
	g.Eventually(late.ready, longTime, pollTime).Should(Succeed())
	g.Expect(c.waitInForce(2)).To(Equal(body))
	c.setFaults("table", rpstandin.FaultSettings{})
	c.waitUntilWhole()
}
