package rpcore

import (
	"slices"
	"strings"
	"time"
)

// memberView holds the instance list, the peers and the endpoints.
type memberView struct {
	// listSnapshots counts the readings of the instance list.
	listSnapshots uint64
	// generation counts the changes of the list and of the endpoints.
	generation uint64
	listed     map[string]Member
	lifetimes  lifetimeTracker
	endpoints  map[EndpointID]*endpoint
	// engines and services index the endpoints by service, and domains the
	// engines by failure domain, all ordered by id.
	engines         map[string][]*endpoint
	plainServices   map[string][]*endpoint
	enginesByDomain map[FailureDomain][]*endpoint
	peers           map[InstanceID]*peer
	// live is the ordered result of liveInstances.
	live    []InstanceID
	polling pollingView
	// leavingRecords holds the notices that heartbeats repeat.
	leavingRecords []leavingRecord
	// goneRecords holds the proofs that heartbeats repeat.
	goneRecords []goneRecord
	// leavingOffset is the first notice of the next heartbeats.
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

// membersListed takes in a reading. Most readings show what the last one
// showed, so the work beyond the comparison is proportional to the change.
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
		s.endpointsChanged()
	}
	// A reading without a change still counts towards the proof of absence.
	s.replicaMembersChanged()
}

// diffMembers returns the members that are new or differ from the last
// reading, and those that are gone, both ordered by id.
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

// listUnavailable keeps the last reading: it stays the best knowledge, and
// reports, peers and refused connections still remove endpoints.
func (s *State) listUnavailable() {
	s.note("members", "instance list unavailable; the last reading stays in use")
}

func (s *State) isSelf(id string, incarnation Incarnation) bool {
	return id == string(s.self.Instance) && incarnation == s.self.Incarnation
}

// selfListed reports whether the instance list shows this lifetime. Until
// then another instance could take it for gone.
func (s *State) selfListed() bool {
	member, ok := s.members.listed[string(s.self.Instance)]
	return ok && member.Incarnation == s.self.Incarnation
}

// updateEndpoints follows the list: new lifetimes start with an empty view,
// and endpoints that are gone are dropped.
func (s *State) updateEndpoints(changed, removed []Member) {
	for _, member := range removed {
		if id := EndpointID(member.ID); s.members.endpoints[id] != nil {
			s.note("members", "endpoint "+member.ID+" is gone from the list")
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
