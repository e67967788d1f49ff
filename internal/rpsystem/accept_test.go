package rpsystem

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcommand"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
)

// Two operators submit the same document version through different instances.
// Guards against both being accepted, a wrong answer to an operator, a version
// that does not reach a failure domain cut off from the platform, and a time
// line that lacks any of these steps.
func TestRacingOperators(t *testing.T) {
	c := withCluster(t, clusterConfig{Models: []model{{Name: "idle", MaxReplicas: 1}}})
	g := NewWithT(t)
	for round := range 5 {
		if round == 2 {
			c.setPlatformProxies(3, proxyBlackHole)
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
		g.Expect(codes).To(ConsistOf(rpcommand.ExitDone, rpcommand.ExitConflict), "%s\n%s", first.logText(), second.logText())
		winner := 0
		if codes[1] == rpcommand.ExitDone {
			winner = 1
		}
		g.Expect(c.waitForVersionInForce(version + 1)).To(Equal(bodies[winner]))
	}
	c.checkTimeline(5)
	c.setPlatformProxies(3, proxyForward)
	c.waitUntilConverged()
}

// checkTimeline checks that the merged time line shows each submission, its
// outcome and the activation of the version at each instance.
func (c *cluster) checkTimeline(rounds int) {
	c.t.Helper()
	g := NewWithT(c.t)
	args := []string{"timeline", "--part", "documents"}
	for _, i := range c.instances {
		args = append(args, "--operator", i.operatorsAt.String())
	}
	p := withProcess(c.t, "timeline", args...)
	g.Expect(p.exitCode()).To(BeZero())
	output := string(p.logText())
	// The first version was accepted before the rounds. A submission that
	// arrives after the other one is in force is refused without an entry.
	g.Expect(strings.Count(output, "code=accepted")).To(Equal(rounds+1), output)
	submitted := strings.Count(output, "An operator submitted a document.")
	g.Expect(strings.Count(output, "code=conflict")).To(Equal(submitted-rounds-1), output)
	for _, i := range c.instances {
		inForce := 0
		for line := range strings.Lines(output) {
			if strings.Contains(line, i.id) && strings.Contains(line, "in force") {
				inForce++
			}
		}
		g.Expect(inForce).To(Equal(rounds+1), "%s\n%s", i.id, output)
	}
}

// withAccept starts the command "document accept" for a body that was edited
// from version edited.
func (c *cluster) withAccept(i *instance, body string, edited uint64) *process {
	c.t.Helper()
	file := c.writeFile("document.toml", []byte(body))
	key := c.writeFile("credential", []byte(credential))
	return withProcess(c.t, "accept", "document", "accept", "--operator", i.operatorsAt.String(),
		"--edited-version", fmt.Sprint(edited), "--credential-file", key, file)
}

// Guards against an accepted version that is lost when the instances restart,
// one by one or all at once, and against an instance that can't start while the
// table is unavailable.
func TestDocumentsAfterRestarts(t *testing.T) {
	c := withCluster(t, clusterConfig{Models: []model{{Name: "idle", MaxReplicas: 1}}})
	g := NewWithT(t)
	body := string(c.documentText("second"))
	g.Expect(c.withAccept(c.instances[4], body, 1).exitCode()).To(BeZero())
	g.Expect(c.waitForVersionInForce(2)).To(Equal(body))
	for _, i := range c.instances {
		i.signal(syscall.SIGTERM)
		g.Expect(i.exitCode()).To(BeZero(), i.id)
		i.start()
		g.Eventually(i.ready, waitTimeout, pollInterval).Should(Succeed(), i.id)
	}
	g.Expect(c.waitForVersionInForce(2)).To(Equal(body))
	for _, i := range c.instances {
		i.kill()
	}
	for _, i := range c.instances {
		i.restart()
	}
	c.waitUntilConverged()
	g.Expect(c.waitForVersionInForce(2)).To(Equal(body))
	c.setFaults("table", rpstandin.FaultSettings{Unavailable: true})
	late := c.instances[1]
	late.kill()
	late.restart()
	g.Eventually(late.ready, waitTimeout, pollInterval).Should(Succeed())
	g.Expect(c.waitForVersionInForce(2)).To(Equal(body))
	c.setFaults("table", rpstandin.FaultSettings{})
	c.waitUntilConverged()
}
