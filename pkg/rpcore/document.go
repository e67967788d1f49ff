package rpcore

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// documentView holds the documents in force and the submissions under way.
type documentView struct {
	inForce map[string]*activeDocument
	// names holds the services of inForce in order.
	names []string
	// digest is a hash over the services and versions in force.
	digest uint64
	// known says that the table or a peer has told which documents are
	// accepted.
	known bool
	// wanted holds newer versions whose bodies are being fetched.
	wanted      map[string]*wantedDocument
	submissions map[string]*submission
}

// activeDocument is a document in force, with the body for peers that lack
// it.
type activeDocument struct {
	row      DocumentRow
	body     []byte
	document *rpdocument.Document
	since    time.Time
}

// wantedDocument is a version that this instance knows of and lacks.
type wantedDocument struct {
	row DocumentRow
	// source is the peer that told of the version; empty for the table.
	source InstanceID
	// unreadable says that this program can't read the body, so that fetching
	// it again is of no use until it is replaced.
	unreadable bool
	retries    int
}

const (
	documentReadInterval = time.Second
	documentFetchTimeout = 300 * time.Millisecond
	// documentReaderKey makes one instance of each failure domain read the
	// document rows: 27 reads a second at the design size.
	documentReaderKey = "document_reader"
)

func (s *State) startDocuments() {
	s.documents = documentView{
		inForce:     make(map[string]*activeDocument),
		wanted:      make(map[string]*wantedDocument),
		submissions: make(map[string]*submission),
	}
	s.updateDigest()
	s.readDocuments()
	s.after(documentReadInterval, (*State).documentTick)
}

// documentTick reads the document rows where this instance is the reader of
// its failure domain, or has never learned of any document.
func (s *State) documentTick() {
	s.after(documentReadInterval, (*State).documentTick)
	local := s.liveByDomain()[s.self.FailureDomain]
	if !s.documents.known || rendezvous(documentReaderKey, local) == s.self.Instance {
		s.readDocuments()
	}
}

func (s *State) readDocuments() {
	s.readTableKind(RowDocument, func(s *State, read TableReadDone) {
		if read.Unavailable {
			return
		}
		s.documents.known = true
		for i := range read.Rows {
			if row := read.Rows[i].Document; row != nil {
				s.wantDocument(*row, "")
			}
		}
		s.checkReady()
	})
}

// wantDocument fetches a version that is newer than the one in force: from
// the peer that told of it, else from the object store.
func (s *State) wantDocument(row DocumentRow, source InstanceID) {
	if row.Version <= s.documentVersion(row.Service) {
		return
	}
	if wanted := s.documents.wanted[row.Service]; wanted != nil && wanted.row.Version >= row.Version {
		return
	}
	s.documents.wanted[row.Service] = &wantedDocument{row: row, source: source}
	s.fetchDocument(row.Service, row.Version)
}

func (s *State) fetchDocument(service string, version uint64) {
	wanted := s.documents.wanted[service]
	if wanted == nil || wanted.row.Version != version || wanted.unreadable {
		return
	}
	if wanted.source != "" && wanted.retries == 0 {
		s.sendPeer(wanted.source, PeerMessage{DocumentRequest: &DocumentRequest{Services: []string{service}}})
	} else {
		s.emit(LoadDocument{Service: service, Version: version, Hash: wanted.row.Hash})
		s.askPeers(service)
	}
	wanted.retries++
	delay := max(documentFetchTimeout, retryDelay(wanted.retries))
	s.after(delay, func(s *State) { s.fetchDocument(service, version) })
}

// askPeers asks one peer for a document, another one with each retry.
func (s *State) askPeers(service string) {
	peers := s.peerIDs()
	if len(peers) == 0 {
		return
	}
	id := peers[s.rng.IntN(len(peers))]
	s.sendPeer(id, PeerMessage{DocumentRequest: &DocumentRequest{Services: []string{service}}})
}

func (s *State) documentLoaded(ev DocumentLoaded) {
	wanted := s.documents.wanted[ev.Service]
	if ev.Unavailable || wanted == nil || wanted.row.Hash != ev.Hash {
		return
	}
	s.adoptDocument(wanted.row, ev.Body, wanted.source)
}

