package rpcore

import "time"

// documentFetchTimeout is the wait before a body is asked for again.
const documentFetchTimeout = 300 * time.Millisecond

// fetchDocumentIfNewer fetches a version that is newer than the one in force: from
// the peer that told of it, else from the object store.
func (s *State) fetchDocumentIfNewer(row DocumentRow, source InstanceID) {
	if row.Version <= s.documentVersion(row.Service) {
		return
	}
	if missing := s.documents.missing[row.Service]; missing != nil && missing.row.Version >= row.Version {
		missing.updateSource(row, source)
		return
	}
	s.documents.missing[row.Service] = &missingDocument{row: row, source: source}
	s.fetchDocument(row.Service, row.Version)
}

// learn keeps the hash and the last teller of a version that is wanted
// already; the next retry uses them.
func (w *missingDocument) updateSource(row DocumentRow, source InstanceID) {
	if w.row.Version != row.Version {
		return
	}
	if w.row.Hash == "" {
		w.row = row
	}
	if source != "" {
		w.source = source
	}
}

func (s *State) fetchDocument(service string, version uint64) {
	missing := s.documents.missing[service]
	if missing == nil || missing.row.Version != version || missing.unreadable {
		return
	}
	s.loadDocumentFromStore(missing)
	s.requestDocumentFromPeer(service, missing)
	missing.attempts++
	s.runAfter(documentFetchTimeout, func(s *State) { s.fetchDocument(service, version) })
}

// loadDocumentFromStore asks the object store after a growing delay: a store that is
// down is asked by many instances at once. Peers cost it nothing and are asked
// at a constant rate.
func (s *State) loadDocumentFromStore(missing *missingDocument) {
	fromPeer := missing.source != "" && missing.attempts == 0
	if missing.row.Hash == "" || fromPeer || s.now.Before(missing.nextLoadAt) {
		return
	}
	s.emit(LoadDocument{Service: missing.row.Service, Version: missing.row.Version, Hash: missing.row.Hash})
	missing.storeLoads++
	missing.nextLoadAt = s.now.Add(max(documentFetchTimeout, retryDelay(missing.storeLoads)))
}

// requestDocumentFromPeer asks the peer that told of a version, and a random one with
// every other retry, since the first may be gone.
func (s *State) requestDocumentFromPeer(service string, missing *missingDocument) {
	id := missing.source
	if id == "" || missing.attempts%2 == 1 {
		peers := s.peerIDs()
		if len(peers) == 0 {
			return
		}
		id = peers[s.rng.IntN(len(peers))]
	}
	s.sendPeer(id, PeerMessage{DocumentRequest: &DocumentRequest{Services: []string{service}}})
}

func (s *State) documentLoaded(ev DocumentLoaded) {
	missing := s.documents.missing[ev.Service]
	if ev.Unavailable || missing == nil || missing.row.Hash != ev.Hash {
		return
	}
	s.activateDocument(missing.row, ev.Body, missing.source)
}
