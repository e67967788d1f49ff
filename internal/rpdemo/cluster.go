package rpdemo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rppeer"
	"github.com/rattanpaddle/rattanpaddle/internal/rpserve"
	"github.com/rattanpaddle/rattanpaddle/internal/rpsettings"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	// modelMemory is small enough that modelsPerEngine models fit into
	// engineMemory.
	modelMemory     = 16 * rpdocument.GiB
	engineMemory    = 80 * rpdocument.GiB
	modelsPerEngine = 4

	instancesPerDomain = 2
	credential         = "demo-operator"

	// Load times of the stand-in engines, by the place of the checkpoint. The
	// load of a remote checkpoint takes weightsLoadTime to read it from the
	// weight store, then memoryLoadTime.
	memoryLoadTime  = 300 * time.Millisecond
	diskLoadTime    = 900 * time.Millisecond
	weightsLoadTime = 1500 * time.Millisecond
	adapterLoadTime = 10 * time.Millisecond

	certificateValidity = 24 * time.Hour
	listLag             = 300 * time.Millisecond

	callersPort   = 8080
	operatorsPort = 8081
	peersPort     = 8082
	standinPort   = 9000
)

// cluster holds all stand-ins and instances of a running demo.
type cluster struct {
	deployment Deployment
	log        rplog.Log
	// network is the second byte of all addresses, which are 127.network.x.y.
	network   byte
	wg        sync.WaitGroup
	failures  chan error
	table     *rpstandin.Table
	objects   *rpstandin.Objects
	list      *rpstandin.List
	weights   *rpstandin.Weights
	engines   []*engine
	services  []*plainService
	instances []*instance
}

type engine struct {
	*rpstandin.Engine
	id      rpcore.EndpointID
	service string
	cached  []rpcore.CachedCheckpoint
}

type plainService struct {
	*rpstandin.Service
	id rpcore.EndpointID
}

// instance is an entry instance that runs in this process.
type instance struct {
	name      string
	callers   netip.AddrPort
	operators netip.AddrPort
	stop      context.CancelFunc
	// done is closed when the instance has stopped. err is its result and must
	// be read only after that.
	done chan struct{}
	err  error
}

func (c *cluster) address(domain, host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, c.network, byte(domain), byte(host)}), uint16(port))
}

func (c *cluster) platformAddress(host int) netip.AddrPort { return c.address(200, host, standinPort) }

// start starts the stand-ins and then the instances. The stand-ins run until the
// context ends.
func (c *cluster) start(ctx context.Context) error {
	c.failures = make(chan error, 100)
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	host := 10
	for _, service := range c.deployment.Services {
		for i := range service.Engines {
			if err := c.startEngine(ctx, service, i, host); err != nil {
				return err
			}
			host++
		}
		for i := range service.PlainEndpoints {
			if err := c.startPlainService(ctx, service, i, host); err != nil {
				return err
			}
			host++
		}
	}
	return c.startInstances(ctx)
}

func (c *cluster) startPlatform(ctx context.Context) error {
	c.table = &rpstandin.Table{}
	c.objects = &rpstandin.Objects{}
	c.list = &rpstandin.List{Lag: listLag}
	c.weights = rpstandin.NewWeights(rpstandin.WeightsConfig{
		LoadsPerSecond: c.deployment.LoadsPerSecond,
		FullSpeed:      c.deployment.LoadsAtOnce,
		LoadTime:       weightsLoadTime,
	})
	handlers := []http.Handler{c.table, c.objects, c.list, c.weights}
	for i, handler := range handlers {
		if err := c.serveHTTP(ctx, c.platformAddress(i+1), handler); err != nil {
			return err
		}
	}
	return nil
}

// serveHTTP runs an HTTP server on an address until the context ends.
func (c *cluster) serveHTTP(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return trace.Wrap(err, "listening for a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	c.wg.Go(func() { _ = server.Serve(listener) })
	c.wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	return nil
}

func (c *cluster) startEngine(ctx context.Context, service Service, i, host int) error {
	domain := i % len(c.deployment.Domains)
	id := rpcore.EndpointID(fmt.Sprintf("%s-engine-%02d", service.Name, i))
	cached := cachedCheckpoints(service, i)
	enforces := i%3 != 2
	standin := rpstandin.NewEngine(rpstandin.EngineConfig{
		ID:             id,
		Incarnation:    "1",
		Memory:         engineMemory,
		EnforceFencing: enforces,
		TokenTime:      2 * time.Millisecond,
		LoadTime: map[rpcore.CheckpointPlace]time.Duration{
			rpcore.PlaceMemory: memoryLoadTime,
			rpcore.PlaceDisk:   diskLoadTime,
			rpcore.PlaceRemote: memoryLoadTime,
		},
		AdapterTime: adapterLoadTime,
		Weights:     "http://" + c.platformAddress(4).String(),
		Cached:      cached,
		ReportLag:   200 * time.Millisecond,
	})
	address := c.address(domain+1, host, standinPort)
	if err := c.serveHTTP(ctx, address, standin); err != nil {
		return err
	}
	c.engines = append(c.engines, &engine{Engine: standin, id: id, service: service.Name, cached: cached})
	return c.register(ctx, rpcore.Member{
		ID:              string(id),
		Kind:            rpcore.MemberEngine,
		Service:         service.Name,
		FailureDomain:   c.deployment.Domains[domain],
		Incarnation:     "1",
		Address:         address,
		EnforcesFencing: enforces,
		Memory:          engineMemory,
		Accelerators:    modelsPerEngine,
	})
}

// cachedCheckpoints returns the checkpoints that an engine has at the start: about
// a fifth of the service's models on disk, and a twentieth in memory. The selection
// differs between engines.
func cachedCheckpoints(service Service, engine int) []rpcore.CachedCheckpoint {
	var cached []rpcore.CachedCheckpoint
	for m := range service.Models {
		place := rpcore.PlaceDisk
		switch (m*7 + engine*3) % 20 {
		case 0:
			place = rpcore.PlaceMemory
		case 1, 2, 3, 4:
		default:
			continue
		}
		cached = append(cached, rpcore.CachedCheckpoint{Checkpoint: checkpointName(service.Name, modelName(m)), Place: place})
	}
	return cached
}

func (c *cluster) startPlainService(ctx context.Context, service Service, i, host int) error {
	domain := i % len(c.deployment.Domains)
	id := rpcore.EndpointID(fmt.Sprintf("%s-plain-%02d", service.Name, i))
	standin := rpstandin.NewService(rpstandin.ServiceConfig{Delay: 50 * time.Millisecond})
	address := c.address(domain+1, host, standinPort)
	if err := c.serveHTTP(ctx, address, standin); err != nil {
		return err
	}
	c.services = append(c.services, &plainService{standin, id})
	return c.register(ctx, rpcore.Member{
		ID:            string(id),
		Kind:          rpcore.MemberService,
		Service:       service.Name,
		FailureDomain: c.deployment.Domains[domain],
		Incarnation:   "1",
		Address:       address,
	})
}

// register adds a member to the instance list, as the platform does for real
// endpoints.
func (c *cluster) register(ctx context.Context, member rpcore.Member) error {
	body, err := json.Marshal(member)
	if err != nil {
		return trace.Wrap(err)
	}
	url := "http://" + c.platformAddress(3).String() + "/v1/members/" + member.ID
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err, "registering %s", member.ID)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return trace.Errorf("the instance list answered %s for %s", response.Status, member.ID)
	}
	return nil
}

