package rpsystem

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// instance is one entry instance. Each restart replaces the process.
type instance struct {
	*process
	cluster              *cluster
	id                   string
	domain               int
	settings             string
	callers, operatorsAt netip.AddrPort
	proxies              map[string]*tcpProxy
}

// withInstance starts an instance with its own forwarders to peers and platform.
func (c *cluster) withInstance(domain, host int) {
	c.t.Helper()
	octet := domainOctet + domain
	i := &instance{
		cluster: c, id: fmt.Sprintf("entry-%d%c", domain, 'a'+host-1), domain: domain, proxies: make(map[string]*tcpProxy),
		callers: c.address(octet, host, callersPort), operatorsAt: c.address(octet, host, operatorsPort),
	}
	listen, advertise := c.address(octet, host, peersPort), c.address(octet, advertiseHost+host, peersPort)
	withUDPForwarder(c.t, &c.peers, advertise, listen)
	for n, part := range platformParts {
		address := c.address(octet, proxyHost+10*host+n, standinPort)
		i.proxies[part] = withTCPProxy(c.t, address, c.platform[part].address)
	}
	i.settings = c.writeFile(i.id+".toml", i.settingsText(listen, advertise))
	c.instances = append(c.instances, i)
	i.start()
}

func (i *instance) start() { i.process = withProcess(i.cluster.t, i.id, "serve", i.settings) }

// restart removes the ended process from the instance list, as the platform
// does, and starts the instance again.
func (i *instance) restart() {
	i.cluster.t.Helper()
	i.cluster.removeMember(i.id)
	i.start()
}

const settingsFormat = `
[instance]
name = %q
failure_domain = %q
[listen]
callers = %q
operators = %q
peers = %q
[advertise]
peers = %q
[platform]
table_endpoint = "http://%s"
table_name = "rattanpaddle"
object_endpoint = "http://%s"
bucket = "rattanpaddle"
region = "test"
access_key = "test"
secret_key = "test"
list_endpoint = "http://%s"
list_interval = "300ms"
[tls]
ca = %q
certificate = %q
key = %q
[operators]
bootstrap_editors = [%q]
[limits]
# The instance list of the tests lags by less than a second.
list_lag = "5s"

[drain]
grace = "200ms"
timeout = "30s"
`

func (i *instance) settingsText(listen, advertise netip.AddrPort) []byte {
	c := i.cluster
	issued, err := c.authority.Issue(rpcore.InstanceID(i.id), time.Hour)
	NewWithT(c.t).Expect(err).NotTo(HaveOccurred())
	endpoint := func(part string) string { return i.proxies[part].listener.Addr().String() }
	return fmt.Appendf(nil, settingsFormat, i.id, domainName(i.domain), i.callers, i.operatorsAt, listen, advertise,
		endpoint("table"), endpoint("objects"), endpoint("list"), c.authFile,
		c.writeFile(i.id+".pem", issued.Certificate), c.writeFile(i.id+"-key.pem", issued.Key), editor())
}

func editor() string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

func (c *cluster) writeFile(name string, data []byte) string {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), name)
	NewWithT(c.t).Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	return path
}

func (i *instance) operator() *rpoperator.Client {
	return &rpoperator.Client{Address: i.operatorsAt, Credential: credential, HTTP: httpClient}
}

// ready returns nil if the load balancer may send callers to the instance.
func (i *instance) ready() error {
	return requestJSON(http.MethodGet, "http://"+i.operatorsAt.String()+"/readyz", nil, nil)
}

func (i *instance) status() (rpcore.Status, error) {
	var status rpcore.Status
	body, err := i.operator().Status(testContext(i.cluster.t))
	if err == nil {
		err = json.Unmarshal(body, &status)
	}
	return status, err
}

// checkView returns an error unless the instance sees the given number of live
// instances and engine reports.
func (i *instance) checkView(instances, engines int) error {
	status, err := i.status()
	if err != nil {
		return err
	}
	live := len(slices.DeleteFunc(status.Instances, func(s rpcore.InstanceStatus) bool { return !s.Live }))
	reports := 0
	for _, e := range status.Endpoints {
		if e.Kind == rpcore.MemberEngine && e.ReportAge >= 0 {
			reports++
		}
	}
	if live != instances || reports != engines {
		return fmt.Errorf("%s sees %d live instances and %d engine reports, want %d and %d", i.id, live, reports, instances, engines)
	}
	return nil
}

// documentInForce returns the version and the body of the document in force.
func (i *instance) documentInForce() (uint64, string, error) {
	answer, err := i.operator().Document(testContext(i.cluster.t), service)
	return answer.Document.Version, answer.Body, err
}
