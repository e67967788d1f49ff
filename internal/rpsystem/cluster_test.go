package rpsystem

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rppeer"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	// waitTimeout limits every wait. It is not a performance target.
	waitTimeout  = 40 * time.Second
	pollInterval = 20 * time.Millisecond
	// listLag is the time until the list shows a change, and listReadTime limits
	// a read of the list on a busy machine.
	listLag      = 300 * time.Millisecond
	listReadTime = 2 * time.Second

	domainCount        = 3
	instancesPerDomain = 2
	// The third byte of an address is domainOctet plus the number of a failure
	// domain, or platformOctet. The demo uses other values, so a test and the
	// demo can have the same second byte.
	domainOctet   = 10
	platformOctet = 210
	engineHost    = 50
	serviceHost   = 80
	advertiseHost = 100
	proxyHost     = 150

	callersPort   = 8080
	operatorsPort = 8081
	peersPort     = 8082
	standinPort   = 9000

	service      = "shop"
	credential   = "system-test"
	engineMemory = 80 * rpdocument.GiB
)

// platformParts are the stand-ins of the platform that each instance reaches
// through its own TCP proxy.
var platformParts = []string{"table", "objects", "list"}

// clusterSlots limits the number of clusters that run at once: each has up to 20
// processes, and the tests of other packages run in parallel.
var clusterSlots = make(chan struct{}, 2)

type clusterConfig struct {
	Engines int
	// IgnoreFencing makes all engines ignore fencing numbers.
	IgnoreFencing bool
	PlainServices int
	// TokenTime is the time that an engine takes for a token, 2 ms if it is 0.
	// LoadTime is the time that the weight store takes for a load, 1 s if it
	// is 0.
	TokenTime, LoadTime time.Duration
	Models              []model
}

type cluster struct {
	t         *testing.T
	config    clusterConfig
	network   byte
	authority *rppeer.Authority
	authFile  string
	peers     peerNetwork
	platform  map[string]*standin
	engines   []*standin
	services  []*standin
	instances []*instance
}

// standin is the process of one stand-in of rpstandin.
type standin struct {
	*process
	id      string
	args    []string
	address netip.AddrPort
	member  rpcore.Member
}

func (c *cluster) address(octet, host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, c.network, byte(octet), byte(host)}), uint16(port))
}

// withCluster starts all processes of a cluster. It returns when every instance
// has all others and all engines in its view and version 1 of the document is in
// force everywhere.
func withCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	g := NewWithT(t)
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{t: t, config: config, platform: make(map[string]*standin)}
	c.claimNetwork()
	authority, err := rppeer.NewAuthority(time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	c.authority = authority
	c.authFile = c.writeFile("ca.pem", authority.PEM())
	for i, part := range append(platformParts, "weights") {
		c.platform[part] = c.withStandin(part, c.address(platformOctet, i+1, standinPort), part,
			"--load-time", orDefault(config.LoadTime, time.Second).String(), "--lag", listLag.String())
	}
	for i := range config.Engines {
		c.withEngine(i)
	}
	for i := range config.PlainServices {
		c.withPlainService(i)
	}
	for d := 1; d <= domainCount; d++ {
		for host := 1; host <= instancesPerDomain; host++ {
			c.withInstance(d, host)
		}
	}
	c.waitUntilConverged()
	c.acceptFirstVersion()
	return c
}

