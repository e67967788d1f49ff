package rpcore

import (
	"slices"
	"strings"
	"time"
)

// memberView is this instance's view of the instance list, the other instances
// and the endpoints.
type memberView struct {
	// listSnapshots counts the snapshots of the instance list that were
	// received.
	listSnapshots uint64
	// generation grows with each change of the instance list or of the
	// endpoints. Indexes compare it to find out whether they are out of date.
	generation uint64
	// listed holds the members of the last snapshot by id.
	listed    map[string]Member
	lifetimes lifetimeTracker
	endpoints map[EndpointID]*endpoint
	// engines and plainServices index the endpoints by service, enginesByDomain
	// the engines by failure domain. Their slices are ordered by endpoint id.
	engines         map[string][]*endpoint
	plainServices   map[string][]*endpoint
	enginesByDomain map[FailureDomain][]*endpoint
	peers           map[InstanceID]*peer
	// live holds the live instances, this one included, ordered by id.
	live    []InstanceID
	polling pollingView
	// leavingRecords holds the leaving notices that heartbeats repeat.
	leavingRecords []leavingRecord
	// goneRecords holds the instances known to be gone that heartbeats repeat.
	goneRecords []goneRecord
	// leavingOffset is the index in leavingRecords of the first notice of the
	// next heartbeats.
	leavingOffset int
}

func (s *State) startMembers() {
	s.members = memberView{
		listed:          make(map[string]Member),
		lifetimes:       lifetimeTracker{firstListedAt: make(map[lifetime]time.Time), absent: make(map[lifetime]*absence)},
		endpoints:       make(map[EndpointID]*endpoint),
		engines:         make(map[string][]*endpoint),
		plainServices:   make(map[string][]*endpoint),
		enginesByDomain: make(map[FailureDomain][]*endpoint),
		peers:           make(map[InstanceID]*peer),
		live:            []InstanceID{s.self.Instance},
		polling:         pollingView{requested: make(map[EndpointID]PollEngine)},
	}
	s.runAfter(s.jitter(heartbeatInterval/10), (*State).heartbeatTick)
}

// membersListed applies a snapshot of the instance list. Most snapshots equal
// the last one, so apart from the comparison, the cost is proportional to the
// number of changed members.
func (s *State) membersListed(members []Member) {
	s.members.listSnapshots++
	changed, removed := s.diffMembers(members)
	if len(changed)+len(removed) > 0 {
		s.members.generation++
	}
	s.updateLifetimes(changed, removed)
	if len(s.members.listed) == 0 {
		s.members.listed = make(map[string]Member, len(members))
	}
	for _, member := range removed {
		delete(s.members.listed, member.ID)
	}
	for _, member := range changed {
		s.members.listed[member.ID] = member
	}
	s.updatePeers(changed, removed)
	s.updateEndpoints(changed, removed)
	if s.updateLiveInstances() || len(changed)+len(removed) > 0 {
		s.updatePolling()
		s.applyEndpointChange()
	}
	// An unchanged snapshot still counts towards the proof that an incarnation
	// is gone.
	s.syncEngineViews()
}

// diffMembers compares a snapshot with the last one. It returns the members
// that are new or changed, and those that are no longer listed, both ordered by
// id.
func (s *State) diffMembers(members []Member) (changed, removed []Member) {
	known := 0
	for i := range members {
		last, ok := s.members.listed[members[i].ID]
		if ok {
			known++
		}
		if !ok || last != members[i] {
			changed = append(changed, members[i])
		}
	}
	if known != len(s.members.listed) {
		removed = s.unlistedMembers(members)
	}
	byID := func(a, b Member) int { return strings.Compare(a.ID, b.ID) }
	slices.SortStableFunc(changed, byID)
	slices.SortFunc(removed, byID)
	return changed, removed
}

// unlistedMembers returns the members of the last snapshot that a new one
// lacks.
func (s *State) unlistedMembers(members []Member) []Member {
	shown := make(map[string]bool, len(members))
	for i := range members {
		shown[members[i].ID] = true
	}
	var missing []Member
	for id, member := range s.members.listed {
		if !shown[id] {
			missing = append(missing, member)
		}
	}
	return missing
}

// listUnavailable keeps the last snapshot, as there is nothing better. Reports,
// peers and refused connections still take endpoints out of use.
func (s *State) listUnavailable() {
	s.note("members", "instance list unavailable; the last reading stays in use")
}

func (s *State) isSelf(id string, incarnation Incarnation) bool {
	return id == string(s.self.Instance) && incarnation == s.self.Incarnation
}

// selfListed reports whether the instance list shows this incarnation. Until it
// does, other instances could conclude that this one is gone.
func (s *State) selfListed() bool {
	member, ok := s.members.listed[string(s.self.Instance)]
	return ok && member.Incarnation == s.self.Incarnation
}

// updateEndpoints adds, updates and removes endpoints after a change of the
// instance list. A new incarnation starts with an empty state.
func (s *State) updateEndpoints(changed, removed []Member) {
	for _, member := range removed {
		if id := EndpointID(member.ID); s.members.endpoints[id] != nil {
			s.note("members", "endpoint "+member.ID+" is no longer in the instance list")
			s.dropEndpoint(id)
		}
	}
	for _, member := range changed {
		if member.Kind == MemberInstance {
			s.dropEndpoint(EndpointID(member.ID))
			continue
		}
		s.updateEndpoint(member)
	}
}

func (s *State) updateEndpoint(member Member) {
	id := EndpointID(member.ID)
	e := s.members.endpoints[id]
	fresh := e == nil || e.Incarnation != member.Incarnation
	if fresh || e.indexKey() != indexKey(member) {
		s.dropEndpoint(id)
	}
	if fresh {
		e = &endpoint{id: id, listedAt: s.now, loaded: make(map[ModelKey]loadedEntry)}
	}
	e.Member = member
	if s.members.endpoints[id] == nil {
		s.members.endpoints[id] = e
		s.indexEndpoint(e)
	}
	if fresh {
		s.applyRecordedLeaving(e)
	}
	if e.Leaving {
		s.markEndpointLeaving(id, e.Incarnation)
	}
}
