package rpcore

import (
	"fmt"
	"strings"
	"time"
)

type (
	// InstanceID identifies an instance of the system.
	InstanceID string
	// EndpointID identifies a model engine or an endpoint of a plain service.
	EndpointID string
	// FailureDomain is the name of a failure domain.
	FailureDomain string
	// Incarnation identifies one lifetime of an instance or endpoint, from its
	// start to its end.
	Incarnation string
	// RequestID identifies a request of a caller.
	RequestID string
	// AttemptID identifies an attempt to run a request at an endpoint. Answers
	// are matched by attempt, so a late answer never reaches another request.
	AttemptID string
	// OrderID identifies an order to an engine.
	OrderID string
	// OpID identifies an operation on the table. It is unique within a State.
	OpID uint64
	// Nonce marks the writer of a row or of an entry in a row, so that a retry
	// recognizes the effect of an earlier try.
	Nonce string
)

// ModelKey identifies a model or an adapter of a service.
type ModelKey struct {
	Service string `cbor:"service" json:"service"`
	Name    string `cbor:"name" json:"name"`
}

// String returns service/name, the form in which callers write it.
func (k ModelKey) String() string { return k.Service + "/" + k.Name }

// Compare orders keys by service, then by name.
func (k ModelKey) Compare(other ModelKey) int {
	if c := strings.Compare(k.Service, other.Service); c != 0 {
		return c
	}
	return strings.Compare(k.Name, other.Name)
}

// ParseModelKey parses the form service/name.
func ParseModelKey(s string) (ModelKey, error) {
	service, name, ok := strings.Cut(s, "/")
	if !ok || service == "" || name == "" || strings.Contains(name, "/") {
		return ModelKey{}, InvalidModelKeyError{Text: s}
	}
	return ModelKey{Service: service, Name: name}, nil
}

// InvalidModelKeyError is returned for a model name that is not of the form
// service/name.
type InvalidModelKeyError struct {
	Text string
}

func (e InvalidModelKeyError) Error() string {
	return fmt.Sprintf("%q is not a model name: write service/model or service/adapter", e.Text)
}

// Identity is the identity of an instance, from its settings.
type Identity struct {
	Instance      InstanceID    `cbor:"instance" json:"instance"`
	Incarnation   Incarnation   `cbor:"incarnation" json:"incarnation"`
	FailureDomain FailureDomain `cbor:"failure_domain" json:"failure_domain"`
}

// Limits bounds the work of one instance and sets the timing of its protocols.
// A zero field selects the default.
type Limits struct {
	// WeightLoads is the highest number of concurrent loads from the weight
	// store.
	WeightLoads int
	// WeightLoadsPerSecond limits the rate at which loads from the weight store
	// start.
	WeightLoadsPerSecond float64
	// AdapterLoads is the highest number of concurrent adapter loads.
	AdapterLoads int
	// EngineConcurrency is the number of requests that an engine runs
	// concurrently. An engine queues further requests itself.
	EngineConcurrency int
	// RequestsInProgress is the highest number of requests that this instance
	// holds, queued ones included.
	RequestsInProgress int
	// DrainTimeout is the longest duration of a planned stop.
	DrainTimeout time.Duration
	// ListLag is the longest time by which a snapshot of the instance list may
	// be behind. With a shorter value, failed instances are detected sooner; a
	// value below the platform's real lag is unsafe.
	ListLag time.Duration
	// ColdStartEstimate is the load time that is assumed before one was
	// measured.
	ColdStartEstimate time.Duration
}

// Defaults of Limits.
const (
	DefaultWeightLoads          = 4
	DefaultWeightLoadsPerSecond = 12.0
	DefaultAdapterLoads         = 30
	DefaultEngineConcurrency    = 16
	DefaultRequestsInProgress   = 20000
	DefaultDrainTimeout         = 60 * time.Second
	DefaultColdStartEstimate    = 3 * time.Second
	DefaultListLag              = 60 * time.Second
)

// Policy replaces parts of the scheduling policy with simple baselines for
// comparison. The zero value selects the normal policy.
type Policy struct {
	// FixedKeepAlive unloads a replica after this idle time. 0 selects the cost
	// rule.
	FixedKeepAlive time.Duration
	// FirstInFirstOut admits and dispatches requests in order of arrival,
	// without ranks and floors.
	FirstInFirstOut bool
	// RandomRouting picks replicas at random.
	RandomRouting bool
	// LoadPerInstance makes each instance load models on its own, without homes
	// and load tickets.
	LoadPerInstance bool
}