// adoptDocument puts a version in force unless one at least as new already
// is, and tells others. Only whoever learned of it first hand tells other
// failure domains, so that a change crosses them a bounded number of times.
func (s *State) adoptDocument(row DocumentRow, body []byte, source InstanceID) {
	if row.Version <= s.documentVersion(row.Service) {
		return
	}
	if rpdocument.Hash(body) != row.Hash {
		return
	}
	document, problems := rpdocument.Parse(body)
	if len(problems) > 0 {
		s.rejectBody(row, problems[0])
		return
	}
	s.documents.inForce[row.Service] = &activeDocument{row: row, body: body, document: document, since: s.now}
	if wanted := s.documents.wanted[row.Service]; wanted != nil && wanted.row.Version <= row.Version {
		delete(s.documents.wanted, row.Service)
	}
	s.documents.known = true
	s.updateDigest()
	s.note("documents", "document "+row.Service+" is in force")
	s.spreadDocument(row, source)
	s.checkReady()
	s.documentChanged(row.Service)
	s.replicaDocumentChanged(row.Service)
}

// rejectBody keeps the version in force: a body that this program can't read
// was accepted by a newer one.
func (s *State) rejectBody(row DocumentRow, problem rpdocument.Problem) {
	if wanted := s.documents.wanted[row.Service]; wanted != nil && wanted.row.Version == row.Version {
		wanted.unreadable = true
	}
	s.note("documents", "document "+row.Service+" can't be read and is not in force: "+problem.Error())
}

func (s *State) spreadDocument(row DocumentRow, source InstanceID) {
	notice := DocumentPush{DocumentRow: row}
	notice.History = nil
	fromOwnDomain := source != "" && s.domainOf(source) == s.self.FailureDomain
	if fromOwnDomain {
		return
	}
	for _, id := range s.peerIDs() {
		if source == "" || s.domainOf(id) == s.self.FailureDomain {
			s.sendPeer(id, PeerMessage{DocumentPush: &notice})
		}
	}
}

func (s *State) domainOf(id InstanceID) FailureDomain {
	if p := s.members.peers[id]; p != nil {
		return p.FailureDomain
	}
	return s.self.FailureDomain
}

func (s *State) documentPushReceived(from InstanceID, push DocumentPush) {
	if push.Body == nil {
		s.wantDocument(push.DocumentRow, from)
		return
	}
	s.adoptDocument(push.DocumentRow, push.Body, from)
}

func (s *State) documentRequestReceived(from InstanceID, request DocumentRequest) {
	for _, service := range request.Services {
		if active := s.documents.inForce[service]; active != nil {
			push := DocumentPush{DocumentRow: active.row, Body: active.body}
			s.sendPeer(from, PeerMessage{DocumentPush: &push})
		}
	}
}

// compareDocuments asks a peer for what it has newer and tells it what this
// instance has newer.
func (s *State) compareDocuments(from InstanceID, versions []DocumentVersion) {
	theirs := make(map[string]uint64, len(versions))
	var newer []string
	for _, v := range versions {
		theirs[v.Service] = v.Version
		if v.Version > s.documentVersion(v.Service) {
			newer = append(newer, v.Service)
		}
	}
	if len(newer) > 0 {
		s.sendPeer(from, PeerMessage{DocumentRequest: &DocumentRequest{Services: newer}})
	}
	if len(versions) == 0 {
		return
	}
	s.documents.known = s.documents.known || len(newer) == 0
	for _, service := range s.documents.names {
		active := s.documents.inForce[service]
		if active.row.Version > theirs[service] {
			notice := DocumentPush{DocumentRow: active.row}
			notice.History = nil
			s.sendPeer(from, PeerMessage{DocumentPush: &notice})
		}
	}
}

// document returns the document of a service that is in force, or nil.
func (s *State) document(service string) *rpdocument.Document {
	if active := s.documents.inForce[service]; active != nil {
		return active.document
	}
	return nil
}

func (s *State) documentVersion(service string) uint64 {
	if active := s.documents.inForce[service]; active != nil {
		return active.row.Version
	}
	return 0
}

func (s *State) documentVersions() []DocumentVersion {
	versions := make([]DocumentVersion, 0, len(s.documents.names))
	for _, service := range s.documents.names {
		versions = append(versions, DocumentVersion{service, s.documentVersion(service)})
	}
	return versions
}

func (s *State) updateDigest() {
	s.documents.names = s.documents.names[:0]
	for service := range s.documents.inForce {
		s.documents.names = append(s.documents.names, service)
	}
	slices.Sort(s.documents.names)
	var digest xxhash.Digest
	digest.Reset()
	for _, service := range s.documents.names {
		_, _ = digest.WriteString(service)
		_, _ = digest.Write(binary.BigEndian.AppendUint64([]byte{0}, s.documentVersion(service)))
	}
	s.documents.digest = digest.Sum64()
}

// services returns the names of the services with a document in force, in
// order.
func (s *State) services() []string { return s.documents.names }

// hasDocuments reports whether this instance has learned which documents are
// accepted and has the bodies. Until then it can't tell an unknown service
// from a missing document.
func (s *State) hasDocuments() bool {
	return s.documents.known && len(s.documents.wanted) == 0
}
