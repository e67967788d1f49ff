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
	// known says that the table, or a peer that has all documents, has told
	// which documents are accepted.
	known bool
	// complete says that this instance had all of them once.
	complete bool
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
	// row has no Hash where a heartbeat told of the version.
	row DocumentRow
	// source is the peer that told of the version; empty for the table.
	source InstanceID
	// unreadable says that this program can't read the body, so that fetching
	// it again is of no use until it is replaced.
	unreadable bool
	// retries counts the requests to peers, loads those to the object store,
	// which is not asked again before loadAt.
	retries int
	loads   int
	loadAt  time.Time
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
		wanted:      make(map[string]*wantedDocument),
		submissions: make(map[string]*submission),
	}
	s.updateDigest()
	s.readDocuments()
	s.after(documentReadInterval, (*State).documentTick)
}

// documentTick reads the document rows where this instance is the reader of
// its failure domain, or depends on nobody else: it does not know yet which
// documents are accepted, or no peer tells it of changes, because their lists
// lag behind its start.
func (s *State) documentTick() {
	s.after(documentReadInterval, (*State).documentTick)
	local := s.liveByDomain()[s.self.FailureDomain]
	if !s.documents.known || !s.hearsPeers() || rendezvous(documentReaderKey, local) == s.self.Instance {
		s.readDocuments()
	}
}

// hearsPeers reports whether a peer sends heartbeats to this instance.
func (s *State) hearsPeers() bool {
	for _, p := range s.members.peers {
		if p.inSet && !p.heardAt.IsZero() && !s.silent(p) {
			return true
		}
	}
	return false
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
		s.documentsLearned()
	})
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
	s.updateDigest()
	s.note("documents", "document "+row.Service+" is in force")
	s.spreadDocument(row, source)
	s.documentsLearned()
	s.documentChanged(row.Service)
	s.replicaDocumentChanged(row.Service)
}

// rejectBody keeps the version in force: a body that this program can't read
// was accepted by a newer one. It is remembered, so that it is not fetched
// from every peer again and again.
func (s *State) rejectBody(row DocumentRow, problem rpdocument.Problem) {
	wanted := s.documents.wanted[row.Service]
	if wanted != nil && (wanted.row.Version > row.Version || wanted.unreadable) {
		return
	}
	s.documents.wanted[row.Service] = &wantedDocument{row: row, unreadable: true}
	s.note("documents", "document "+row.Service+" can't be read and is not in force: "+problem.Error())
	s.documentsLearned()
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

// documentsLearned finds out whether this instance has all accepted documents
// now. Bodies that this program can't read don't count: the other services
// must not wait for a newer program.
func (s *State) documentsLearned() {
	s.documents.complete = s.documents.complete || (s.documents.known && !s.lacksDocument())
	s.checkReady()
}

func (s *State) lacksDocument() bool {
	for _, wanted := range s.documents.wanted {
		if !wanted.unreadable {
			return true
		}
	}
	return false
}

// hasDocuments reports whether this instance has learned which documents are
// accepted and got their bodies. Until then it can't tell an unknown service
// from a missing document. It stays true: a new version that is still being
// fetched does not stop the service of the one in force.
func (s *State) hasDocuments() bool { return s.documents.complete }
