package rpcore

import "time"

// documentFetchTimeout is the wait before a body is asked for again.
const documentFetchTimeout = 300 * time.Millisecond

// wantDocument fetches a version that is newer than the one in force: from
// the peer that told of it, else from the object store.
func (s *State) wantDocument(row DocumentRow, source InstanceID) {
	if row.Version <= s.documentVersion(row.Service) {
		return
	}
	if wanted := s.documents.wanted[row.Service]; wanted != nil && wanted.row.Version >= row.Version {
		wanted.learn(row, source)
		return
	}
	s.documents.wanted[row.Service] = &wantedDocument{row: row, source: source}
	s.fetchDocument(row.Service, row.Version)
}

// learn keeps the hash and the last teller of a version that is wanted
// already; the next retry uses them.
func (w *wantedDocument) learn(row DocumentRow, source InstanceID) {
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
	wanted := s.documents.wanted[service]
	if wanted == nil || wanted.row.Version != version || wanted.unreadable {
		return
	}
	s.loadDocument(wanted)
	s.askForDocument(service, wanted)
	wanted.retries++
	s.after(documentFetchTimeout, func(s *State) { s.fetchDocument(service, version) })
}

// loadDocument asks the object store after a growing delay: a store that is
// down is asked by many instances at once. Peers cost it nothing and are asked
// at a constant rate.
func (s *State) loadDocument(wanted *wantedDocument) {
	fromPeer := wanted.source != "" && wanted.retries == 0
	if wanted.row.Hash == "" || fromPeer || s.now.Before(wanted.loadAt) {
		return
	}
	s.emit(LoadDocument{Service: wanted.row.Service, Version: wanted.row.Version, Hash: wanted.row.Hash})
	wanted.loads++
	wanted.loadAt = s.now.Add(max(documentFetchTimeout, retryDelay(wanted.loads)))
}

// askForDocument asks the peer that told of a version, and a random one with
// every other retry, since the first may be gone.
func (s *State) askForDocument(service string, wanted *wantedDocument) {
	id := wanted.source
	if id == "" || wanted.retries%2 == 1 {
		peers := s.peerIDs()
		if len(peers) == 0 {
			return
		}
		id = peers[s.rng.IntN(len(peers))]
	}
	s.sendPeer(id, PeerMessage{DocumentRequest: &DocumentRequest{Services: []string{service}}})
}

func (s *State) documentLoaded(ev DocumentLoaded) {
	wanted := s.documents.wanted[ev.Service]
	if ev.Unavailable || wanted == nil || wanted.row.Hash != ev.Hash {
		return
	}
	s.adoptDocument(wanted.row, ev.Body, wanted.source)
}
