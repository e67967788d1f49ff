package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// RowKind is the kind of a row in the platform's table.
type RowKind string

// The kinds.
const (
	RowDocument RowKind = "document"
	RowModel    RowKind = "model"
	RowEngine   RowKind = "engine"
	RowClaim    RowKind = "claim"
	RowSpend    RowKind = "spend"
)

// RowKey identifies a row.
type RowKey struct {
	Kind RowKind
	// Service is empty for an engine row.
	Service string
	// Name is the model, the engine or the idempotency key. It is empty for a
	// document row and a spend row.
	Name string
}

// Row is a row as it was read from the table.
type Row struct {
	Key RowKey
	// Version increases by one with each write of the row.
	Version uint64
	// Nonce is the nonce of the last write.
	Nonce Nonce
	RowBody
}

// RowBody is the content of a row. Exactly one of the pointers is set,
// according to RowKey.Kind.
type RowBody struct {
	Document *DocumentRow `cbor:"document,omitempty"`
	Model    *ModelRow    `cbor:"model,omitempty"`
	Engine   *EngineRow   `cbor:"engine,omitempty"`
	Claim    *ClaimRow    `cbor:"claim,omitempty"`
	Spend    *SpendRow    `cbor:"spend,omitempty"`
}

// RowWrite is a conditional write of one row within a transaction. It gives the
// row the version ExpectVersion+1.
type RowWrite struct {
	Key RowKey
	// ExpectVersion is the version that the row must have for the write to
	// succeed. 0 means that the row must not exist.
	ExpectVersion uint64
	Nonce         Nonce
	// Delete removes the row. RowBody is then ignored.
	Delete bool
	RowBody
}

// DocumentRow identifies the accepted body of a service's document. The row
// version equals the document version.
type DocumentRow struct {
	Service    string    `cbor:"service" json:"service"`
	Version    uint64    `cbor:"version" json:"version"`
	Hash       string    `cbor:"hash" json:"hash"`
	Editor     string    `cbor:"editor" json:"editor"`
	AcceptedAt time.Time `cbor:"accepted_at" json:"accepted_at"`
	// Submission is the id of the submission that was accepted as this version.
	Submission string `cbor:"submission" json:"submission"`
	// History lists up to DocumentHistoryLimit earlier versions, the newest
	// first. If the answer to a submission was lost and another operator's
	// version was accepted since, the submission is found here.
	History []AcceptedVersion `cbor:"history,omitempty" json:"history,omitempty"`
}

// DocumentHistoryLimit is the maximum number of earlier versions in a document
// row.
const DocumentHistoryLimit = 20

// AcceptedVersion is an earlier accepted version of a document.
type AcceptedVersion struct {
	Version    uint64    `cbor:"version" json:"version"`
	Hash       string    `cbor:"hash" json:"hash"`
	Editor     string    `cbor:"editor" json:"editor"`
	AcceptedAt time.Time `cbor:"accepted_at" json:"accepted_at"`
	Submission string    `cbor:"submission" json:"submission"`
}

// SlotState is the state of a replica slot.
type SlotState string

// The states.
const (
	// SlotReserved: the load order may not have been sent yet, may be in
	// transit, or may have been carried out.
	SlotReserved SlotState = "reserved"
	// SlotSettled: the owner has the answer to its load order, so no copy of
	// the order can still arrive.
	SlotSettled SlotState = "settled"
	// SlotUnloading: the replica is being unloaded and gets no new requests.
	SlotUnloading SlotState = "unloading"
)

// Slot is the right to have one model or adapter loaded on one engine. It takes
// up memory of the engine and, for a model, counts as one replica of the model.
// It is released only when there is evidence that the load order can't take
// effect any more and that the engine does not have the model loaded.
type Slot struct {
	// Nonce identifies the slot.
	Nonce             Nonce            `cbor:"nonce"`
	Engine            EndpointID       `cbor:"engine"`
	EngineIncarnation Incarnation      `cbor:"engine_incarnation"`
	Model             ModelKey         `cbor:"model"`
	Version           string           `cbor:"version"`
	BaseModel         string           `cbor:"base_model,omitempty"`
	Owner             InstanceID       `cbor:"owner"`
	OwnerIncarnation  Incarnation      `cbor:"owner_incarnation"`
	Fence             uint64           `cbor:"fence"`
	Memory            rpdocument.Bytes `cbor:"memory"`
	State             SlotState        `cbor:"state"`
	// OrderDead is set if the load order can't take effect any more, in any
	// State: its owner has received the answer or has withdrawn the order.
	OrderDead  bool      `cbor:"order_dead"`
	ReservedAt time.Time `cbor:"reserved_at"`
}

// ModelRow holds the replica slots of a model in all failure domains.
type ModelRow struct {
	Slots []Slot `cbor:"slots"`
	// Freed is the time on FreedDay (UTC) for which released slots were
	// reserved, summed over these slots.
	FreedDay time.Time     `cbor:"freed_day"`
	Freed    time.Duration `cbor:"freed,omitempty"`
}

// SpendRow is the accelerator time that a service used on one day, summed over
// the rows of its models. The home of the service writes it once per
// spendInterval while the service uses accelerators.
type SpendRow struct {
	// Day is the start of the day (UTC).
	Day       time.Time `cbor:"day"`
	CountedAt time.Time `cbor:"counted_at"`
	// Used is the accelerator time of Day until CountedAt. Accelerators is the
	// number of accelerators in use at CountedAt.
	Used         time.Duration `cbor:"used"`
	Accelerators int           `cbor:"accelerators"`
	// Models lists the models that used accelerators on Day, ordered by name.
	Models []ModelSpend `cbor:"models"`
}

// ModelSpend is the accelerator time that a model used on one day.
type ModelSpend struct {
	Name string `cbor:"name"`
	// Accelerators is the number of accelerators of one replica.
	Accelerators int           `cbor:"accelerators"`
	Used         time.Duration `cbor:"used"`
}

// EngineRow holds the fencing counter and the slots of an engine. The slot of a
// model is stored both here and in its ModelRow, the slot of an adapter only
// here.
type EngineRow struct {
	// Fence is the highest fencing number issued for this engine, over all its
	// incarnations.
	Fence uint64 `cbor:"fence"`
	Slots []Slot `cbor:"slots"`
}

// ClaimState is the state of a claimed request.
type ClaimState string

// The states.
const (
	// ClaimOpen: the owner may dispatch the request or has dispatched it.
	ClaimOpen ClaimState = "open"
	// ClaimFinished: the outcome is recorded.
	ClaimFinished ClaimState = "finished"
	// ClaimUncertain: the attempt ended without an answer, and the request may
	// have run.
	ClaimUncertain ClaimState = "uncertain"
	// ClaimReleased: the request ended and no attempt can have run. The next
	// request with the key may claim the row, if it still has this version.
	ClaimReleased ClaimState = "released"
)

// ClaimRow records which instance may run a request that may run only once. The
// owner does not change before the claim is released.
type ClaimRow struct {
	Owner            InstanceID        `cbor:"owner"`
	OwnerIncarnation Incarnation       `cbor:"owner_incarnation"`
	Request          RequestID         `cbor:"request"`
	Fingerprint      string            `cbor:"fingerprint"`
	State            ClaimState        `cbor:"state"`
	Verdict          rpverdict.Verdict `cbor:"verdict"`
	Outcome          *Outcome          `cbor:"outcome,omitempty"`
	ClaimedAt        time.Time         `cbor:"claimed_at"`
	// ExpiresAt is the time from which the platform may remove the row.
	ExpiresAt time.Time `cbor:"expires_at"`
}
