package rpcore

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Status is the status report of one instance about itself and the system.
type Status struct {
	Identity
	At       time.Time      `json:"at"`
	Ready    bool           `json:"ready"`
	Draining bool           `json:"draining"`
	Waiting  map[string]int `json:"waiting_requests"`
	Running  int            `json:"requests_in_progress"`
	// Refusals counts the refusals since the instance started, by code.
	Refusals  map[rpverdict.Code]uint64 `json:"refusals"`
	Instances []InstanceStatus          `json:"instances"`
	Endpoints []EndpointStatus          `json:"endpoints"`
	Models    []ModelStatus             `json:"models"`
	Spend     []SpendStatus             `json:"spend"`
	Documents []DocumentInForce         `json:"documents"`
	Missing   []DocumentVersion         `json:"missing_documents"`
}

// InstanceStatus is the state of an instance as the reporting instance knows
// it.
type InstanceStatus struct {
	ID            InstanceID    `json:"id"`
	FailureDomain FailureDomain `json:"failure_domain"`
	Live          bool          `json:"live"`
	Leaving       bool          `json:"leaving"`
	// Operators is the instance's address for operators. It is not valid if the
	// reporting instance does not know it.
	Operators netip.AddrPort `json:"operators,omitzero"`
}

// Merge combines the reports of two instances about the same instance.
func (s InstanceStatus) Merge(other InstanceStatus) InstanceStatus {
	s.Live, s.Leaving = s.Live || other.Live, s.Leaving || other.Leaving
	if !s.Operators.IsValid() {
		s.Operators = other.Operators
	}
	return s
}

// EndpointStatus is the state of an endpoint as the reporting instance knows
// it.
type EndpointStatus struct {
	ID            EndpointID       `json:"id"`
	Kind          MemberKind       `json:"kind"`
	Service       string           `json:"service"`
	FailureDomain FailureDomain    `json:"failure_domain"`
	Leaving       bool             `json:"leaving"`
	InFlight      int              `json:"requests_in_flight"`
	Memory        rpdocument.Bytes `json:"memory"`
	MemoryLoaded  rpdocument.Bytes `json:"memory_loaded"`
	Loaded        []ModelKey       `json:"loaded"`
	// Silent is set if the engine has stopped reporting. It gets new work only
	// if no other engine can take it.
	Silent bool `json:"silent"`
	// ReportAge is the age of the last report, in nanoseconds. It is negative
	// if there was no report.
	ReportAge time.Duration `json:"report_age_ns"`
}

// ModelStatus compares the loaded replicas of a model with the settings in the
// document.
type ModelStatus struct {
	Model        ModelKey `json:"model"`
	WarmReplicas int      `json:"warm_replicas"`
	MaxReplicas  int      `json:"max_replicas"`
	Loaded       int      `json:"loaded_replicas"`
	Waiting      int      `json:"waiting_requests"`
}

// DocumentInForce is a document that is in force at the reporting instance.
type DocumentInForce struct {
	DocumentRow
	// Since is the time at which it came into force at this instance.
	Since    time.Time            `json:"since"`
	Body     []byte               `json:"-"`
	Document *rpdocument.Document `json:"-"`
}

// DocumentInForce returns the document in force for a service. The caller must
// not modify the body and the document.
func (s *State) DocumentInForce(service string) (DocumentInForce, bool) {
	active := s.documents.inForce[service]
	if active == nil {
		return DocumentInForce{}, false
	}
	return DocumentInForce{active.row, active.since, active.body, active.document}, true
}

// Documents returns all documents in force, ordered by service.
func (s *State) Documents() []DocumentInForce {
	documents := make([]DocumentInForce, 0, len(s.documents.serviceNames))
	for _, service := range s.documents.serviceNames {
		document, _ := s.DocumentInForce(service)
		documents = append(documents, document)
	}
	return documents
}

// Waiting returns the number of queued requests by rank.
func (s *State) Waiting() [rpdocument.RankCount]int { return s.waitingByRank() }

// RequestsInProgress returns the number of requests that have not ended, queued
// ones included.
func (s *State) RequestsInProgress() int { return len(s.requests.byID) }

// Status returns the status report of this instance.
func (s *State) Status() Status {
	status := Status{
		Identity:  s.self,
		At:        s.now,
		Ready:     s.requests.ready,
		Draining:  s.draining,
		Waiting:   make(map[string]int, rpdocument.RankCount),
		Running:   len(s.requests.byID),
		Refusals:  maps.Clone(s.requests.refusals),
		Instances: s.instanceStatus(),
		Endpoints: s.endpointStatus(),
		Models:    s.modelStatus(),
		Spend:     s.spendStatus(),
		Documents: s.Documents(),
		Missing:   s.missingDocuments(),
	}
	for i, waiting := range s.waitingByRank() {
		status.Waiting[rpdocument.Ranks[i].String()] = waiting
	}
	return status
}

func (s *State) instanceStatus() []InstanceStatus {
	status := []InstanceStatus{{ID: s.self.Instance, FailureDomain: s.self.FailureDomain, Live: true, Leaving: s.draining, Operators: s.operatorsAddress}}
	for _, id := range s.allPeerIDs() {
		p := s.members.peers[id]
		status = append(status, InstanceStatus{
			ID:            id,
			FailureDomain: p.FailureDomain,
			Live:          slices.Contains(s.members.live, id),
			Leaving:       p.leaving,
			Operators:     p.operatorsAddress,
		})
	}
	return status
}

func (s *State) endpointStatus() []EndpointStatus {
	status := make([]EndpointStatus, 0, len(s.members.endpoints))
	for _, id := range endpointIDs(s.members.endpoints) {
		status = append(status, s.members.endpoints[id].status(s.now))
	}
	return status
}

func (e *endpoint) status(now time.Time) EndpointStatus {
	status := EndpointStatus{
		ID:            e.id,
		Kind:          e.Kind,
		Service:       e.Service,
		FailureDomain: e.FailureDomain,
		Leaving:       e.leaving,
		Silent:        e.isSilent(now),
		InFlight:      e.inFlight,
		Memory:        max(e.Memory, e.report.Memory),
		ReportAge:     -1,
	}
	if !e.reportedAt.IsZero() {
		status.ReportAge = now.Sub(e.reportedAt)
	}
	for key, entry := range e.loaded {
		status.Loaded = append(status.Loaded, key)
		status.MemoryLoaded += entry.Memory
	}
	slices.SortFunc(status.Loaded, ModelKey.Compare)
	return status
}

func (s *State) modelStatus() []ModelStatus {
	var status []ModelStatus
	for _, service := range s.documents.serviceNames {
		for i := range s.document(service).Models {
			model := &s.document(service).Models[i]
			key := ModelKey{Service: service, Name: model.Name}
			status = append(status, ModelStatus{
				Model:        key,
				WarmReplicas: model.WarmReplicas,
				MaxReplicas:  model.MaxReplicas,
				Loaded:       len(s.servingEndpoints(key)),
				Waiting:      s.currentModelUse(key).Waiting,
			})
		}
	}
	return status
}

func (s *State) missingDocuments() []DocumentVersion {
	var missing []DocumentVersion
	for service, document := range s.documents.missing {
		missing = append(missing, DocumentVersion{service, document.row.Version})
	}
	slices.SortFunc(missing, func(a, b DocumentVersion) int {
		return ModelKey{Service: a.Service}.Compare(ModelKey{Service: b.Service})
	})
	return missing
}
