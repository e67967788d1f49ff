package rpfleet

import (
	"crypto/sha256"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// RouteKind says how often a request of a route may run and whether its response
// is a stream.
type RouteKind string

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = "idempotent"
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent RouteKind = "non_idempotent"
	// KindStream requests get a stream of events as their response. They run at
	// most once unless the route is resumable.
	KindStream RouteKind = "stream"
)

// WeightedService is a service that a route sends requests to, with its share
// of them.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route assigns requests to services and states what their callers expect.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams may continue at another endpoint after the last event
	// that the caller has.
	Resumable bool
	// Rank is 0 for the most urgent requests. The rank of the caller's account takes
	// precedence.
	Rank int
	// Anonymous routes also serve callers without a key of an account.
	Anonymous bool
	// Timeout bounds the time until the response is complete.
	Timeout time.Duration
	// Target is the operator's target for the time to the response, or to the
	// first event of a stream.
	Target time.Duration
	// EventGap is the operator's target for the longest pause between two
	// events of a stream.
	EventGap time.Duration
	// MaxEndpoints bounds the number of endpoints that may run one request.
	MaxEndpoints int
	Services     []WeightedService
}

// Repeatable reports whether a request of the route may run again after an
// attempt whose outcome is not known.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// service chooses the service of a request by the weights of the route. The
// choice depends only on the request id, so it is the same for all attempts.
func (r *Route) service(id rpcore.RequestID) string {
	total := 0.0
	for _, target := range r.Services {
		total += target.Weight
	}
	point := float64(xxhash.Sum64String(string(id))) / math.MaxUint64 * total
	for _, target := range r.Services {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// ModelSpec describes a model that a service offers.
type ModelSpec struct {
	Memory        rpdocument.Bytes
	AdapterMemory rpdocument.Bytes
	Adapters      int
	// LoadTimes are the load times by the place of the checkpoint.
	LoadTimes map[rpcore.CheckpointPlace]time.Duration
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// Memory is the accelerator memory for the weights of models and adapters.
	Memory       rpdocument.Bytes
	AdapterSlots int
	// WeightLoadsPerSecond bounds the loads from the weight store of all
	// engines together. Zero is no bound.
	WeightLoadsPerSecond float64
	Models               map[string]ModelSpec
}

// Service is a set of endpoints that serve the same requests. Engine is nil for
// a plain service, whose endpoints are not engines.
type Service struct {
	Name   string
	Engine *EngineSpec
}

// CallerLimits bounds what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It must not change
// after it was given to a State, which only raises its Revision.
type Config struct {
	Version uint64
	// Revision is the store's revision of the row, and Sum the SHA-256 sum of its value.
	Revision Revision
	Sum      [sha256.Size]byte
	Routes   []Route
	Services map[string]*Service
	Limits   CallerLimits
	// Accounts holds the client accounts; nil if the configuration has none. Then
	// callers are not identified.
	Accounts *rpaccount.Directory

	byHost map[string][]*Route
}

// Index prepares the lookup of routes. Call it once, before the first call of
// Route.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route, len(c.Routes))
	for i := range c.Routes {
		route := &c.Routes[i]
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
	}
}

// Route returns the route of the host with the longest matching prefix, or nil.
func (c *Config) Route(host, path string) *Route {
	var best *Route
	for _, route := range c.byHost[strings.ToLower(hostName(host))] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// hostName removes the port of a Host header.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
