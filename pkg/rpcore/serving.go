package rpcore

import (
	"maps"
	"slices"
	"time"
)

// answerPrecedence is how long the answer to an order takes precedence over a
// report that contradicts it. Reports lag, and the engine's clock can't be
// compared with this instance's.
const answerPrecedence = 5 * time.Second

// engineView holds what the replica part knows about an engine.
type engineView struct {
	endpoint    *endpoint
	incarnation Incarnation
	// loadedAt holds the times at which an answered order loaded a model there.
	loadedAt map[ModelKey]time.Time
	// absentUntil holds the times until which reports that show a model are
	// ignored, after evidence that the engine does not have it.
	absentUntil map[ModelKey]time.Time
}

// servingEndpoints returns the endpoints that new work for a model or adapter
// may be sent to, ordered by id. The caller must not change the slice.
func (s *State) servingEndpoints(key ModelKey) []*endpoint {
	all := s.replicas.loadedOn[key]
	for i, e := range all {
		if !s.isUsable(e, key) {
			return s.filterUsable(all, i, key)
		}
	}
	return all
}

func (s *State) filterUsable(all []*endpoint, first int, key ModelKey) []*endpoint {
	usable := slices.Clone(all[:first])
	for _, e := range all[first+1:] {
		if s.isUsable(e, key) {
			usable = append(usable, e)
		}
	}
	return usable
}

// isUsable reports whether new work for a model or adapter may be sent to an
// endpoint.
func (s *State) isUsable(e *endpoint, key ModelKey) bool {
	view := s.replicas.engines[e.id]
	return e.serves(key) && view != nil && view.incarnation == e.Incarnation && s.endpointByID(e.id) == e
}

// applyEngineReport updates endpoint.loaded after a new report of an engine.
func (s *State) applyEngineReport(e *endpoint) {
	view := s.ensureEngineView(e)
	if e.report.Incarnation != e.Incarnation {
		return
	}
	s.setLoadedModels(e, s.mergeReport(e, view))
	s.resolveAmbiguousLoads(e)
}

// ensureEngineView returns the view of an engine, and creates it if needed. The
// view of an earlier incarnation is dropped.
func (s *State) ensureEngineView(e *endpoint) *engineView {
	s.dropStaleEngineView(e.id)
	view := s.replicas.engines[e.id]
	if view == nil {
		view = &engineView{
			endpoint: e, incarnation: e.Incarnation,
			loadedAt:    make(map[ModelKey]time.Time),
			absentUntil: make(map[ModelKey]time.Time),
		}
		e.loaded = make(map[ModelKey]loadedEntry)
		s.replicas.engines[e.id] = view
	}
	return view
}

// dropStaleEngineView drops the view of an engine that is gone or has another
// incarnation.
func (s *State) dropStaleEngineView(id EndpointID) {
	view := s.replicas.engines[id]
	if view == nil {
		return
	}
	e := s.endpointByID(id)
	if e == view.endpoint && e.Incarnation == view.incarnation {
		return
	}
	for _, key := range sortedModels(view.endpoint.loaded) {
		s.removeLoadedEndpoint(view.endpoint, key)
	}
	view.endpoint.loaded = nil
	delete(s.replicas.engines, id)
}

// mergeReport returns what an engine has loaded: the report, corrected by newer
// answers to orders.
func (s *State) mergeReport(e *endpoint, view *engineView) map[ModelKey]loadedEntry {
	next := make(map[ModelKey]loadedEntry, len(e.report.Loaded))
	for _, loaded := range e.report.Loaded {
		if s.now.Before(view.absentUntil[loaded.Key]) {
			continue
		}
		entry, ok := e.loaded[loaded.Key]
		if !ok {
			entry.since = s.now
			entry.unloading = s.isReleasing(e.id, loaded.Key)
		}
		entry.LoadedModel = loaded
		next[loaded.Key] = entry
	}
	for key, entry := range e.loaded {
		_, reported := next[key]
		answered, ok := view.loadedAt[key]
		if !reported && ok && s.now.Sub(answered) < answerPrecedence {
			next[key] = entry
		}
	}
	return next
}

