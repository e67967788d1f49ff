package rpfleet

import (
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Demand is what an instance tells the planner. Times are durations, since the
// clocks of instances differ. The messages are arrays on the wire, without the
// names of their fields: bytes between failure domains are dear.
type Demand struct {
	_ struct{} `cbor:",toarray"`

	Instance rpcore.InstanceID
	// StoreAge is the time since the instance has read the store.
	StoreAge time.Duration
	// Full says that Rates, InFlight and Avoid are set. Demands in between only
	// tell new needs.
	Full bool
	// Epoch and Seen are those of the last placement that arrived, so that the
	// answer holds only what has changed since.
	Epoch          uint64
	SeenChange     uint64
	SeenListChange uint64
	Rates          []ModelRate
	Needs          []Need
	InFlight       []EndpointLoad
	Ejected        []rpcore.EndpointID
}

// ModelRate is the rate at which requests for a model arrive, in requests in
// 1000 seconds over a short and a long time.
type ModelRate struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Model   string
	Fast    int
	Slow    int
}

// Need says that requests wait for a model or an adapter of it.
type Need struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Model   string
	Adapter string
	Waiting int
	// Waited is the sum of the times that they have waited.
	Waited time.Duration
	// Rank is that of the most urgent request.
	Rank int
}

// EndpointLoad is the number of attempts at an endpoint, by model.
type EndpointLoad struct {
	_ struct{} `cbor:",toarray"`

	Endpoint rpcore.EndpointID
	Model    string
	Count    int
}

// Placement is the planner's answer to a demand.
type Placement struct {
	_ struct{} `cbor:",toarray"`

	// IsPlanner is false where the asked instance is not the planner.
	IsPlanner bool
	// ReleasedEpoch is the epoch of a lease that the asked instance held and will use
	// no more, or 0.
	ReleasedEpoch uint64
	// RecentOrders holds the engines that may have got an order under that lease
	// lately.
	RecentOrders []RecentOrder
	// Epoch is that of the planner's lease, and Change counts what it changed.
	Epoch     uint64
	Change    uint64
	Instances int
	// Engines holds what was ordered lately and may not be in the list yet.
	Engines []EngineContent
	// Others holds the attempts of all other instances. It is set in the answer
	// to a full demand, as HasOthers says.
	HasOtherLoad bool
	OtherLoad    []EndpointLoad
	// Expected says when the models that the demand needs will be loaded.
	Expected []ExpectedModel
	// List tells the changes of the list of endpoints.
	List ListChanges
	// WeightLimit is the number of loads from the weight store at full speed that
	// the planner has learned.
	WeightLimit float64
	// ConfigVersion is the version of the configuration that the planner has.
	ConfigVersion uint64
	// CheckStore asks the instance to try whether it reaches the store.
	CheckStore bool
}

// EngineContent is what an engine holds after a number of orders.
type EngineContent struct {
	_ struct{} `cbor:",toarray"`

	Endpoint    rpcore.EndpointID
	Incarnation rpcore.Incarnation
	Sequence    uint64
	Models      []PlacedModel
	// Unloaded names what was unloaded lately.
	Unloaded []string
}

// PlacedModel is a model that an engine holds or is loading.
type PlacedModel struct {
	_ struct{} `cbor:",toarray"`

	Name    string
	Version string
	ReadyIn time.Duration
	// Adapters holds the time until each adapter is ready.
	Adapters map[string]time.Duration
}

// ExpectedModel says when a model will be loaded somewhere.
type ExpectedModel struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Model   string
	ReadyIn time.Duration
}