// claimNetwork chooses a second byte for the addresses that no other cluster on
// the machine uses. A listener on one address reserves it.
func (c *cluster) claimNetwork() {
	c.t.Helper()
	NewWithT(c.t).Eventually(func() error {
		c.network = byte(1 + rand.IntN(250))
		claim, err := net.Listen("tcp", c.address(platformOctet, 250, standinPort).String())
		if err == nil {
			c.t.Cleanup(func() { _ = claim.Close() })
		}
		return err
	}, waitTimeout).Should(Succeed())
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// withStandin starts a stand-in and waits until it accepts connections.
func (c *cluster) withStandin(id string, address netip.AddrPort, kind string, args ...string) *standin {
	c.t.Helper()
	args = append([]string{"standin", kind, "--listen", address.String()}, args...)
	s := &standin{process: withProcess(c.t, id, args...), id: id, args: args, address: address}
	NewWithT(c.t).Eventually(func() error {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, waitTimeout, pollInterval).Should(Succeed())
	return s
}

func (c *cluster) withEngine(i int) *standin {
	c.t.Helper()
	id := fmt.Sprintf("engine-%d", i)
	domain := i%domainCount + 1
	address := c.address(domainOctet+domain, engineHost+i, standinPort)
	args := append(c.memberArgs(id, domain),
		"--memory", engineMemory.String(), "--weights", c.platform["weights"].address.String(), "--lag", "100ms",
		"--token-time", orDefault(c.config.TokenTime, 2*time.Millisecond).String())
	if c.config.IgnoreFencing {
		args = append(args, "--ignore-fencing")
	}
	s := c.withStandin(id, address, "engine", args...)
	c.engines = append(c.engines, s)
	return s
}

func (c *cluster) withPlainService(i int) {
	c.t.Helper()
	id := fmt.Sprintf("plain-%d", i)
	domain := i%domainCount + 1
	address := c.address(domainOctet+domain, serviceHost+i, standinPort)
	c.services = append(c.services, c.withStandin(id, address, "service", c.memberArgs(id, domain)...))
}

func (c *cluster) memberArgs(id string, domain int) []string {
	return []string{
		"--list", c.platform["list"].address.String(), "--id", id, "--service", service,
		"--failure-domain", domainName(domain),
	}
}

func domainName(domain int) string { return fmt.Sprintf("domain-%d", domain) }

// setFaults sets the faults that a stand-in of the platform simulates.
func (c *cluster) setFaults(part string, faults rpstandin.FaultSettings) {
	c.t.Helper()
	url := "http://" + c.platform[part].address.String() + "/standin/faults"
	NewWithT(c.t).Expect(requestJSON(http.MethodPost, url, faults, nil)).To(Succeed())
}

// members reads the instance list.
func (c *cluster) members() []rpcore.Member {
	c.t.Helper()
	var members []rpcore.Member
	url := "http://" + c.platform["list"].address.String() + "/v1/members"
	NewWithT(c.t).Expect(requestJSON(http.MethodGet, url, nil, &members)).To(Succeed())
	return members
}

// member returns the entry of a member in the instance list, or false if it is
// not listed.
func (c *cluster) member(id string) (rpcore.Member, bool) {
	for _, member := range c.members() {
		if member.ID == id {
			return member, true
		}
	}
	return rpcore.Member{}, false
}

// removeMember removes a member from the instance list, as the platform does
// after a process has ended.
func (c *cluster) removeMember(id string) {
	c.t.Helper()
	url := "http://" + c.platform["list"].address.String() + "/v1/members/" + id
	NewWithT(c.t).Expect(requestJSON(http.MethodDelete, url, nil, nil)).To(Succeed())
}

// putMember replaces the entry of a member in the instance list.
func (c *cluster) putMember(member rpcore.Member) {
	c.t.Helper()
	url := "http://" + c.platform["list"].address.String() + "/v1/members/" + member.ID
	NewWithT(c.t).Expect(requestJSON(http.MethodPut, url, member, nil)).To(Succeed())
}

// cutPeers drops all peer messages between two failure domains.
func (c *cluster) cutPeers(a, b int) { c.peers.setCut(a, b, true) }

func (c *cluster) healPeers(a, b int) { c.peers.setCut(a, b, false) }

// setPlatformProxies sets the mode of all platform proxies of a failure domain,
// which cuts it off from the platform or reconnects it.
func (c *cluster) setPlatformProxies(domain int, mode proxyMode) {
	for _, i := range c.instances {
		if i.domain != domain {
			continue
		}
		for _, part := range platformParts {
			i.proxies[part].setMode(mode)
		}
	}
}

// instancesInDomain returns the instances of a failure domain.
func (c *cluster) instancesInDomain(domain int) []*instance {
	var found []*instance
	for _, i := range c.instances {
		if i.domain == domain {
			found = append(found, i)
		}
	}
	return found
}

// waitUntilConverged waits until every instance is ready, sees all instances as
// live and has a report of every engine.
func (c *cluster) waitUntilConverged() {
	c.t.Helper()
	g := NewWithT(c.t)
	for _, i := range c.instances {
		g.Eventually(i.ready, waitTimeout, pollInterval).Should(Succeed())
	}
	for _, i := range c.instances {
		g.Eventually(func() error { return i.checkView(len(c.instances), len(c.engines)) }, waitTimeout, pollInterval).Should(Succeed())
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 3*waitTimeout)
	t.Cleanup(cancel)
	return ctx
}
