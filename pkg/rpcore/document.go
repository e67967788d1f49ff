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
	// serviceNames holds the services of inForce in order.
	serviceNames []string
	// digest is a hash over the services and versions in force.
	digest uint64
	// acceptedKnown says that the table, or a peer that has all documents, has told
	// which documents are accepted.
	acceptedKnown bool
	// allReceived says that this instance had all of them once.
	allReceived bool
	// missing holds newer versions whose bodies are being fetched.
	missing     map[string]*missingDocument
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

// missingDocument is a version that this instance knows of and lacks.
type missingDocument struct {
	// row has no Hash where a heartbeat told of the version.
	row DocumentRow
	// source is the peer that told of the version; empty for the table.
	source InstanceID
	// unreadable says that this program can't read the body, so that fetching
	// it again is of no use until it is replaced.
	unreadable bool
	// attempts counts the requests to peers, loads those to the object store,
	// which is not asked again before loadAt.
	attempts   int
	storeLoads int
	nextLoadAt time.Time
}

const (
	documentReadInterval = time.Second
	// documentReaderKey makes one instance of each failure domain read the
	// document rows: 27 reads a second at the design size.
	documentReaderKey = "document_reader"
)

func (s *State) startDocuments() {
	s.documents = documentView{
		inForce:     make(map[string]*activeDocument),
		missing:     make(map[string]*missingDocument),
		submissions: make(map[string]*submission),
	}
	s.updateDocumentDigest()
	s.readDocumentRows()
	s.runAfter(documentReadInterval, (*State).documentTick)
}

// documentTick reads the document rows where this instance is the reader of
// its failure domain, or depends on nobody else: it does not know yet which
// documents are accepted, or no peer tells it of changes, because their lists
// lag behind its start.
func (s *State) documentTick() {
	s.runAfter(documentReadInterval, (*State).documentTick)
	local := s.liveByDomain()[s.self.FailureDomain]
	if !s.documents.acceptedKnown || !s.receivesHeartbeats() || rendezvous(documentReaderKey, local) == s.self.Instance {
		s.readDocumentRows()
	}
}

// receivesHeartbeats reports whether a peer sends heartbeats to this instance.
func (s *State) receivesHeartbeats() bool {
	for _, p := range s.members.peers {
		if p.selected && !p.receivedAt.IsZero() && !s.isSilent(p) {
			return true
		}
	}
	return false
}

func (s *State) readDocumentRows() {
	s.readTableKind(RowDocument, func(s *State, read TableReadDone) {
		if read.Unavailable {
			return
		}
		s.documents.acceptedKnown = true
		for i := range read.Rows {
			if row := read.Rows[i].Document; row != nil {
				s.fetchDocumentIfNewer(*row, "")
			}
		}
		s.updateDocumentsReceived()
	})
}

// activateDocument puts a version in force unless one at least as new already
// is, and tells others. Only whoever learned of it first hand tells other
// failure domains, so that a change crosses them a bounded number of times.
func (s *State) activateDocument(row DocumentRow, body []byte, source InstanceID) {
	if row.Version <= s.documentVersion(row.Service) {
		return
	}
	if rpdocument.Hash(body) != row.Hash {
		return
	}
	document, problems := rpdocument.Parse(body)
	if len(problems) > 0 {
		s.markDocumentUnreadable(row, problems[0])
		return
	}
	s.documents.inForce[row.Service] = &activeDocument{row: row, body: body, document: document, since: s.now}
	if missing := s.documents.missing[row.Service]; missing != nil && missing.row.Version <= row.Version {
		delete(s.documents.missing, row.Service)
	}
	s.updateDocumentDigest()
	s.note("documents", "document "+row.Service+" is in force")
	s.announceDocument(row, source)
	s.updateDocumentsReceived()
	s.documentChanged(row.Service)
	s.replicaDocumentChanged(row.Service)
}

// markDocumentUnreadable keeps the version in force: a body that this program can't read
// was accepted by a newer one. It is remembered, so that it is not fetched
// from every peer again and again.
func (s *State) markDocumentUnreadable(row DocumentRow, problem rpdocument.Problem) {
	missing := s.documents.missing[row.Service]
	if missing != nil && (missing.row.Version > row.Version || missing.unreadable) {
		return
	}
	s.documents.missing[row.Service] = &missingDocument{row: row, unreadable: true}
	s.note("documents", "document "+row.Service+" can't be read and is not in force: "+problem.Error())
	s.updateDocumentsReceived()
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
	versions := make([]DocumentVersion, 0, len(s.documents.serviceNames))
	for _, service := range s.documents.serviceNames {
		versions = append(versions, DocumentVersion{service, s.documentVersion(service)})
	}
	return versions
}

func (s *State) updateDocumentDigest() {
	s.documents.serviceNames = s.documents.serviceNames[:0]
	for service := range s.documents.inForce {
		s.documents.serviceNames = append(s.documents.serviceNames, service)
	}
	slices.Sort(s.documents.serviceNames)
	var digest xxhash.Digest
	digest.Reset()
	for _, service := range s.documents.serviceNames {
		_, _ = digest.WriteString(service)
		_, _ = digest.Write(binary.BigEndian.AppendUint64([]byte{0}, s.documentVersion(service)))
	}
	s.documents.digest = digest.Sum64()
}

// documentServices returns the names of the services with a document in force, in
// order.
func (s *State) documentServices() []string { return s.documents.serviceNames }

// updateDocumentsReceived finds out whether this instance has all accepted documents
// now. Bodies that this program can't read don't count: the other services
// must not wait for a newer program.
func (s *State) updateDocumentsReceived() {
	s.documents.allReceived = s.documents.allReceived || (s.documents.acceptedKnown && !s.awaitsDocument())
	s.checkReady()
}

func (s *State) awaitsDocument() bool {
	for _, missing := range s.documents.missing {
		if !missing.unreadable {
			return true
		}
	}
	return false
}

// hasDocuments reports whether this instance has learned which documents are
// accepted and got their bodies. Until then it can't tell an unknown service
// from a missing document. It stays true: a new version that is still being
// fetched does not stop the service of the one in force.
func (s *State) hasDocuments() bool { return s.documents.allReceived }
