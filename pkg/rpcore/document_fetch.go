package rpcore

import "time"

// documentFetchTimeout is the time after which a body is requested again.
const documentFetchTimeout = 300 * time.Millisecond

// fetchDocumentIfNewer fetches a version if it is newer than the one in force:
// from the peer that announced it, otherwise from the object store.
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

// updateSource adds the hash and replaces the source of a version that is
// already being fetched. The next retry uses them.
func (m *missingDocument) updateSource(row DocumentRow, source InstanceID) {
	if m.row.Version != row.Version {
		return
	}
	if m.row.Hash == "" {
		m.row = row
	}
	if source != "" {
		m.source = source
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

// loadDocumentFromStore requests a body from the object store, with an
// increasing delay between requests, since many instances may be asking a store
// that is down. Requests to peers don't burden the store and are repeated at a
// constant rate.
func (s *State) loadDocumentFromStore(missing *missingDocument) {
	fromPeer := missing.source != "" && missing.attempts == 0
	if missing.row.Hash == "" || fromPeer || s.now.Before(missing.nextLoadAt) {
		return
	}
	s.emit(LoadDocument{Service: missing.row.Service, Version: missing.row.Version, Hash: missing.row.Hash})
	missing.storeLoads++
	missing.nextLoadAt = s.now.Add(max(documentFetchTimeout, retryDelay(missing.storeLoads)))
}

// requestDocumentFromPeer requests a body from the peer that announced it.
// Every other retry goes to a random peer, since the first one may be gone.
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
