package rpcore

import (
	"cmp"
	"slices"
	"time"
)

// memberView holds the instance list, the peers and the endpoints.
type memberView struct {
	// listings counts the readings of the instance list.
	listings  uint64
	listed    map[string]Member
	absences  map[lifetime]*absence
	endpoints map[EndpointID]*endpoint
	// order lists the ids of endpoints in order.
	order []EndpointID
	// engines and services index the endpoints by service, ordered by id.
	engines  map[string][]*endpoint
	services map[string][]*endpoint
	peers    map[InstanceID]*peer
	// live is the ordered result of liveInstances.
	live []InstanceID
	// polled holds the interval of each engine that this instance polls.
	polled map[EndpointID]time.Duration
	// leaving and gone hold what heartbeats repeat.
	leaving []leavingRecord
	gone    []goneRecord
}

// lifetime names one incarnation of a member.
type lifetime struct {
	id          string
	incarnation Incarnation
}

// absence records what is known of a lifetime that the list does not show.
type absence struct {
	// seen says that the list showed the lifetime before, here or at a peer.
	seen bool
	// instance says that the lifetime was one of an instance.
	instance bool
	// missing counts the readings in a row that lacked it.
	missing int
	// askedAt is the time at which this instance first asked about it.
	askedAt time.Time
}

const (
	// absentReadings is the number of readings in a row that must lack a
	// lifetime that the list showed before. One reading could come from a
	// server that is behind.
	absentReadings = 3
	// listLagBound is the longest lag of the instance list that the proof of
	// absence allows for a lifetime that this instance never saw listed.
	listLagBound = 60 * time.Second
)

func (s *State) startMembers() {
	s.members = memberView{
		listed:    make(map[string]Member),
		absences:  make(map[lifetime]*absence),
		endpoints: make(map[EndpointID]*endpoint),
		engines:   make(map[string][]*endpoint),
		services:  make(map[string][]*endpoint),
		peers:     make(map[InstanceID]*peer),
		live:      []InstanceID{s.self.Instance},
		polled:    make(map[EndpointID]time.Duration),
	}
	s.after(s.jitter(heartbeatInterval/10), (*State).heartbeatTick)
}

func (s *State) membersListed(members []Member) {
	s.members.listings++
	listed := make(map[string]Member, len(members))
	for _, member := range members {
		listed[member.ID] = member
	}
	s.updateAbsences(listed)
	s.members.listed = listed
	s.updateEndpoints()
	s.updatePeers()
	s.updateLive()
	s.updatePolling()
	s.endpointsChanged()
	s.replicaMembersChanged()
}

// listUnavailable keeps the last reading: it stays the best knowledge, and
// reports, peers and refused connections still remove endpoints.
func (s *State) listUnavailable() {
	s.note("members", "instance list unavailable; the last reading stays in use")
}

// updateAbsences records for each lifetime whether the new reading shows it.
func (s *State) updateAbsences(listed map[string]Member) {
	for id, member := range s.members.listed {
		now, ok := listed[id]
		if ok && now.Incarnation == member.Incarnation {
			continue
		}
		key := lifetime{id, member.Incarnation}
		if s.members.absences[key] == nil {
			s.members.absences[key] = &absence{askedAt: s.now}
		}
		s.members.absences[key].seen = true
		s.members.absences[key].instance = member.Kind == MemberInstance
	}
	for key, record := range s.members.absences {
		if member, ok := listed[key.id]; ok && member.Incarnation == key.incarnation {
			record.seen = true
			record.missing = 0
			continue
		}
		record.missing++
	}
	s.recordGone()
	s.forgetAbsences()
}

// recordGone notes the instances that this reading proved gone, in order.
func (s *State) recordGone() {
	var gone []lifetime
	for key, record := range s.members.absences {
		if record.seen && record.missing == absentReadings && record.instance {
			gone = append(gone, key)
		}
	}
	slices.SortFunc(gone, func(a, b lifetime) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.incarnation, b.incarnation))
	})
	for _, key := range gone {
		identity := Identity{Instance: InstanceID(key.id), Incarnation: key.incarnation}
		s.members.gone = append(s.members.gone, goneRecord{identity, s.now})
	}
	excess := max(0, len(s.members.gone)-goneRecordLimit)
	s.members.gone = s.members.gone[excess:]
}

