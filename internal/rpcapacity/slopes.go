package rpcapacity

import (
	"encoding/json"
	"os"

	"github.com/gravitational/trace"
)

// Slopes are the measured costs. Times are processor time on one core in
// nanoseconds.
type Slopes struct {
	// MeasuredAt is the date of the measurement, in the form 2006-01-02.
	MeasuredAt string `json:"measured_at"`
	// Machine names the processor.
	Machine string `json:"machine"`

	RequestNS       Slope `json:"request_ns"`
	HeartbeatInNS   Slope `json:"heartbeat_in_ns"`
	HeartbeatTickNS Slope `json:"heartbeat_tick_ns"`
	ReportOwnNS     Slope `json:"report_own_ns"`
	ReportShareNS   Slope `json:"report_share_ns"`
	ListSameNS      Slope `json:"list_same_ns"`
	ListChangedNS   Slope `json:"list_changed_ns"`

	// StateBytes is the heap size of a State for several numbers of engines. Its
	// documents have the models and adapters of the design size.
	StateBytes []Point `json:"state_bytes"`

	HeartbeatBytes   float64 `json:"heartbeat_bytes"`
	ReportShareBytes float64 `json:"report_share_bytes"`
	DemandBytes      float64 `json:"demand_bytes"`
	NoticeBytes      float64 `json:"notice_bytes"`
	ReportPollBytes  float64 `json:"report_poll_bytes"`
	ListEntryBytes   float64 `json:"list_entry_bytes"`

	// RelayTokenNS is an upper bound for the processor time of one relayed token:
	// it includes the time of the endpoint and the caller in the same process.
	RelayTokenNS float64 `json:"relay_token_ns"`
}

// Slope is the cost of one event at two sizes of the deployment.
type Slope struct {
	Today  float64 `json:"at_23_engines"`
	Design float64 `json:"at_12000_engines"`
}

// Point is a measured value for a number of engines.
type Point struct {
	Engines int     `json:"engines"`
	Value   float64 `json:"value"`
}

// Load reads slopes from a file.
func Load(file string) (Slopes, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return Slopes{}, trace.Wrap(err)
	}
	var slopes Slopes
	if err := json.Unmarshal(body, &slopes); err != nil {
		return Slopes{}, trace.Wrap(err)
	}
	return slopes, nil
}

// Store writes slopes to a file.
func (s Slopes) Store(file string) error {
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(file, append(body, '\n'), 0o644))
}
