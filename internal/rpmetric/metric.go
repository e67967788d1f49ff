// Package rpmetric provides the Prometheus metrics of an instance. All metrics
// are defined in one table, from which docs/metrics.md is generated.
//
// # Usage
//
//	metrics := rpmetric.New()
//	metrics.RequestEnded(rpdocument.RankUrgent, rpmetric.CodeOK)
//	router.Handle("/metrics", metrics.Handler())
//
// Labels have fixed sets of values and never contain the names of models,
// services, endpoints or callers, so the number of time series is limited. The
// zero value of Metrics records nothing.
package rpmetric

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	registry   *prometheus.Registry
	counters   map[string]*prometheus.CounterVec
	gauges     map[string]*prometheus.GaugeVec
	histograms map[string]*prometheus.HistogramVec
	labels     map[string][]label
}

// New returns metrics that are registered in a new registry, together with the
// metrics of the Go runtime and of the process.
func New() *Metrics {
	m := &Metrics{
		registry:   prometheus.NewRegistry(),
		counters:   map[string]*prometheus.CounterVec{},
		gauges:     map[string]*prometheus.GaugeVec{},
		histograms: map[string]*prometheus.HistogramVec{},
		labels:     map[string][]label{},
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, row := range table {
		m.register(row)
	}
	return m
}

func (m *Metrics) register(row metric) {
	labels := make([]string, len(row.labels))
	for i := range row.labels {
		labels[i] = row.labels[i].name
	}
	m.labels[row.name] = row.labels
	opts := prometheus.Opts{Name: row.name, Help: row.help}
	switch row.kind {
	case kindCounter:
		m.counters[row.name] = prometheus.NewCounterVec(prometheus.CounterOpts(opts), labels)
		m.registry.MustRegister(m.counters[row.name])
	case kindGauge:
		m.gauges[row.name] = prometheus.NewGaugeVec(prometheus.GaugeOpts(opts), labels)
		m.registry.MustRegister(m.gauges[row.name])
	case kindHistogram:
		m.histograms[row.name] = prometheus.NewHistogramVec(
			prometheus.HistogramOpts{Name: row.name, Help: row.help, Buckets: row.buckets}, labels)
		m.registry.MustRegister(m.histograms[row.name])
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	if m.registry == nil {
		return http.NotFoundHandler()
	}
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// replaceUnlistedValues replaces each value that its label does not list with
// otherValue.
func (m *Metrics) replaceUnlistedValues(name string, values []string) []string {
	for i, label := range m.labels[name] {
		if !slices.Contains(label.values, values[i]) {
			values[i] = otherValue
		}
	}
	return values
}

func (m *Metrics) add(name string, n float64, values ...string) {
	if vec := m.counters[name]; vec != nil {
		vec.WithLabelValues(m.replaceUnlistedValues(name, values)...).Add(n)
	}
}

func (m *Metrics) set(name string, n float64, values ...string) {
	if vec := m.gauges[name]; vec != nil {
		vec.WithLabelValues(m.replaceUnlistedValues(name, values)...).Set(n)
	}
}

func (m *Metrics) observe(name string, d time.Duration, values ...string) {
	m.observeNumber(name, d.Seconds(), values...)
}

func (m *Metrics) observeNumber(name string, n float64, values ...string) {
	if vec := m.histograms[name]; vec != nil {
		vec.WithLabelValues(m.replaceUnlistedValues(name, values)...).Observe(n)
	}
}

// ReadDone is the outcome of a table read that was answered.
const ReadDone = "done"

// RequestEnded counts a request that ended. The code is CodeOK, CodeAbandoned
// or the code of the refusal.
func (m *Metrics) RequestEnded(rank rpdocument.Rank, code string) {
	m.add(nameRequests, 1, rank.String(), code)
}

// FirstToken records the time from the arrival of a request to its first token.
func (m *Metrics) FirstToken(rank rpdocument.Rank, d time.Duration) {
	m.observe(nameFirstToken, d, rank.String())
}

// AttemptEnded counts an attempt that ended.
func (m *Metrics) AttemptEnded(reason rpcore.AttemptReason) {
	m.add(nameAttempts, 1, string(reason))
}

// StoreCall counts a call of the gateway to the platform's store.
func (m *Metrics) StoreCall(call, table, outcome string) {
	m.add(nameStoreCalls, 1, call, table, outcome)
}

// SetStoreEra sets the era of the platform's store.
func (m *Metrics) SetStoreEra(era uint64) { m.set(nameStoreEra, float64(era)) }

// EndpointConnection counts a request of the gateway that got a connection to an
// endpoint.
func (m *Metrics) EndpointConnection(connection string) {
	m.add(nameConnections, 1, connection)
}

// SetQueuedRequests sets the number of requests of a rank that wait for an
// endpoint.
func (m *Metrics) SetQueuedRequests(rank rpdocument.Rank, waiting int) {
	m.set(nameQueue, float64(waiting), rank.String())
}

// SetRequestsInProgress sets the number of requests that the instance holds.
func (m *Metrics) SetRequestsInProgress(n int) { m.set(nameInProgress, float64(n)) }

// LoadEnded counts a load order that ended. If it was carried out, LoadEnded
// also records its duration d.
func (m *Metrics) LoadEnded(place rpcore.CheckpointPlace, result rpcore.OrderResult, d time.Duration) {
	m.add(nameLoads, 1, string(place), string(result))
	if result == rpcore.OrderDone {
		m.observe(nameLoadSeconds, d, string(place))
	}
}

// TableRead counts a read of the table and records its duration d.
func (m *Metrics) TableRead(unavailable bool, d time.Duration) {
	outcome := ReadDone
	if unavailable {
		outcome = string(rpcore.WriteUnavailable)
	}
	m.add(nameTableOps, 1, "read", outcome)
	m.observe(nameTableSeconds, d, "read")
}

// TableWrite counts a transaction of the table and records its duration d.
func (m *Metrics) TableWrite(outcome rpcore.WriteOutcome, d time.Duration) {
	m.add(nameTableOps, 1, "write", string(outcome))
	m.observe(nameTableSeconds, d, "write")
}

// PeerMessage counts a message between instances. The direction is "sent",
// "received" or "dropped".
func (m *Metrics) PeerMessage(direction string, message rpcore.PeerMessage) {
	m.add(namePeerMessages, 1, direction, peerMessageKind(message))
}

// ReducerEvent counts an event and adds the time that the reducer took for it.
func (m *Metrics) ReducerEvent(d time.Duration) {
	m.add(nameReducerEvents, 1)
	m.add(nameReducerSeconds, d.Seconds())
}

// SubmissionEnded counts a submitted document by its result.
func (m *Metrics) SubmissionEnded(result rpcore.SubmissionResult) {
	m.add(nameSubmissions, 1, string(result))
}

// SetDocumentsInForce sets the number of documents in force.
func (m *Metrics) SetDocumentsInForce(n int) { m.set(nameDocuments, float64(n)) }

// RoutedRequestEnded counts a request on a route of a platform and records its
// duration d. The code is CodeOK, CodeAbandoned or the code of the refusal.
func (m *Metrics) RoutedRequestEnded(code string, d time.Duration) {
	m.add(nameRouted, 1, code)
	m.observe(nameRoutedSeconds, d, code)
}

// RoutedFirstEvent records the time from the arrival of a request on a route of
// a platform to the first event of its stream.
func (m *Metrics) RoutedFirstEvent(rank int, d time.Duration) {
	m.observe(nameRoutedFirst, d, strconv.Itoa(rank))
}

// The labels of FirstEventEstimated.
const (
	PromptShort = "short"
	PromptLong  = "long"
	EngineFree  = "free"
	EngineBusy  = "busy"
)

// FirstEventEstimated records the error of the expected time to the first event of an
// attempt at an engine. An estimate of 0 is ignored.
func (m *Metrics) FirstEventEstimated(prompt, engine string, actual, expected time.Duration) {
	if expected > 0 {
		m.observeNumber(nameEstimateRatio, float64(actual)/float64(expected), prompt, engine)
	}
}

// OrderEnded counts an order to an engine of a platform that ended.
func (m *Metrics) OrderEnded(kind, outcome string) { m.add(nameOrders, 1, kind, outcome) }

// Accounts records the number of client accounts, the time since the configuration was
// last confirmed (negative if it never was), and whether keys are accepted.
func (m *Metrics) Accounts(accounts int, confirmedAge time.Duration, keysAccepted bool) {
	accepted := 0.0
	if keysAccepted {
		accepted = 1
	}
	m.set(nameAccounts, float64(accounts))
	m.set(nameConfigAge, max(-1, confirmedAge.Seconds()))
	m.set(nameKeysAccepted, accepted)
}

// LogDropped counts log lines that were dropped.
func (m *Metrics) LogDropped(lines int) { m.add(nameLogDropped, float64(lines)) }

// CallerMemory sets the memory that is held for requests of callers for a use.
func (m *Metrics) CallerMemory(use string, bytes int64) {
	m.set(nameCallerMemory, float64(bytes), use)
}

// CallerConnections sets the number of open connections of callers in a state.
func (m *Metrics) CallerConnections(state string, n int) {
	m.set(nameCallerConns, float64(n), state)
}

// CallerLimit counts what a limit ended, by its cause.
func (m *Metrics) CallerLimit(cause string, n int64) { m.add(nameCallerLimits, float64(n), cause) }