// absenceLimit bounds the lifetimes that are remembered. A day at the design
// size has 1,275 failures and restarts.
const absenceLimit = 4096

// forgetAbsences drops the oldest records; a lifetime that is asked about
// again starts anew, which only delays the proof.
func (s *State) forgetAbsences() {
	if len(s.members.absences) <= absenceLimit {
		return
	}
	keys := make([]lifetime, 0, len(s.members.absences))
	for key := range s.members.absences {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b lifetime) int {
		return cmp.Or(
			s.members.absences[a].askedAt.Compare(s.members.absences[b].askedAt),
			cmp.Compare(a.id, b.id),
			cmp.Compare(a.incarnation, b.incarnation),
		)
	})
	for _, key := range keys[:len(keys)-absenceLimit/2] {
		delete(s.members.absences, key)
	}
}

// incarnationGone reports whether the instance list has proved that a
// lifetime of a member is over: the list showed it before and has lacked it
// for absentReadings, or this instance has asked about it for listLagBound and
// the list never showed it. A member that is merely silent is not gone. The
// first question about a lifetime starts the watch.
func (s *State) incarnationGone(id string, incarnation Incarnation) bool {
	if member, ok := s.members.listed[id]; ok && member.Incarnation == incarnation {
		return false
	}
	key := lifetime{id, incarnation}
	record := s.members.absences[key]
	if record == nil {
		s.members.absences[key] = &absence{askedAt: s.now}
		return false
	}
	if record.missing < absentReadings {
		return false
	}
	if s.isSelf(id, incarnation) {
		// This lifetime runs; only a list that showed it before and then
		// declared it over binds it.
		return record.seen
	}
	return record.seen || s.now.Sub(record.askedAt) >= listLagBound
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
func (s *State) updateEndpoints() {
	for _, id := range endpointIDs(s.members.endpoints) {
		if _, ok := s.members.listed[string(id)]; !ok {
			s.note("members", "endpoint "+string(id)+" is gone from the list")
			delete(s.members.endpoints, id)
		}
	}
	for id, member := range s.members.listed {
		if member.Kind == MemberInstance {
			continue
		}
		e := s.members.endpoints[EndpointID(id)]
		if e == nil || e.Incarnation != member.Incarnation {
			e = &endpoint{id: EndpointID(id), listedAt: s.now, loaded: make(map[ModelKey]loadedEntry)}
			s.members.endpoints[e.id] = e
		}
		e.Member = member
	}
	s.indexEndpoints()
	for _, id := range endpointIDs(s.members.endpoints) {
		if e := s.members.endpoints[id]; e.Leaving {
			s.endpointLeaving(id, e.Incarnation)
		}
	}
}

func (s *State) indexEndpoints() {
	clear(s.members.engines)
	clear(s.members.services)
	s.members.order = endpointIDs(s.members.endpoints)
	for _, id := range s.members.order {
		e := s.members.endpoints[id]
		index := s.members.services
		if e.Kind == MemberEngine {
			index = s.members.engines
		}
		index[e.Service] = append(index[e.Service], e)
	}
}

// endpointByID returns an endpoint, or nil.
func (s *State) endpointByID(id EndpointID) *endpoint { return s.members.endpoints[id] }

// serviceEndpoints returns the endpoints of a plain service that are not
// leaving, ordered by id.
func (s *State) serviceEndpoints(service string) []*endpoint {
	return staying(s.members.services[service])
}

// serviceEngines returns the engines that may hold models of a service and
// are not leaving, ordered by id.
func (s *State) serviceEngines(service string) []*endpoint {
	return staying(s.members.engines[service])
}

// staying returns the endpoints that are not leaving. It copies only where
// one is, since that is rare and requests ask often.
func staying(endpoints []*endpoint) []*endpoint {
	isLeaving := func(e *endpoint) bool { return e.leaving }
	if !slices.ContainsFunc(endpoints, isLeaving) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), isLeaving)
}
