package rpcore

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// evaluate decides whether a model needs another replica and starts its
// reservation. It runs at the home, or at an instance whose home is lost.
func (s *State) evaluate(m *modelState) {
	if refused := s.impossibleNow(m); refused != nil {
		if m.demanding {
			s.replicas.seams.impossible(s, m.key, *refused)
		}
		return
	}
	spec, ok := s.replicaSpec(m.key)
	if !ok || s.draining || m.reservation != nil || s.now.Before(m.nextTry) || s.now.Before(m.retryAt) {
		return
	}
	need := s.sumDemand(m.key)
	if spec.adapter() && len(s.serving(spec.baseKey())) == 0 {
		if need.waiting > 0 {
			s.demandReplica(spec.baseKey())
		}
		return
	}
	if s.hoursEnd(spec) {
		return
	}
	replicas, pending := s.prospects(spec)
	want := s.wantReplicas(m, spec, need, replicas, pending)
	if replicas < want {
		s.reserve(m, spec, need, want)
		return
	}
	if need.waiting > 0 && len(s.serving(m.key)) == 0 && s.rowOutdated(spec) {
		// The slots as known don't serve, so they may be gone by now.
		s.reserve(m, spec, need, want)
	}
}

// rowOutdated reports whether the slots of a model should be read again while
// requests wait for one of them.
func (s *State) rowOutdated(spec replicaSpec) bool {
	known := s.replicas.rows[modelRowKey(spec.key)]
	return known == nil || s.now.Sub(known.readAt) > demandLife
}

// prospects counts the replicas that serve or are to serve soon, and how many
// of them do not serve yet.
func (s *State) prospects(spec replicaSpec) (replicas, pending int) {
	served := 0
	for _, e := range s.serving(spec.key) {
		if e.loaded[spec.key].Version == spec.version {
			served++
		}
	}
	if spec.adapter() {
		return served + s.ownPending(spec.key), s.ownPending(spec.key)
	}
	slots, _ := s.knownSlots(modelRowKey(spec.key))
	replicas = max(served, s.hopefulSlots(spec, slots))
	return replicas, replicas - served
}

func (s *State) ownPending(key ModelKey) int {
	n := 0
	for _, load := range s.replicas.loads {
		if load.slot.Model == key && (load.phase == loadReserved || load.phase == loadOrdered) {
			n++
		}
	}
	return n
}

// wantReplicas returns the number of replicas to have. One more than there
// are is justified when each has more waiting requests than an engine runs at
// once and the oldest has waited for half a load; each load under way asks for
// as much waiting again, so a burst starts one load.
func (s *State) wantReplicas(m *modelState, spec replicaSpec, need demandSum, replicas, pending int) int {
	want := max(spec.warm, m.restore)
	if need.waiting > 0 {
		want = max(want, 1)
	}
	patience := s.loadTime(spec.key, PlaceRemote) / 2 * time.Duration(pending+1)
	if replicas > 0 && need.waiting > s.limits.EngineConcurrency*replicas && need.oldest >= patience {
		want = max(want, replicas+1)
	}
	if m.restore > 0 {
		// A rollout loads one replica at a time.
		want = min(want, replicas+1-min(pending, 1))
	}
	return min(want, spec.max)
}

// impossibleNow returns the refusal where no replica of a model can come now,
// or nil.
func (s *State) impossibleNow(m *modelState) *rpverdict.Refusal {
	if reason := s.missingNow(m); reason != "" {
		refused := rpverdict.Refuse(rpverdict.CodeNoReplica, reason)
		refused.RetryAfter = retryAfterDefault
		return &refused
	}
	if spec, ok := s.replicaSpec(m.key); ok && len(s.serving(m.key)) == 0 && s.hoursLack(spec) {
		refused := s.refuseForHours(m.key.Service)
		return &refused
	}
	return nil
}

// missingNow returns what a replica of a model lacks now, or "".
func (s *State) missingNow(m *modelState) string {
	spec, ok := s.replicaSpec(m.key)
	if !ok {
		if s.replicas.seams.document(s, m.key.Service) == nil {
			return ""
		}
		return fmt.Sprintf("the document of service %s declares no %s", m.key.Service, m.key.Name)
	}
	if len(s.serving(m.key)) > 0 {
		return ""
	}
	if reason := s.impossible(spec); reason != "" {
		return reason
	}
	if s.enginesMissing(m, spec) {
		return fmt.Sprintf("no engine of service %s is listed", m.key.Service)
	}
	if s.tableMissing(m) {
		if _, ok := s.expectedSlotWait(spec); !ok {
			return "the platform's table is unavailable, so no load can be started"
		}
	}
	return ""
}

// impossible returns what in the document and in the size of the engines
// excludes a replica.
func (s *State) impossible(spec replicaSpec) string {
	if spec.adapter() {
		base, ok := s.replicaSpec(spec.baseKey())
		if !ok || base.adapter() {
			return fmt.Sprintf("the base model %s of the adapter is not declared", spec.base)
		}
		return s.impossible(base)
	}
	if spec.max == 0 {
		return "the document allows no replica of the model"
	}
	doc := s.replicas.seams.document(s, spec.key.Service)
	if doc != nil && doc.Spend.Accelerators > 0 && spec.accelerators > doc.Spend.Accelerators {
		return "one replica needs more accelerators than the service may use"
	}
	engines := s.serviceEngines(spec.key.Service)
	for _, e := range engines {
		if memory := engineMemory(e); memory == 0 || memory >= spec.memory {
			return ""
		}
	}
	if len(engines) > 0 {
		return fmt.Sprintf("no engine has the memory for a replica (%s)", spec.memory)
	}
	return ""
}

func (s *State) enginesMissing(m *modelState, spec replicaSpec) bool {
	return m.demanding && s.now.Sub(m.demandedAt) > enginesMissingLimit &&
		len(s.serviceEngines(spec.key.Service)) == 0
}

// tableMissing reports whether the table has not answered for longer than
// tableDownLimit. Conflicts are answers. A failure longer ago does not count,
// so that the table is tried again.
func (s *State) tableMissing(m *modelState) bool {
	down, failed := s.replicas.tableDown, s.replicas.tableFailedAt
	if !down.IsZero() && s.now.Sub(down) > tableDownLimit && s.now.Sub(failed) < tableDownLimit {
		return true
	}
	return m.reservation != nil && s.now.Sub(m.reservation.change.since) > tableDownLimit
}
