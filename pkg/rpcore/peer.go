package rpcore

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// PeerMessage is a message between instances. Exactly one of the pointers is
// set. A receiver ignores a message of a kind that it does not know, so newer
// versions can add kinds.
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

// DocumentVersion identifies a version of a document.
type DocumentVersion struct {
	Service string `cbor:"service"`
	Version uint64 `cbor:"version"`
}

// Heartbeat is sent to the peers of an instance at regular intervals.
type Heartbeat struct {
	Identity
	Leaving bool `cbor:"leaving"`
	// Answer is set in a reply to a heartbeat. A reply gets no reply itself.
	Answer bool `cbor:"answer,omitempty"`
	// Digest is a hash over the versions of all documents in force. Documents
	// lists these versions; it is sent only if the digest in the last heartbeat
	// of the receiver differs.
	Digest    uint64            `cbor:"digest"`
	Documents []DocumentVersion `cbor:"documents,omitempty"`
	// HasDocuments is set if the sender has all documents that it knows to be
	// accepted. A receiver with the same documents may then serve callers.
	HasDocuments bool `cbor:"has_documents,omitempty"`
	// LeavingEndpoints lists the endpoints that the sender knows to be leaving.
	LeavingEndpoints []LeavingNotice `cbor:"leaving_endpoints,omitempty"`
	// GoneInstances lists the incarnations that the instance list proved to the
	// sender to be over.
	GoneInstances []Identity `cbor:"gone_instances,omitempty"`
	// Operators is the sender's address for operators. It is sent in the first
	// heartbeats and then every operatorsRepeatInterval. Older versions never
	// send it.
	Operators netip.AddrPort `cbor:"operators,omitzero"`
}

// DocumentPush announces a version of a document. Without Body it is a notice,
// and a receiver that lacks the version requests it. Bodies are large and most
// peers hear of a change from several others, so they are sent on request only.
type DocumentPush struct {
	DocumentRow
	Body []byte `cbor:"body,omitempty"`
}

// DocumentRequest asks a peer for the documents of services, in the versions
// that the peer has in force.
type DocumentRequest struct {
	Services []string `cbor:"services"`
}

// Demand tells the home of a model that requests are waiting for a replica.
type Demand struct {
	Model   ModelKey        `cbor:"model"`
	Adapter string          `cbor:"adapter,omitempty"`
	Rank    rpdocument.Rank `cbor:"rank"`
	Waiting int             `cbor:"waiting"`
	// Oldest is the waiting time of the oldest waiting request.
	Oldest        time.Duration `cbor:"oldest"`
	FailureDomain FailureDomain `cbor:"failure_domain"`
}

// DemandAnswer says that the home is handling a demand and when it expects a
// replica.
type DemandAnswer struct {
	Model    ModelKey      `cbor:"model"`
	Adapter  string        `cbor:"adapter,omitempty"`
	Expected time.Duration `cbor:"expected"`
	// Refusal is set if no replica can be provided, and says why.
	Refusal *rpverdict.Refusal `cbor:"refusal,omitempty"`
}

// ReportShare passes on a report of an engine that the sender polls.
type ReportShare struct {
	Report EngineReport `cbor:"report"`
}

// ReplicaNotice announces that an engine confirmed the load of a model or
// adapter. Requests at other instances may be waiting for it, and reports lag.
type ReplicaNotice struct {
	Endpoint    EndpointID  `cbor:"endpoint"`
	Incarnation Incarnation `cbor:"incarnation"`
	Loaded      LoadedModel `cbor:"loaded"`
}

// LeavingEvidence is the kind of evidence behind a LeavingNotice.
type LeavingEvidence string

// The kinds of evidence. The zero value is definite: the instance list or the
// endpoint itself said that the endpoint is leaving. It holds for the rest of
// the incarnation.
const (
	// LeavingRefused: a connection was refused. It holds until a report with a
	// higher sequence is known that was taken after the refusal. An instance
	// that knows of a report with a higher sequence that was taken before the
	// refusal repeats the refusal with the sequence of that report.
	LeavingRefused LeavingEvidence = "refused"
	// LeavingRefuted: the endpoint made the report with this sequence after it
	// had refused a connection. A receiver ignores it if it knows of a refusal
	// after that report.
	LeavingRefuted LeavingEvidence = "refuted"
)

// LeavingNotice announces that an incarnation of an endpoint is leaving or
// gone, or that an earlier notice is refuted.
type LeavingNotice struct {
	Endpoint    EndpointID      `cbor:"endpoint"`
	Incarnation Incarnation     `cbor:"incarnation"`
	Evidence    LeavingEvidence `cbor:"evidence,omitempty"`
	// Sequence is the sequence of the newest report that the sender knows of.
	// It is zero for definite evidence.
	Sequence uint64 `cbor:"sequence,omitempty"`
	// Age is the time since the evidence: the refused connection, the report or
	// the definite evidence. It adds up the times by the clocks of the
	// instances that passed the notice on, without the time in transit.
	// Receivers use it to tell a refusal that has ended from a new one. It also
	// ends the repetition of notices by instances that receive them from each
	// other. Older versions send it in heartbeats only; a missing age is 0.
	Age time.Duration `cbor:"age,omitempty"`
}

// TicketKind is the kind of load that a ticket admits.
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

// TicketGrant admits a load for the duration of Lease. Another TicketRequest
// with the same nonce renews it.
type TicketGrant struct {
	Nonce Nonce         `cbor:"nonce"`
	Lease time.Duration `cbor:"lease"`
	// Wait is the predicted wait of a queued load. Lease is then 0 and the load
	// may not start yet.
	Wait time.Duration `cbor:"wait,omitempty"`
}

// TicketRelease reports the end of a load.
type TicketRelease struct {
	Nonce Nonce `cbor:"nonce"`
}
