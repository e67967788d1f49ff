package rpfleet

import (
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Demand is what an instance reports to the planner. Times are durations, since the
// clocks of instances differ. On the wire, all these messages are arrays
// without field names, because traffic between failure domains is expensive.
// Fields must not be reordered.
type Demand struct {
	_ struct{} `cbor:",toarray"`

	Instance rpcore.InstanceID
	// StoreAge is the time since the instance last got an answer from the
	// store.
	StoreAge time.Duration
	// Full says that Rates, InFlight and Ejected are set. Other demands only
	// carry Needs; the planner keeps the rest of the last full one.
	Full bool
	// Epoch, SeenChange and SeenListChange come from the last placement that
	// arrived. The answer contains only later changes.
	Epoch          uint64
	SeenChange     uint64
	SeenListChange uint64
	Rates          []ModelRate
	Needs          []Need
	// InFlight counts the attempts of the instance.
	InFlight []EndpointLoad
	// Ejected contains the endpoints that the instance has ejected.
	Ejected []rpcore.EndpointID
	// Extension follows the demand on the wire as an item of its own, which
	// earlier versions of the program skip.
	Extension DemandExtension `cbor:"-"`
	// Evidence follows Extension in the same way.
	Evidence CrashEvidence `cbor:"-"`
	// Load follows Evidence in the same way. It is nil if the instance sent none.
	Load *LoadReport `cbor:"-"`
}

// DemandExtension is the part of a full demand that earlier versions of the program
// don't know.
type DemandExtension struct {
	_ struct{} `cbor:",toarray"`

	// Leaving contains the endpoints that told this instance that they are
	// leaving, until the planner knows.
	Leaving []LeavingEndpoint
	// HeldOff contains the endpoints that hold the instance off for longer than a
	// load takes.
	HeldOff []rpcore.EndpointID
}

// ModelRate is the arrival rate of requests for a model, in requests per 1000
// seconds, over a short (Fast) and a long (Slow) time.
type ModelRate struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Model   string
	Fast    int
	Slow    int
}

// Need says that requests wait for a model, or for an adapter of it.
type Need struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Model   string
	Adapter string
	Waiting int
	// Waited is the total time that the requests have waited.
	Waited time.Duration
	// Rank is the rank of the most urgent request.
	Rank int
}

// EndpointLoad is the number of attempts in progress at an endpoint, by model and
// adapter. Weights is a result of weightsName, or "" for other requests and in sums.
type EndpointLoad struct {
	_ struct{} `cbor:",toarray"`

	Endpoint rpcore.EndpointID
	Weights  string
	Count    int
}

// weightsName returns the name of a model, or of an adapter of it.
func weightsName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// modelAndAdapter returns what weightsName was made of.
func (l *EndpointLoad) modelAndAdapter() (model, adapter string) {
	model, adapter, _ = strings.Cut(l.Weights, "/")
	return model, adapter
}

// Placement is the planner's answer to a demand.
type Placement struct {
	_ struct{} `cbor:",toarray"`

	// IsPlanner is false if the asked instance is not the planner. Only
	// ReleasedEpoch and RecentOrders are set then.
	IsPlanner bool
	// ReleasedEpoch is the epoch of the last lease that the asked instance held
	// and stopped using, or 0.
	ReleasedEpoch uint64
	// RecentOrders contains the engines that may have got an order under that
	// lease lately.
	RecentOrders []RecentOrder
	// Epoch is the epoch of the planner's lease. Change is the number of the
	// last change that the planner made to an engine.
	Epoch  uint64
	Change uint64
	// Instances is the number of instances that the planner knows.
	Instances int
	// Engines contains the engines whose last change the list may not show yet.
	Engines []EngineContent
	// OtherLoad is the load of all other instances. HasOtherLoad says that
	// OtherLoad is set, as it is in the answer to a full demand.
	HasOtherLoad bool
	OtherLoad    []EndpointLoad
	// Expected is when the needed models will be loaded.
	Expected []ExpectedModel
	// List contains the changes of the list of endpoints.
	List ListChanges
	// WeightLimit is the learned number of concurrent loads from the weight
	// store at full speed.
	WeightLimit float64
	// ConfigVersion is the version of the planner's configuration, or 0 if the
	// planner does not know whether there is a newer one.
	ConfigVersion uint64
	// CheckStore asks the instance to check whether it reaches the store.
	CheckStore bool
	// Quarantine follows the placement on the wire as an item of its own, which
	// earlier versions of the program skip. It is nil if the planner sent none.
	Quarantine *Quarantine `cbor:"-"`
	// Load follows Quarantine in the same way. It is nil if the planner sent none.
	Load *LoadSummary `cbor:"-"`
	// Store follows Load in the same way. It is nil if the store tells no era.
	Store *StoreState `cbor:"-"`
}

// StoreState is the era of the store that a planner's answer is based on. The revisions
// in List are numbers of that era.
type StoreState struct {
	_ struct{} `cbor:",toarray"`

	Era uint64
	// ConfigRevision is the revision at which the planner last read its configuration.
	ConfigRevision Revision
}

// EngineContent is what an engine holds after it has accepted Sequence orders.
type EngineContent struct {
	_ struct{} `cbor:",toarray"`

	Endpoint    rpcore.EndpointID
	Incarnation rpcore.Incarnation
	Sequence    uint64
	Models      []PlacedModel
	// Unloaded contains the models and adapters that were unloaded lately, as
	// results of unloadKey.
	Unloaded []string
}

// PlacedModel is a model that an engine holds or is loading.
type PlacedModel struct {
	_ struct{} `cbor:",toarray"`

	Name    string
	Version string
	ReadyIn time.Duration
	// Adapters is the time until each adapter is ready.
	Adapters map[string]time.Duration
}

// ExpectedModel is the time until a model is loaded on some engine.
type ExpectedModel struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Model   string
	ReadyIn time.Duration
}

// LoadReport is what an instance reports of its load. Earlier versions of the program
// don't send it; then nothing is known.
type LoadReport struct {
	_ struct{} `cbor:",toarray"`

	// Process identifies the process of the instance, whose counters start at zero.
	Process uint64
	// Accounts contains the accounts in use.
	Accounts []rpaccount.Usage
	Engines  []EngineObservation
}

// EngineObservation describes an instance's attempts at an engine since its last
// report.
type EngineObservation struct {
	_ struct{} `cbor:",toarray"`

	Endpoint rpcore.EndpointID
	Samples  int
	// Speed is 1000 for an engine as fast as its service.
	Speed int
	// Prefill is the number of prompt tokens that were sent and are not read yet.
	Prefill int
}

// LoadSummary is the planner's answer to a LoadReport.
type LoadSummary struct {
	_ struct{} `cbor:",toarray"`

	// ConfigAge is the time since Placement.ConfigVersion was known to be the newest
	// version. It is negative if that is not known.
	ConfigAge time.Duration
	// Accounts contains the accounts of the report.
	Accounts []rpaccount.Summary
	Engines  []EngineSummary
}

// EngineSummary is what all instances observed of an engine.
type EngineSummary struct {
	_ struct{} `cbor:",toarray"`

	Endpoint rpcore.EndpointID
	// Speed is 1000 for an engine as fast as its service.
	Speed int
	// Prefill is the number of prompt tokens that the other instances sent and that
	// are not read yet.
	Prefill int
}