// setLoadedModels replaces endpoint.loaded and updates loadedOn.
func (s *State) setLoadedModels(e *endpoint, next map[ModelKey]loadedEntry) {
	before := e.loaded
	e.loaded = next
	for _, key := range sortedModels(before) {
		if _, ok := next[key]; !ok {
			s.removeLoadedEndpoint(e, key)
		}
	}
	for _, key := range sortedModels(next) {
		if _, ok := before[key]; !ok {
			s.addLoadedEndpoint(e, key)
		}
	}
}

// addLoadedEndpoint adds an endpoint to loadedOn and dispatches the requests
// that wait for the model.
func (s *State) addLoadedEndpoint(e *endpoint, key ModelKey) {
	old := s.replicas.loadedOn[key]
	i, found := slices.BinarySearchFunc(old, e.id, compareEndpointID)
	if found {
		return
	}
	s.replicas.loadedOn[key] = slices.Insert(slices.Clone(old), i, e)
	if len(old) == 0 {
		s.invalidateHomeModels(key)
	}
	if s.isUsable(e, key) {
		s.replicas.deps.replicaReady(s, key)
		s.evaluateAdapters(key)
	}
}

func (s *State) removeLoadedEndpoint(e *endpoint, key ModelKey) {
	old := s.replicas.loadedOn[key]
	i, found := slices.BinarySearchFunc(old, e.id, compareEndpointID)
	if !found {
		return
	}
	if len(old) == 1 {
		delete(s.replicas.loadedOn, key)
		s.invalidateHomeModels(key)
		return
	}
	s.replicas.loadedOn[key] = slices.Delete(slices.Clone(old), i, i+1)
}

// announceLoaded adds a model at once, without waiting for the next report, and
// tells the peers.
func (s *State) announceLoaded(slot Slot) {
	notice := ReplicaNotice{
		Endpoint:    slot.Engine,
		Incarnation: slot.EngineIncarnation,
		Loaded: LoadedModel{
			Key: slot.Model, Version: slot.Version,
			BaseModel: slot.BaseModel, Memory: slot.Memory,
		},
	}
	s.replicaNoticeReceived(notice)
	for _, peer := range s.peerIDs() {
		s.sendPeer(peer, PeerMessage{ReplicaNotice: &notice})
	}
}

// replicaNoticeReceived handles the answer to a load order of this instance or
// of a peer.
func (s *State) replicaNoticeReceived(notice ReplicaNotice) {
	e := s.endpointByID(notice.Endpoint)
	if e == nil || e.Incarnation != notice.Incarnation {
		return
	}
	key := notice.Loaded.Key
	view := s.ensureEngineView(e)
	view.loadedAt[key] = s.now
	delete(view.absentUntil, key)
	next := maps.Clone(e.loaded)
	next[key] = loadedEntry{
		LoadedModel: notice.Loaded,
		since:       s.now,
		unloading:   s.isReleasing(e.id, key),
	}
	s.setLoadedModels(e, next)
}

// markModelAbsent removes a model from an endpoint at once. For
// answerPrecedence, reports that still show the model are ignored, since they
// may have been taken earlier.
func (s *State) markModelAbsent(e *endpoint, key ModelKey) {
	view := s.ensureEngineView(e)
	view.absentUntil[key] = s.now.Add(answerPrecedence)
	delete(view.loadedAt, key)
	if _, ok := e.loaded[key]; ok {
		next := maps.Clone(e.loaded)
		delete(next, key)
		s.setLoadedModels(e, next)
	}
}

// markModelNotLoaded handles an endpoint that declined a request because it
// does not have the model or adapter loaded.
func (s *State) markModelNotLoaded(id EndpointID, key ModelKey) {
	if e := s.endpointByID(id); e != nil {
		s.markModelAbsent(e, key)
	}
}

// setUnloading stops or resumes new work for a model on an engine.
func (s *State) setUnloading(id EndpointID, key ModelKey, unloading bool) {
	e := s.endpointByID(id)
	if e == nil {
		return
	}
	entry, ok := e.loaded[key]
	if !ok || entry.unloading == unloading {
		return
	}
	entry.unloading = unloading
	e.loaded[key] = entry
	if !unloading && s.isUsable(e, key) {
		s.replicas.deps.replicaReady(s, key)
	}
}

// isReleasing reports whether this instance is releasing a slot of a model on
// an engine.
func (s *State) isReleasing(id EndpointID, key ModelKey) bool {
	for _, r := range s.replicas.releases {
		if r.slot.Engine == id && r.slot.Model == key {
			return true
		}
	}
	return false
}
