// Package rpdocument defines the service document: the file in which a team
// declares the models, adapters and routes of its service, the policy of each
// rank and the accelerators that the service may use.
//
// # Usage
//
//	doc, problems := rpdocument.Parse(body)
//	if len(problems) > 0 {
//		return problems
//	}
//	model, ok := doc.Model("bag-small")
//
// Parse reports all problems of a document at once. Each has a line, a key, a
// sentence about what is wrong and a sentence about what to write instead. A
// document that Parse accepts is within all bounds of this package, so later
// steps don't have to check sizes again. Parse sets the optional keys that the
// document lacks to their defaults.
//
// Diff describes in sentences what a new document changes, with a warning for
// each change that has negative effects:
//
//	for _, change := range rpdocument.Diff(accepted, doc) {
//		fmt.Println(change)
//	}
package rpdocument

// Document is a decoded service document.
type Document struct {
	// Format is the version of the document format, now 1.
	Format  int    `toml:"format"`
	Service string `toml:"service"`
	Team    string `toml:"team"`
	// Editors and Callers contain SHA-256 sums (hex) of the credentials that
	// may change the document and that may send requests. If Callers is empty,
	// every caller is allowed.
	Editors  []string  `toml:"editors"`
	Callers  []string  `toml:"callers"`
	Spend    Spend     `toml:"spend"`
	Ranks    RankSet   `toml:"ranks"`
	Models   []Model   `toml:"models"`
	Adapters []Adapter `toml:"adapters"`
	Routes   []Route   `toml:"routes"`
}

// Spend limits the accelerators that a service may use.
type Spend struct {
	// Accelerators is the maximum number of accelerators in use at once.
	Accelerators int `toml:"accelerators"`
	// AcceleratorHoursPerDay is the maximum number of accelerator hours in one
	// day (UTC).
	AcceleratorHoursPerDay float64 `toml:"accelerator_hours_per_day"`
}

// RankSet contains the policy of each rank.
type RankSet struct {
	Urgent     RankPolicy `toml:"urgent"`
	Normal     RankPolicy `toml:"normal"`
	Background RankPolicy `toml:"background"`
}

// RankPolicy states how the requests of a rank are treated.
type RankPolicy struct {
	// Target is the intended time to the first token.
	Target Duration `toml:"target"`
	// Deadline is the time after which an answer is useless. It applies to
	// requests that state no timeout.
	Deadline Duration `toml:"deadline"`
	// Worth is the weight of one request of this rank relative to requests of
	// other ranks.
	Worth float64 `toml:"worth"`
	// Floor is the share of dispatches, from 0 to 1, that the rank keeps if
	// the requests of other ranks exceed the capacity. The sum of the three
	// floors is at most 1.
	Floor float64 `toml:"floor"`
	// QueueLimit is the maximum number of requests of the rank that wait at one
	// instance.
	QueueLimit int `toml:"queue_limit"`
}

// Model declares a base model.
type Model struct {
	Name       string `toml:"name"`
	Version    string `toml:"version"`
	Checkpoint string `toml:"checkpoint"`
	// Memory is the accelerator memory that one replica needs.
	Memory Bytes `toml:"memory"`
	// Accelerators is the number of accelerators that one replica uses.
	Accelerators int `toml:"accelerators"`
	// MaxReplicas is the maximum number of loaded replicas in all failure
	// domains together.
	MaxReplicas int `toml:"max_replicas"`
	// WarmReplicas is the number of replicas that stay loaded without requests.
	WarmReplicas int `toml:"warm_replicas"`
	// Rank is the rank of requests that give no rank.
	Rank Rank `toml:"rank"`
	// SingleRun means that a request to the model is not idempotent and runs at
	// most once. The zero value means that a request may be repeated.
	SingleRun bool `toml:"single_run"`
}

// Adapter declares a LoRA adapter of a base model of the same service.
type Adapter struct {
	Name       string `toml:"name"`
	Version    string `toml:"version"`
	BaseModel  string `toml:"base_model"`
	Checkpoint string `toml:"checkpoint"`
	Memory     Bytes  `toml:"memory"`
	Rank       Rank   `toml:"rank"`
}

// Route declares a path of a plain service.
type Route struct {
	// PathPrefix is matched with the path below /services/{service}. If several
	// prefixes match, the longest applies.
	PathPrefix string   `toml:"path_prefix"`
	Methods    []string `toml:"methods"`
	// Repeatable means that a request may be sent again if it is unknown whether
	// it ran. The zero value, not repeatable, is the safe one.
	Repeatable bool `toml:"repeatable"`
	Rank       Rank `toml:"rank"`
}

// Model returns the model with the given name.
func (d *Document) Model(name string) (*Model, bool) {
	for i := range d.Models {
		if d.Models[i].Name == name {
			return &d.Models[i], true
		}
	}
	return nil, false
}

// Adapter returns the adapter with the given name.
func (d *Document) Adapter(name string) (*Adapter, bool) {
	for i := range d.Adapters {
		if d.Adapters[i].Name == name {
			return &d.Adapters[i], true
		}
	}
	return nil, false
}

// Rank returns the policy of a rank. RankUnset and unknown values have the
// policy of RankNormal.
func (d *Document) Rank(rank Rank) *RankPolicy {
	switch rank {
	case RankUrgent:
		return &d.Ranks.Urgent
	case RankBackground:
		return &d.Ranks.Background
	default:
		return &d.Ranks.Normal
	}
}
