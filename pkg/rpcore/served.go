package rpcore

import (
	"maps"
	"slices"
	"time"
)

// loadedGrace is how long the answer to an order counts for more than a
// report that says otherwise. Reports lag, and the engine's clock can't be
// compared with this instance's.
const loadedGrace = 5 * time.Second

// engineView is what the replica code keeps about an engine.
type engineView struct {
	endpoint    *endpoint
	incarnation Incarnation
	// answered holds the times at which an order of this instance loaded a
	// model there.
	answered map[ModelKey]time.Time
	// absent holds the times until which reports that show a model are
	// ignored, after evidence that the engine does not have it.
	absent map[ModelKey]time.Time
}

// serving returns the endpoints that new work for a model or adapter may be
// sent to, ordered by id. The caller must not change the slice.
func (s *State) serving(key ModelKey) []*endpoint {
	all := s.replicas.served[key]
	for i, e := range all {
		if !s.usable(e, key) {
			return s.servingFiltered(all, i, key)
		}
	}
	return all
}

func (s *State) servingFiltered(all []*endpoint, first int, key ModelKey) []*endpoint {
	usable := slices.Clone(all[:first])
	for _, e := range all[first+1:] {
		if s.usable(e, key) {
			usable = append(usable, e)
		}
	}
	return usable
}

func (s *State) usable(e *endpoint, key ModelKey) bool {
	view := s.replicas.engines[e.id]
	return e.serves(key) && view != nil && view.incarnation == e.Incarnation && s.endpointByID(e.id) == e
}

// replicaReportChanged reacts to a new report of an engine and brings
// endpoint.loaded up to date.
func (s *State) replicaReportChanged(e *endpoint) {
	view := s.engineView(e)
	if e.report.Incarnation != e.Incarnation {
		return
	}
	s.setLoaded(e, s.mergeReport(e, view))
	s.checkAmbiguous(e)
}

// engineView returns the view of an engine; what was known of an earlier
// incarnation is dropped.
func (s *State) engineView(e *endpoint) *engineView {
	s.syncEngine(e.id)
	view := s.replicas.engines[e.id]
	if view == nil {
		view = &engineView{
			endpoint: e, incarnation: e.Incarnation,
			answered: make(map[ModelKey]time.Time),
			absent:   make(map[ModelKey]time.Time),
		}
		e.loaded = make(map[ModelKey]loadedEntry)
		s.replicas.engines[e.id] = view
	}
	return view
}

// syncEngine drops the view of an engine that is gone or has another
// incarnation.
func (s *State) syncEngine(id EndpointID) {
	view := s.replicas.engines[id]
	if view == nil {
		return
	}
	e := s.endpointByID(id)
	if e == view.endpoint && e.Incarnation == view.incarnation {
		return
	}
	for _, key := range sortedModels(view.endpoint.loaded) {
		s.unserve(view.endpoint, key)
	}
	view.endpoint.loaded = nil
	delete(s.replicas.engines, id)
}

// mergeReport returns what an engine has loaded: the report, corrected by
// newer answers to orders.
func (s *State) mergeReport(e *endpoint, view *engineView) map[ModelKey]loadedEntry {
	next := make(map[ModelKey]loadedEntry, len(e.report.Loaded))
	for _, loaded := range e.report.Loaded {
		if s.now.Before(view.absent[loaded.Key]) {
			continue
		}
		entry, ok := e.loaded[loaded.Key]
		if !ok {
			entry.since = s.now
			entry.unloading = s.releasing(e.id, loaded.Key)
		}
		entry.LoadedModel = loaded
		next[loaded.Key] = entry
	}
	for key, entry := range e.loaded {
		_, reported := next[key]
		answered, ok := view.answered[key]
		if !reported && ok && s.now.Sub(answered) < loadedGrace {
			next[key] = entry
		}
	}
	return next
}

// setLoaded replaces endpoint.loaded and keeps the index up to date.
func (s *State) setLoaded(e *endpoint, next map[ModelKey]loadedEntry) {
	before := e.loaded
	e.loaded = next
	for _, key := range sortedModels(before) {
		if _, ok := next[key]; !ok {
			s.unserve(e, key)
		}
	}
	for _, key := range sortedModels(next) {
		if _, ok := before[key]; !ok {
			s.serve(e, key)
		}
	}
}

// serve adds an endpoint to the index and tells whoever waits for the model.
func (s *State) serve(e *endpoint, key ModelKey) {
	old := s.replicas.served[key]
	i, found := slices.BinarySearchFunc(old, e.id, compareEndpointID)
	if found {
		return
	}
	s.replicas.served[key] = slices.Insert(slices.Clone(old), i, e)
	if len(old) == 0 {
		s.maintainedChanged(key)
	}
	if s.usable(e, key) {
		s.replicas.seams.ready(s, key)
		s.evaluateAdapters(key)
	}
}

func (s *State) unserve(e *endpoint, key ModelKey) {
	old := s.replicas.served[key]
	i, found := slices.BinarySearchFunc(old, e.id, compareEndpointID)
	if !found {
		return
	}
	if len(old) == 1 {
		delete(s.replicas.served, key)
		s.maintainedChanged(key)
		return
	}
	s.replicas.served[key] = slices.Delete(slices.Clone(old), i, i+1)
}

// loadAnswered adds a model at once, without waiting for the lagging report,
// and tells the peers.
func (s *State) loadAnswered(slot Slot) {
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

// replicaNoticeReceived takes in the answer to a load order, of this instance
// or of a peer.
func (s *State) replicaNoticeReceived(notice ReplicaNotice) {
	e := s.endpointByID(notice.Endpoint)
	if e == nil || e.Incarnation != notice.Incarnation {
		return
	}
	key := notice.Loaded.Key
	view := s.engineView(e)
	view.answered[key] = s.now
	delete(view.absent, key)
	next := maps.Clone(e.loaded)
	next[key] = loadedEntry{
		LoadedModel: notice.Loaded,
		since:       s.now,
		unloading:   s.releasing(e.id, key),
	}
	s.setLoaded(e, next)
}

// absentAnswered removes a model at once; reports that were taken earlier
// don't bring it back.
func (s *State) absentAnswered(e *endpoint, key ModelKey) {
	view := s.engineView(e)
	view.absent[key] = s.now.Add(loadedGrace)
	delete(view.answered, key)
	if _, ok := e.loaded[key]; ok {
		next := maps.Clone(e.loaded)
		delete(next, key)
		s.setLoaded(e, next)
	}
}

// endpointNotLoaded takes in that an endpoint refused a model or adapter that
// it does not have.
func (s *State) endpointNotLoaded(id EndpointID, key ModelKey) {
	if e := s.endpointByID(id); e != nil {
		s.absentAnswered(e, key)
	}
}

// markUnloading stops or resumes new work for a model on an engine.
func (s *State) markUnloading(id EndpointID, key ModelKey, unloading bool) {
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
	if !unloading && s.usable(e, key) {
		s.replicas.seams.ready(s, key)
	}
}

// releasing reports whether this instance frees a slot of a model on an
// engine.
func (s *State) releasing(id EndpointID, key ModelKey) bool {
	for _, r := range s.replicas.releases {
		if r.slot.Engine == id && r.slot.Model == key {
			return true
		}
	}
	return false
}
