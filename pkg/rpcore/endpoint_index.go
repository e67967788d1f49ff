package rpcore

import (
	"slices"
	"strings"
)

// endpointIndexKey holds the fields by which endpoints are indexed.
type endpointIndexKey struct {
	kind    MemberKind
	service string
	domain  FailureDomain
}

func indexKey(m Member) endpointIndexKey {
	return endpointIndexKey{m.Kind, m.Service, m.FailureDomain}
}

func (e *endpoint) indexKey() endpointIndexKey { return indexKey(e.Member) }

// indexEndpoint adds an endpoint to the indexes.
func (s *State) indexEndpoint(e *endpoint) {
	s.members.generation++
	if e.Kind != MemberEngine {
		insertEndpoint(s.members.plainServices, e.Service, e)
		return
	}
	e.row = s.replicas.rows[engineRowKey(e.id)]
	insertEndpoint(s.members.engines, e.Service, e)
	insertEndpoint(s.members.enginesByDomain, e.FailureDomain, e)
}

// dropEndpoint removes an endpoint from the indexes and the map. It does
// nothing if the endpoint is unknown.
func (s *State) dropEndpoint(id EndpointID) {
	e := s.members.endpoints[id]
	if e == nil {
		return
	}
	delete(s.members.endpoints, id)
	s.members.generation++
	if e.Kind != MemberEngine {
		removeEndpoint(s.members.plainServices, e.Service, e)
		return
	}
	removeEndpoint(s.members.engines, e.Service, e)
	removeEndpoint(s.members.enginesByDomain, e.FailureDomain, e)
}

// insertEndpoint inserts an endpoint in order of id. The instance list is
// sorted by id, so the first listing only appends.
func insertEndpoint[K comparable](index map[K][]*endpoint, key K, e *endpoint) {
	i, _ := slices.BinarySearchFunc(index[key], e.id, compareEndpointID)
	index[key] = slices.Insert(index[key], i, e)
}

func removeEndpoint[K comparable](index map[K][]*endpoint, key K, e *endpoint) {
	i, ok := slices.BinarySearchFunc(index[key], e.id, compareEndpointID)
	if !ok {
		return
	}
	index[key] = slices.Delete(index[key], i, i+1)
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

func compareEndpointID(e *endpoint, id EndpointID) int {
	return strings.Compare(string(e.id), string(id))
}

func compareEndpoints(a, b *endpoint) int { return strings.Compare(string(a.id), string(b.id)) }

// endpointByID returns an endpoint, or nil if it is unknown.
func (s *State) endpointByID(id EndpointID) *endpoint { return s.members.endpoints[id] }

// serviceEndpoints returns the endpoints of a plain service that are not
// leaving, ordered by id.
func (s *State) serviceEndpoints(service string) []*endpoint {
	return withoutLeaving(s.members.plainServices[service])
}

// serviceEngines returns the engines that may load models of a service and are
// not leaving, ordered by id.
func (s *State) serviceEngines(service string) []*endpoint {
	return withoutLeaving(s.members.engines[service])
}

// withoutLeaving returns the endpoints that are not leaving. It copies the
// slice only if an endpoint is leaving, since it is called for every request
// and leaving endpoints are rare.
func withoutLeaving(endpoints []*endpoint) []*endpoint {
	isLeaving := func(e *endpoint) bool { return e.leaving }
	if !slices.ContainsFunc(endpoints, isLeaving) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), isLeaving)
}
