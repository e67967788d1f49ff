package rpcore

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// RowKind names a kind of row in the platform's table.
type RowKind string

// The kinds.
const (
	RowDocument RowKind = "document"
	RowModel    RowKind = "model"
	RowEngine   RowKind = "engine"
	RowClaim    RowKind = "claim"
	RowSpend    RowKind = "spend"
)

// RowKey names one row.
type RowKey struct {
	Kind RowKind
	// Service is empty for an engine row.
	Service string
	// Name is the model, the engine or the idempotency key; it is empty for
	// a document row and a spend row.
	Name string
}

// Row is one row as it was read. Exactly one of the pointers is set,
// according to Key.Kind.
type Row struct {
	Key RowKey
	// Version grows by one with each write of the row.
	Version uint64
	// Nonce is that of the last write.
	Nonce Nonce
	RowBody
}

// RowBody is the content of a row. Exactly one of the pointers is set.
type RowBody struct {
	Document *DocumentRow `cbor:"document,omitempty"`
	Model    *ModelRow    `cbor:"model,omitempty"`
	Engine   *EngineRow   `cbor:"engine,omitempty"`
	Claim    *ClaimRow    `cbor:"claim,omitempty"`
	Spend    *SpendRow    `cbor:"spend,omitempty"`
}

// RowWrite is one conditional put of a transaction. The write gives the row
// the version ExpectVersion+1.
type RowWrite struct {
	Key RowKey
	// ExpectVersion is the version that the row must have; 0 means that the
	// row must not exist.
	ExpectVersion uint64
	Nonce         Nonce
	// Delete removes the row in place of writing Body.
	Delete bool
	RowBody
}

// DocumentRow says which body of a service document is accepted. Its version
// as a row is the version of the document.
type DocumentRow struct {
	Service    string    `cbor:"service" json:"service"`
	Version    uint64    `cbor:"version" json:"version"`
	Hash       string    `cbor:"hash" json:"hash"`
	Editor     string    `cbor:"editor" json:"editor"`
	AcceptedAt time.Time `cbor:"accepted_at" json:"accepted_at"`
	// Submission is the id of the accepting submission.
	Submission string `cbor:"submission" json:"submission"`
	// History lists earlier versions, the newest first, at most
	// DocumentHistoryLimit. A submitter whose answer was lost finds its own
	// submission here after another operator accepted a later version.
	History []AcceptedVersion `cbor:"history,omitempty" json:"history,omitempty"`
}

// DocumentHistoryLimit bounds the earlier versions that a document row names.
const DocumentHistoryLimit = 20

// AcceptedVersion is an earlier version of a document.
type AcceptedVersion struct {
	Version    uint64    `cbor:"version" json:"version"`
	Hash       string    `cbor:"hash" json:"hash"`
	Editor     string    `cbor:"editor" json:"editor"`
	AcceptedAt time.Time `cbor:"accepted_at" json:"accepted_at"`
	Submission string    `cbor:"submission" json:"submission"`
}

// SlotState says how far a replica slot is.
type SlotState string

// The states.
const (
	// SlotReserved: the load order may be sent, be under way, or have been
	// carried out.
	SlotReserved SlotState = "reserved"
	// SlotSettled: the owner has the answer to its load order, so no copy of
	// the order can arrive any more.
	SlotSettled SlotState = "settled"
	// SlotUnloading: an unload order was decided on; nothing routes here.
	SlotUnloading SlotState = "unloading"
)

// Slot is the right to have one model or adapter loaded on one engine. It
// takes memory of the engine and, for a model, one replica of the model until
// there is evidence that the load order can't take effect any more and the
// engine does not have the model.
type Slot struct {
	// Nonce names the slot.
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
	// OrderDead says that the load order can't take effect any more, whatever
	// State is: its owner has the answer, or withdrew it.
	OrderDead  bool      `cbor:"order_dead"`
	ReservedAt time.Time `cbor:"reserved_at"`
}

// ModelRow holds the replica slots of a model over all failure domains.
type ModelRow struct {
	Slots []Slot `cbor:"slots"`
	// Freed is the time of the day FreedDay (UTC) for which slots that were
	// freed since had been reserved, summed over them.
	FreedDay time.Time     `cbor:"freed_day"`
	Freed    time.Duration `cbor:"freed,omitempty"`
}

// SpendRow is the count of the accelerator time that a service used on one
// day. It sums up the rows of the models; the home of the service writes it
// once a spendInterval while the service uses accelerators.
type SpendRow struct {
	// Day is the begin of the day (UTC).
	Day       time.Time `cbor:"day"`
	CountedAt time.Time `cbor:"counted_at"`
	// Used is the accelerator time of Day until CountedAt, and Accelerators
	// the accelerators in use then.
	Used         time.Duration `cbor:"used"`
	Accelerators int           `cbor:"accelerators"`
	// Models holds the models with time on Day, ordered by name.
	Models []ModelSpend `cbor:"models"`
}

// ModelSpend is the accelerator time that a model used on one day.
type ModelSpend struct {
	Name string `cbor:"name"`
	// Accelerators is the number of accelerators of one replica.
	Accelerators int           `cbor:"accelerators"`
	Used         time.Duration `cbor:"used"`
}

// EngineRow holds the fencing counter and the reservations of an engine. A
// slot of a model stands here and in its ModelRow; a slot of an adapter stands
// here only.
type EngineRow struct {
	// Fence is the highest fencing number handed out for this engine, over
	// all its incarnations.
	Fence uint64 `cbor:"fence"`
	Slots []Slot `cbor:"slots"`
}

// ClaimState says how far a claimed request is.
type ClaimState string

// The states.
const (
	// ClaimOpen: the owner may dispatch the request, or has done so.
	ClaimOpen ClaimState = "open"
	// ClaimFinished: the outcome is recorded.
	ClaimFinished ClaimState = "finished"
	// ClaimUncertain: the attempt ended without an answer and may have run.
	ClaimUncertain ClaimState = "uncertain"
	// ClaimReleased: the request ended and no attempt can have run, so the
	// next request with the key may claim this version of the row.
	ClaimReleased ClaimState = "released"
)

// ClaimRow says who may run a request that may run only once. It never passes
// to another owner before it is released.
type ClaimRow struct {
	Owner            InstanceID        `cbor:"owner"`
	OwnerIncarnation Incarnation       `cbor:"owner_incarnation"`
	Request          RequestID         `cbor:"request"`
	Fingerprint      string            `cbor:"fingerprint"`
	State            ClaimState        `cbor:"state"`
	Verdict          rpverdict.Verdict `cbor:"verdict"`
	Outcome          *Outcome          `cbor:"outcome,omitempty"`
	ClaimedAt        time.Time         `cbor:"claimed_at"`
	// ExpiresAt is the time after which the platform may remove the row.
	ExpiresAt time.Time `cbor:"expires_at"`
}
