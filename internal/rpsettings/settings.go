package rpsettings

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Duration is a duration. In TOML it is a string such as "250ms".
type Duration = rpdocument.Duration

// Settings are the settings of one instance.
type Settings struct {
	Instance  Instance  `toml:"instance"`
	Listen    Listen    `toml:"listen"`
	Advertise Advertise `toml:"advertise"`
	Platform  Platform  `toml:"platform"`
	TLS       TLS       `toml:"tls"`
	Operators Operators `toml:"operators"`
	Limits    Limits    `toml:"limits"`
	Drain     Drain     `toml:"drain"`
	Policy    Policy    `toml:"policy"`
	Log       Log       `toml:"log"`
}

// Instance identifies the instance.
type Instance struct {
	Name          string `toml:"name"`
	FailureDomain string `toml:"failure_domain"`
}

// Listen holds the addresses that the instance listens on.
type Listen struct {
	Callers   Address `toml:"callers"`
	Operators Address `toml:"operators"`
	Peers     Address `toml:"peers"`
}

// Advertise holds the addresses under which others reach the instance. An
// address that is not set is the same as in Listen.
type Advertise struct {
	Peers     Address `toml:"peers"`
	Operators Address `toml:"operators"`
}

// Platform holds the addresses of the platform's services and the credentials
// for them.
type Platform struct {
	TableEndpoint  URL    `toml:"table_endpoint"`
	TableName      string `toml:"table_name"`
	ObjectEndpoint URL    `toml:"object_endpoint"`
	Bucket         string `toml:"bucket"`
	Region         string `toml:"region"`
	AccessKey      Secret `toml:"access_key"`
	SecretKey      Secret `toml:"secret_key"`
	// AccessKeyFile and SecretKeyFile are files that contain the keys. If they
	// are set, Load reads AccessKey and SecretKey from them.
	AccessKeyFile string   `toml:"access_key_file"`
	SecretKeyFile string   `toml:"secret_key_file"`
	ListEndpoint  URL      `toml:"list_endpoint"`
	ListInterval  Duration `toml:"list_interval"`
}

// TLS names the files for mutual TLS between instances.
type TLS struct {
	CA          string `toml:"ca"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Pool and Pair are the contents of the files, which Load reads.
	Pool *x509.CertPool  `toml:"-"`
	Pair tls.Certificate `toml:"-"`
}

// Operators states who may create documents.
type Operators struct {
	// BootstrapEditors contains the SHA-256 sums (hex) of the credentials that
	// may accept the first document of a service.
	BootstrapEditors []string `toml:"bootstrap_editors"`
}

// Limits bounds the work of the instance. The first group of fields configures
// the reducer, the second the HTTP interface for callers.
type Limits struct {
	WeightLoads          int      `toml:"weight_loads"`
	WeightLoadsPerSecond float64  `toml:"weight_loads_per_second"`
	AdapterLoads         int      `toml:"adapter_loads"`
	EngineConcurrency    int      `toml:"engine_concurrency"`
	RequestsInProgress   int      `toml:"requests_in_progress"`
	ColdStartEstimate    Duration `toml:"cold_start_estimate"`
	// ListLag is the maximum time by which a reading of the instance list may be
	// out of date.
	ListLag Duration `toml:"list_lag"`

	// RequestBodyBytes and RequestHeaderBytes are the maximum sizes of the body
	// and of the headers of one request.
	RequestBodyBytes   int `toml:"request_body_bytes"`
	RequestHeaderBytes int `toml:"request_header_bytes"`
	// HeaderTimeout is the time in which a caller has to send the headers of a
	// request, and BodyTimeout the time for the body. IdleTimeout is the time
	// after which a connection without requests is closed.
	HeaderTimeout Duration `toml:"header_timeout"`
	BodyTimeout   Duration `toml:"body_timeout"`
	IdleTimeout   Duration `toml:"idle_timeout"`
}

// Drain bounds a planned stop.
type Drain struct {
	// Grace is the time that the balancer needs to notice that /readyz fails.
	Grace Duration `toml:"grace"`
	// Timeout is the maximum duration of the whole stop.
	Timeout Duration `toml:"timeout"`
}

// Policy replaces parts of the normal policy with simple baselines, for
// comparative measurements. The zero value selects the normal policy.
type Policy struct {
	FixedKeepAlive  Duration `toml:"fixed_keep_alive"`
	FirstInFirstOut bool     `toml:"first_in_first_out"`
	RandomRouting   bool     `toml:"random_routing"`
	LoadPerInstance bool     `toml:"load_per_instance"`
}

// Log holds the settings of the log.
type Log struct {
	Format LogFormat `toml:"format"`
	// Levels has the same syntax as the flag --log, such as
	// "info,replicas=debug".
	Levels LogLevels `toml:"levels"`
}

// CoreLimits returns the limits in the form that the reducer takes.
func (s *Settings) CoreLimits() rpcore.Limits {
	return rpcore.Limits{
		WeightLoads:          s.Limits.WeightLoads,
		WeightLoadsPerSecond: s.Limits.WeightLoadsPerSecond,
		AdapterLoads:         s.Limits.AdapterLoads,
		EngineConcurrency:    s.Limits.EngineConcurrency,
		RequestsInProgress:   s.Limits.RequestsInProgress,
		DrainTimeout:         time.Duration(s.Drain.Timeout),
		ColdStartEstimate:    time.Duration(s.Limits.ColdStartEstimate),
		ListLag:              time.Duration(s.Limits.ListLag),
	}
}

// CorePolicy returns the policy in the form that the reducer takes.
func (s *Settings) CorePolicy() rpcore.Policy {
	return rpcore.Policy{
		FixedKeepAlive:  time.Duration(s.Policy.FixedKeepAlive),
		FirstInFirstOut: s.Policy.FirstInFirstOut,
		RandomRouting:   s.Policy.RandomRouting,
		LoadPerInstance: s.Policy.LoadPerInstance,
	}
}

// LogLevels returns the levels of the log.
func (s *Settings) LogLevels() rplog.Levels { return s.Log.Levels.Levels }

// PeersAddress returns the address that other instances connect to.
func (s *Settings) PeersAddress() netip.AddrPort {
	if s.Advertise.Peers.IsValid() {
		return s.Advertise.Peers.AddrPort
	}
	return s.Listen.Peers.AddrPort
}

// OperatorsAddress returns the address that the operators' client connects to.
// It is invalid if the instance listens on all addresses and
// advertise.operators is not set. The client then reaches the instance only if
// an operator gives its address.
func (s *Settings) OperatorsAddress() netip.AddrPort {
	address := s.Listen.Operators.AddrPort
	if s.Advertise.Operators.IsValid() {
		address = s.Advertise.Operators.AddrPort
	}
	if address.Addr().IsUnspecified() {
		return netip.AddrPort{}
	}
	return address
}
