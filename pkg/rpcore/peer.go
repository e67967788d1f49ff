package rpcore

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// PeerMessage is a message between instances. Exactly one of the pointers is
// set. A receiver that knows none of the fields that are set ignores the
// message, so that a newer version can add kinds.
type PeerMessage struct {
	Heartbeat       *Heartbeat       `cbor:"heartbeat,omitempty"`
	DocumentPush    *DocumentPush    `cbor:"document_push,omitempty"`
	DocumentRequest *DocumentRequest `cbor:"document_request,omitempty"`
	Demand          *Demand          `cbor:"demand,omitempty"`
	DemandAnswer    *DemandAnswer    `cbor:"demand_answer,omitempty"`
	ReportShare     *ReportShare     `cbor:"report_share,omitempty"`
	ReplicaNotice   *ReplicaNotice   `cbor:"replica_notice,omitempty"`
	LeavingNotice   *LeavingNotice   `cbor:"leaving_notice,omitempty"`
	TicketRequest   *TicketRequest   `cbor:"ticket_request,omitempty"`
	TicketGrant     *TicketGrant     `cbor:"ticket_grant,omitempty"`
	TicketRelease   *TicketRelease   `cbor:"ticket_release,omitempty"`
}

// DocumentVersion names a version of a document.
type DocumentVersion struct {
	Service string `cbor:"service"`
	Version uint64 `cbor:"version"`
}

// Heartbeat is sent to every peer once a second.
type Heartbeat struct {
	Identity
	Leaving bool `cbor:"leaving"`
	// Answer marks the reply to a heartbeat of an instance outside the
	// sender's peer set; it gets no reply itself.
	Answer bool `cbor:"answer,omitempty"`
	// Digest is a hash over the versions of all documents in force. Documents
	// lists them; it is sent only when the last heartbeat of the receiver had
	// another digest.
	Digest    uint64            `cbor:"digest"`
	Documents []DocumentVersion `cbor:"documents,omitempty"`
	// HasDocuments says that the sender has all documents that it knows to be
	// accepted, so a receiver that has them too may serve.
	HasDocuments bool `cbor:"has_documents,omitempty"`
	// LeavingEndpoints lists endpoints that the sender knows to be leaving.
	LeavingEndpoints []LeavingNotice `cbor:"leaving_endpoints,omitempty"`
	// GoneInstances lists lifetimes that the list proved gone to the sender.
	GoneInstances []Identity `cbor:"gone_instances,omitempty"`
	// Operators is the sender's address for operators. It is sent in the first
	// heartbeats and then every operatorsInterval; older versions do not send
	// it.
	Operators netip.AddrPort `cbor:"operators,omitzero"`
}

// DocumentPush tells a peer of a document. Without Body it is a notice, and a
// receiver that lacks the version asks for it: most peers hear of a change
// from several others, and a body is large.
type DocumentPush struct {
	DocumentRow
	Body []byte `cbor:"body,omitempty"`
}

// DocumentRequest asks a peer for its version of documents.
type DocumentRequest struct {
	Services []string `cbor:"services"`
}

// Demand tells the home of a model that requests wait for a replica.
type Demand struct {
	Model   ModelKey        `cbor:"model"`
	Adapter string          `cbor:"adapter,omitempty"`
	Rank    rpdocument.Rank `cbor:"rank"`
	Waiting int             `cbor:"waiting"`
	// Oldest is the longest wait among them.
	Oldest        time.Duration `cbor:"oldest"`
	FailureDomain FailureDomain `cbor:"failure_domain"`
}

// DemandAnswer says that the home has taken up a demand, and when a replica
// is expected.
type DemandAnswer struct {
	Model    ModelKey      `cbor:"model"`
	Adapter  string        `cbor:"adapter,omitempty"`
	Expected time.Duration `cbor:"expected"`
	// Refusal says why no replica can come, where that is so.
	Refusal *rpverdict.Refusal `cbor:"refusal,omitempty"`
}

// ReportShare passes on a report of an engine that the sender polls.
type ReportShare struct {
	Report EngineReport `cbor:"report"`
}

// ReplicaNotice says that an engine answered that it has loaded a model or
// adapter. Requests at other instances wait for it, and reports lag.
type ReplicaNotice struct {
	Endpoint    EndpointID  `cbor:"endpoint"`
	Incarnation Incarnation `cbor:"incarnation"`
	Loaded      LoadedModel `cbor:"loaded"`
}

// LeavingEvidence says what a LeavingNotice rests on.
type LeavingEvidence string

// The kinds of evidence. The zero value is firm: the list or the endpoint
// itself said that it is leaving, and only a new incarnation ends that.
const (
	// LeavingRefused: a connection was refused. It holds until there is a
	// report with a higher sequence that was taken later. An instance that
	// knows of a report with a higher sequence that was taken earlier repeats
	// the refusal with that sequence.
	LeavingRefused LeavingEvidence = "refused"
	// LeavingRefuted: the endpoint reported with this sequence after a
	// connection had been refused. A receiver that knows of a refusal after
	// that report does not believe it.
	LeavingRefuted LeavingEvidence = "refuted"
)

// LeavingNotice says that an incarnation of an endpoint is leaving or gone, or
// that it is not, after all.
type LeavingNotice struct {
	Endpoint    EndpointID      `cbor:"endpoint"`
	Incarnation Incarnation     `cbor:"incarnation"`
	Evidence    LeavingEvidence `cbor:"evidence,omitempty"`
	// Sequence is that of the newest report that the sender knows to exist;
	// zero for firm evidence.
	Sequence uint64 `cbor:"sequence,omitempty"`
	// Age is the time since the refused connection, the report or the firm
	// evidence, by the clocks of the instances that passed it on and without
	// the time on the way. It tells a refusal that ended from a new one, and
	// ends the repetition of notices by instances that hear them from each
	// other. Older versions send it in heartbeats only; an absent age is 0.
	Age time.Duration `cbor:"age,omitempty"`
}

// TicketKind says what a ticket is for.
type TicketKind string

// The kinds.
const (
	// TicketWeights admits one load from the weight store.
	TicketWeights TicketKind = "weights"
	// TicketAdapter admits one adapter load.
	TicketAdapter TicketKind = "adapter"
)

// TicketRequest asks the load scheduler for permission to start a load.
type TicketRequest struct {
	Nonce   Nonce           `cbor:"nonce"`
	Kind    TicketKind      `cbor:"kind"`
	Rank    rpdocument.Rank `cbor:"rank"`
	Waiting int             `cbor:"waiting"`
}

// TicketGrant admits the load; it expires unless it is renewed by another
// TicketRequest with the same nonce.
type TicketGrant struct {
	Nonce Nonce         `cbor:"nonce"`
	Lease time.Duration `cbor:"lease"`
	// Wait is the predicted wait of a load that is queued; Lease is then 0
	// and the load may not start yet.
	Wait time.Duration `cbor:"wait,omitempty"`
}

// TicketRelease ends a load.
type TicketRelease struct {
	Nonce Nonce `cbor:"nonce"`
}