func (c *cluster) startInstances(ctx context.Context) error {
	authority, err := rppeer.NewAuthority(certificateValidity)
	if err != nil {
		return trace.Wrap(err)
	}
	for d, domain := range c.deployment.Domains {
		for i := range instancesPerDomain {
			name := fmt.Sprintf("entry-%d%c", d+1, 'a'+i)
			settings, err := c.instanceSettings(authority, name, domain, d+1, i+1)
			if err != nil {
				return err
			}
			if err := c.startInstance(ctx, settings); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) instanceSettings(authority *rppeer.Authority, name string, domain rpcore.FailureDomain, d, host int) (*rpsettings.Settings, error) {
	issued, err := authority.Issue(rpcore.InstanceID(name), certificateValidity)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	credentials, err := rppeer.ParseCredentials(authority.PEM(), issued.Certificate, issued.Key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	settings := &rpsettings.Settings{
		Instance: rpsettings.Instance{Name: name, FailureDomain: string(domain)},
		Listen: rpsettings.Listen{
			Callers:   rpsettings.Address{AddrPort: c.address(d, host, callersPort)},
			Operators: rpsettings.Address{AddrPort: c.address(d, host, operatorsPort)},
			Peers:     rpsettings.Address{AddrPort: c.address(d, host, peersPort)},
		},
		Platform: rpsettings.Platform{
			TableEndpoint:  httpURL(c.platformAddress(1)),
			TableName:      "rattanpaddle",
			ObjectEndpoint: httpURL(c.platformAddress(2)),
			Bucket:         "rattanpaddle",
			AccessKey:      rpsettings.NewSecret("demo"),
			SecretKey:      rpsettings.NewSecret("demo"),
			ListEndpoint:   httpURL(c.platformAddress(3)),
			ListInterval:   rpsettings.Duration(500 * time.Millisecond),
		},
		TLS:       rpsettings.TLS{Pool: credentials.Authority, Pair: credentials.Certificate},
		Operators: rpsettings.Operators{BootstrapEditors: []string{credentialHash()}},
		Limits: rpsettings.Limits{
			WeightLoads:          c.deployment.LoadsAtOnce,
			WeightLoadsPerSecond: c.deployment.LoadsPerSecond,
		},
		Drain: rpsettings.Drain{
			Grace:   rpsettings.Duration(200 * time.Millisecond),
			Timeout: rpsettings.Duration(15 * time.Second),
		},
	}
	return settings, nil
}

func httpURL(address netip.AddrPort) rpsettings.URL {
	var u rpsettings.URL
	u.Scheme = "http"
	u.Host = address.String()
	return u
}

func credentialHash() string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// startInstance starts an instance and returns when it listens.
func (c *cluster) startInstance(ctx context.Context, settings *rpsettings.Settings) error {
	ctx, stop := context.WithCancel(ctx)
	i := &instance{
		name:      settings.Instance.Name,
		callers:   settings.Listen.Callers.AddrPort,
		operators: settings.Listen.Operators.AddrPort,
		stop:      stop,
		done:      make(chan struct{}),
	}
	listening := make(chan struct{})
	serve := rpserve.Instance{Settings: settings, Log: c.log, Started: func() { close(listening) }}
	c.wg.Go(func() {
		defer close(i.done)
		i.err = serve.Run(ctx)
	})
	select {
	case <-listening:
		c.instances = append(c.instances, i)
		return nil
	case <-i.done:
		stop()
		return trace.Wrap(i.err, "starting %s", i.name)
	}
}

// stopInstances performs a planned stop of all instances and waits for them.
func (c *cluster) stopInstances() {
	for _, i := range c.instances {
		i.stop()
	}
	for _, i := range c.instances {
		<-i.done
	}
}
