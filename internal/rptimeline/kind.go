package rptimeline

import "fmt"

// Kind is the kind of event or effect that an entry records.
type Kind uint8

// The kinds of entries. Their names in kinds are stable, their numbers are not.
const (
	KindNote Kind = iota
	KindInstanceStarted
	KindRequestArrived
	KindRequestAbandoned
	KindRequestRefused
	KindOutcomeReplayed
	KindAttemptStarted
	KindFirstToken
	KindAttemptEnded
	KindAttemptCanceled
	KindOrderSent
	KindOrderAnswered
	KindEngineUnreachable
	KindEngineReachable
	KindListUnavailable
	KindTableWriteSent
	KindTableWriteDone
	KindTableReadFailed
	KindDocumentLoaded
	KindDocumentSubmitted
	KindSubmissionAnswered
	KindMessageSent
	KindMessageReceived
	KindPeerLost
	KindReadyChanged
	KindDrainRequested
	KindDrained
	KindRequestRejected
	kindCount
)

// KindInfo describes a kind.
type KindInfo struct {
	// Name is the stable name in the JSON format.
	Name string
	Part Part
	// Sentence says what happened. The fields of the entry identify the
	// request, engine or peer.
	Sentence string
}

var kinds = [kindCount]KindInfo{
	KindNote:               {"note", PartNode, "The instance noted something."},
	KindInstanceStarted:    {"instance_started", PartNode, "The instance started."},
	KindRequestArrived:     {"request_arrived", PartRequests, "A request arrived."},
	KindRequestAbandoned:   {"request_abandoned", PartRequests, "The caller is gone."},
	KindRequestRefused:     {"request_refused", PartRequests, "The request was refused."},
	KindOutcomeReplayed:    {"outcome_replayed", PartClaims, "The caller got the recorded answer of an earlier request."},
	KindAttemptStarted:     {"attempt_started", PartRequests, "An attempt at an endpoint started."},
	KindFirstToken:         {"first_token", PartRequests, "The first byte of the answer went to the caller."},
	KindAttemptEnded:       {"attempt_ended", PartRequests, "The attempt ended."},
	KindAttemptCanceled:    {"attempt_canceled", PartRequests, "The instance canceled the attempt."},
	KindOrderSent:          {"order_sent", PartReplicas, "An order was sent to an engine."},
	KindOrderAnswered:      {"order_answered", PartReplicas, "The order ended."},
	KindEngineUnreachable:  {"engine_unreachable", PartMembers, "The engine gave no report."},
	KindEngineReachable:    {"engine_reachable", PartMembers, "The engine reported."},
	KindListUnavailable:    {"list_unavailable", PartPlatform, "The instance list could not be read."},
	KindTableWriteSent:     {"table_write_sent", PartPlatform, "A write to the table was sent."},
	KindTableWriteDone:     {"table_write_done", PartPlatform, "The write to the table ended."},
	KindTableReadFailed:    {"table_read_failed", PartPlatform, "The table could not be read."},
	KindDocumentLoaded:     {"document_loaded", PartDocuments, "The body of a document was read."},
	KindDocumentSubmitted:  {"document_submitted", PartDocuments, "An operator submitted a document."},
	KindSubmissionAnswered: {"submission_answered", PartDocuments, "The operator got the outcome of the submission."},
	KindMessageSent:        {"message_sent", PartPeer, "A message was sent to another instance."},
	KindMessageReceived:    {"message_received", PartPeer, "A message of another instance arrived."},
	KindPeerLost:           {"peer_lost", PartPeer, "The link to another instance broke."},
	KindReadyChanged:       {"ready_changed", PartNode, "The answer of /readyz changed."},
	KindDrainRequested:     {"drain_requested", PartNode, "A planned stop began."},
	KindDrained:            {"drained", PartNode, "All work of the planned stop is finished."},
	KindRequestRejected:    {"request_rejected", PartRequests, "The HTTP interface refused the request."},
}

// Kinds returns the description of all kinds.
func Kinds() []KindInfo { return kinds[:] }

// Info returns the description of a kind.
func (k Kind) Info() KindInfo {
	if k >= kindCount {
		return kinds[KindNote]
	}
	return kinds[k]
}

func (k Kind) String() string { return k.Info().Name }

// MarshalText encodes the kind by name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes a kind. An unknown name, such as one of a newer
// version, becomes KindNote.
func (k *Kind) UnmarshalText(text []byte) error {
	*k = KindNote
	for i := range kinds {
		if kinds[i].Name == string(text) {
			*k = Kind(i)
		}
	}
	return nil
}

// Part is the part of the program that an entry belongs to. The names are those
// of the parts in the log.
type Part uint8

// The parts of the program.
const (
	PartNode Part = iota
	PartRequests
	PartReplicas
	PartDocuments
	PartMembers
	PartClaims
	PartPeer
	PartPlatform
)

var partNames = [...]string{"node", "requests", "replicas", "documents", "members", "claims", "peer", "platform"}

func (p Part) String() string {
	if int(p) >= len(partNames) {
		return partNames[PartNode]
	}
	return partNames[p]
}

// ParsePart returns the part with the given name.
func ParsePart(name string) (Part, error) {
	for i := range partNames {
		if partNames[i] == name {
			return Part(i), nil
		}
	}
	return PartNode, UnknownPartError{Name: name}
}

// UnknownPartError reports a name that is not the name of a part.
type UnknownPartError struct {
	Name string
}

func (e UnknownPartError) Error() string {
	return fmt.Sprintf("%q is not a part: write one of %v", e.Name, partNames)
}

// MarshalText encodes the part by name.
func (p Part) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes a part.
func (p *Part) UnmarshalText(text []byte) error {
	parsed, err := ParsePart(string(text))
	*p = parsed
	return err
}

// Parts returns all parts.
func Parts() []Part {
	parts := make([]Part, len(partNames))
	for i := range parts {
		parts[i] = Part(i)
	}
	return parts
}
