package rpcore

import (
	"fmt"
	"strings"
	"time"
)

type (
	// InstanceID names an instance of the system.
	InstanceID string
	// EndpointID names a model engine or a plain service.
	EndpointID string
	// FailureDomain names a failure domain.
	FailureDomain string
	// Incarnation names one lifetime of an instance or endpoint.
	Incarnation string
	// RequestID names one request of a caller.
	RequestID string
	// AttemptID names one try to run a request at an endpoint. Answers are
	// matched by it, so a late answer never reaches another request.
	AttemptID string
	// OrderID names one order to an engine.
	OrderID string
	// OpID names one operation on the table; it is unique within a State.
	OpID uint64
	// Nonce marks the writer of a row or of an entry in a row, so that a
	// retry finds its own earlier effect.
	Nonce string
)

// ModelKey names a model or an adapter of a service.
type ModelKey struct {
	Service string `cbor:"service" json:"service"`
	Name    string `cbor:"name" json:"name"`
}

// String returns service/name, the form that callers use.
func (k ModelKey) String() string { return k.Service + "/" + k.Name }

// Compare orders keys by service, then by name.
func (k ModelKey) Compare(other ModelKey) int {
	if c := strings.Compare(k.Service, other.Service); c != 0 {
		return c
	}
	return strings.Compare(k.Name, other.Name)
}

// ParseModelKey splits service/name.
func ParseModelKey(s string) (ModelKey, error) {
	service, name, ok := strings.Cut(s, "/")
	if !ok || service == "" || name == "" || strings.Contains(name, "/") {
		return ModelKey{}, InvalidModelKeyError{Text: s}
	}
	return ModelKey{Service: service, Name: name}, nil
}

// InvalidModelKeyError reports a model name that is not service/name.
type InvalidModelKeyError struct {
	Text string
}

func (e InvalidModelKeyError) Error() string {
	return fmt.Sprintf("%q is not a model name: write service/model or service/adapter", e.Text)
}

// Identity is what an instance knows about itself from its settings.
type Identity struct {
	Instance      InstanceID    `cbor:"instance" json:"instance"`
	Incarnation   Incarnation   `cbor:"incarnation" json:"incarnation"`
	FailureDomain FailureDomain `cbor:"failure_domain" json:"failure_domain"`
}

// Limits bounds the work of one instance and the timing of its protocols. A
// zero field stands for its default.
type Limits struct {
	// WeightLoads is the number of loads from the weight store at once.
	WeightLoads int
	// WeightLoadsPerSecond bounds the starts of loads from the weight store.
	WeightLoadsPerSecond float64
	// AdapterLoads is the number of adapter loads in flight.
	AdapterLoads int
	// EngineConcurrency is the number of requests that an engine runs at
	// once before it queues them itself.
	EngineConcurrency int
	// RequestsInProgress bounds the requests that this instance holds.
	RequestsInProgress int
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration
	// ListLag is the longest lag of a reading of the instance list. A shorter
	// one proves sooner that a failed instance is gone; one that is shorter
	// than the platform's real lag is unsafe.
	ListLag time.Duration
	// ColdStartEstimate is the assumed load time before one was measured.
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

// Policy selects between the policy of the system and the baselines that it
// is measured against. The zero value is the policy of the system.
type Policy struct {
	// FixedKeepAlive unloads a replica after this idle time in place of the
	// cost rule; 0 selects the cost rule.
	FixedKeepAlive time.Duration
	// FirstInFirstOut admits and dispatches without ranks and floors.
	FirstInFirstOut bool
	// RandomRouting picks a replica at random.
	RandomRouting bool
	// LoadPerInstance lets each instance load for itself, without a home and
	// without load tickets.
	LoadPerInstance bool
}
