package rpcore

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// evaluateReplicas decides whether a model needs another replica, and starts
// the reservation of one. It runs on the home of the model, or on an instance
// that gets no answer from the home.
func (s *State) evaluateReplicas(m *modelState) {
	if refusal := s.replicaRefusal(m); refusal != nil {
		if m.demandActive {
			s.replicas.deps.replicaRefused(s, m.key, *refusal)
		}
		return
	}
	spec, ok := s.lookupReplicaSpec(m.key)
	if !ok || s.draining || m.reservation != nil || s.now.Before(m.nextReservationAt) || s.now.Before(m.nextLoadAt) {
		return
	}
	demand := s.totalDemand(m.key)
	if spec.isAdapter() && len(s.servingEndpoints(spec.baseKey())) == 0 {
		if demand.waiting > 0 {
			s.demandReplica(spec.baseKey())
		}
		return
	}
	if s.hoursForbidReplicas(spec) {
		return
	}
	replicas, pending := s.countReplicas(spec)
	want := s.desiredReplicas(m, spec, demand, replicas, pending)
	if replicas < want {
		s.startReservation(m, spec, demand, want)
		return
	}
	if demand.waiting > 0 && len(s.servingEndpoints(m.key)) == 0 && s.isModelRowStale(spec) {
		// The cached slots don't serve, so they may be gone by now.
		s.startReservation(m, spec, demand, want)
	}
}

// isModelRowStale reports whether the row of a model should be read again
// because requests wait and none of its slots serves.
func (s *State) isModelRowStale(spec replicaSpec) bool {
	known := s.replicas.rows[modelRowKey(spec.key)]
	return known == nil || s.now.Sub(known.readAt) > demandLifetime
}

// countReplicas counts the replicas that serve or are expected to serve soon.
// pending is the number of those that do not serve yet.
func (s *State) countReplicas(spec replicaSpec) (replicas, pending int) {
	served := 0
	for _, e := range s.servingEndpoints(spec.key) {
		if e.loaded[spec.key].Version == spec.version {
			served++
		}
	}
	if spec.isAdapter() {
		return served + s.countOwnPendingLoads(spec.key), s.countOwnPendingLoads(spec.key)
	}
	slots, _ := s.cachedSlots(modelRowKey(spec.key))
	replicas = max(served, s.countViableSlots(spec, slots))
	return replicas, replicas - served
}

func (s *State) countOwnPendingLoads(key ModelKey) int {
	n := 0
	for _, load := range s.replicas.loads {
		if load.slot.Model == key && (load.phase == loadReserved || load.phase == loadOrdered) {
			n++
		}
	}
	return n
}

// desiredReplicas returns the number of replicas to have. One more than the
// current number is justified if each replica has more waiting requests than an
// engine runs at once, and the oldest request has waited for half a load time.
// Each pending load adds another half, so that a burst starts only one load.
func (s *State) desiredReplicas(m *modelState, spec replicaSpec, demand demandTotal, replicas, pending int) int {
	want := max(spec.warmReplicas, m.rolloutReplicas)
	if demand.waiting > 0 {
		want = max(want, 1)
	}
	minWait := s.loadTime(spec.key, PlaceRemote) / 2 * time.Duration(pending+1)
	if replicas > 0 && demand.waiting > s.limits.EngineConcurrency*replicas && demand.oldestWait >= minWait {
		want = max(want, replicas+1)
	}
	if m.rolloutReplicas > 0 {
		// A rollout loads one replica at a time.
		want = min(want, replicas+1-min(pending, 1))
	}
	return min(want, spec.max)
}

// replicaRefusal returns a refusal if no replica of a model can be provided
// now, or nil.
func (s *State) replicaRefusal(m *modelState) *rpverdict.Refusal {
	if reason := s.noReplicaReason(m); reason != "" {
		refusal := rpverdict.Refuse(rpverdict.CodeNoReplica, reason)
		refusal.RetryAfter = retryAfterDefault
		return &refusal
	}
	if spec, ok := s.lookupReplicaSpec(m.key); ok && len(s.servingEndpoints(m.key)) == 0 && s.isLoadBlockedByHours(spec) {
		refusal := s.hoursRefusal(m.key.Service)
		return &refusal
	}
	return nil
}

// noReplicaReason returns why no replica of a model can be provided now, or
// "".
func (s *State) noReplicaReason(m *modelState) string {
	spec, ok := s.lookupReplicaSpec(m.key)
	if !ok {
		if s.replicas.deps.document(s, m.key.Service) == nil {
			return ""
		}
		return fmt.Sprintf("the document of service %s declares no %s", m.key.Service, m.key.Name)
	}
	if len(s.servingEndpoints(m.key)) > 0 {
		return ""
	}
	if reason := s.infeasibleReason(spec); reason != "" {
		return reason
	}
	if s.noEngineListed(m, spec) {
		return fmt.Sprintf("no engine of service %s is listed", m.key.Service)
	}
	if s.isTableUnavailable(m) {
		if _, ok := s.expectedSlotWait(spec); !ok {
			return "the platform's table is unavailable, so no load can be started"
		}
	}
	return ""
}

// infeasibleReason returns why the document or the memory of the engines rules
// out any replica, or "".
func (s *State) infeasibleReason(spec replicaSpec) string {
	if spec.isAdapter() {
		base, ok := s.lookupReplicaSpec(spec.baseKey())
		if !ok || base.isAdapter() {
			return fmt.Sprintf("the base model %s of the adapter is not declared", spec.baseModel)
		}
		return s.infeasibleReason(base)
	}
	if spec.max == 0 {
		return "the document allows no replica of the model"
	}
	doc := s.replicas.deps.document(s, spec.key.Service)
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

func (s *State) noEngineListed(m *modelState, spec replicaSpec) bool {
	return m.demandActive && s.now.Sub(m.demandStartedAt) > enginesMissingLimit &&
		len(s.serviceEngines(spec.key.Service)) == 0
}

// isTableUnavailable reports whether the table has not answered for longer than
// tableDownLimit. A conflict counts as an answer. If the last failure is older
// than tableDownLimit the result is false, so that the table is tried again.
func (s *State) isTableUnavailable(m *modelState) bool {
	down, failed := s.replicas.tableDownSince, s.replicas.tableFailedAt
	if !down.IsZero() && s.now.Sub(down) > tableDownLimit && s.now.Sub(failed) < tableDownLimit {
		return true
	}
	return m.reservation != nil && s.now.Sub(m.reservation.transaction.unansweredSince) > tableDownLimit
}
