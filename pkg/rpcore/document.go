package rpcore

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// documentView holds the documents in force and the submissions in progress.
type documentView struct {
	inForce map[string]*activeDocument
	// serviceNames lists the services of inForce in order.
	serviceNames []string
	// digest is a hash over the services and versions in force.
	digest uint64
	// acceptedKnown is set once this instance knows which documents are
	// accepted: from the table, or from a peer that has all documents.
	acceptedKnown bool
	// allReceived is set once this instance has received all accepted
	// documents.
	allReceived bool
	// missing holds versions that are newer than the one in force and whose
	// bodies are not available yet.
	missing     map[string]*missingDocument
	submissions map[string]*submission
}

// activeDocument is a document in force. The body is kept for peers that
// request it.
type activeDocument struct {
	row      DocumentRow
	body     []byte
	document *rpdocument.Document
	since    time.Time
}

// missingDocument is a version that this instance knows to be accepted but does
// not have.
type missingDocument struct {
	// row has no Hash if the version is known from a heartbeat only.
	row DocumentRow
	// source is the peer that announced the version, or empty if it was read
	// from the table.
	source InstanceID
	// unreadable is set if this version of the program can't parse the body.
	// Fetching the body again is then of no use.
	unreadable bool
	// attempts counts the requests to peers and storeLoads those to the object
	// store. The object store is not asked again before nextLoadAt.
	attempts   int
	storeLoads int
	nextLoadAt time.Time
}

const (
	documentReadInterval = time.Second
	// documentReaderKey is the rendezvous key by which one instance of each
	// failure domain is chosen to read the document rows. At the design size
	// this limits the table to 27 such reads per second.
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

// documentTick reads the document rows if this instance is the reader of its
// failure domain. It also reads them if this instance can't rely on others: it
// does not know yet which documents are accepted, or it receives no heartbeats,
// because the peers' lists lag behind its start.
func (s *State) documentTick() {
	s.runAfter(documentReadInterval, (*State).documentTick)
	local := s.liveByDomain()[s.self.FailureDomain]
	if !s.documents.acceptedKnown || !s.receivesHeartbeats() || rendezvous(documentReaderKey, local) == s.self.Instance {
		s.readDocumentRows()
	}
}

// receivesHeartbeats reports whether any peer sends heartbeats to this
// instance.
func (s *State) receivesHeartbeats() bool {
	for _, p := range s.members.peers {
		if p.selected && !p.heartbeatReceivedAt.IsZero() && !s.isPeerSilent(p) {
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

// activateDocument puts a version in force, unless the version in force is as
// new, and announces it. Other failure domains are told only by the instances
// that learned of the version first hand, which bounds the traffic between
// domains.
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
	s.applyDocumentToRequests(row.Service)
	s.applyDocumentToReplicas(row.Service)
}

// markDocumentUnreadable records a version whose body this program can't parse,
// because a newer version of the program accepted it. The version in force
// stays in force. The record keeps the body from being fetched from every peer
// again and again.
func (s *State) markDocumentUnreadable(row DocumentRow, problem rpdocument.Problem) {
	missing := s.documents.missing[row.Service]
	if missing != nil && (missing.row.Version > row.Version || missing.unreadable) {
		return
	}
	s.documents.missing[row.Service] = &missingDocument{row: row, unreadable: true}
	s.note("documents", "document "+row.Service+" can't be read and is not in force: "+problem.Error())
	s.updateDocumentsReceived()
}

// document returns the document in force for a service, or nil.
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

// updateDocumentDigest recomputes the digest after a change of the documents in
// force.
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

// documentServices returns the names of the services with a document in force,
// in order.
func (s *State) documentServices() []string { return s.documents.serviceNames }

// updateDocumentsReceived checks whether this instance now has all accepted
// documents. Documents that this program can't parse don't count: the other
// services must not wait for a newer version of the program.
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

// hasDocuments reports whether this instance knows which documents are accepted
// and has received them all. Until then it can't distinguish an unknown service
// from a document that it lacks. The result stays true afterwards: while a new
// version is being fetched, the one in force is used.
func (s *State) hasDocuments() bool { return s.documents.allReceived }
