// Package rpdocument holds the service document: the one file in which a team
// declares the models, adapters and routes of its service, the ranks of its
// work and what the service may spend.
//
// # Usage
//
//	doc, problems := rpdocument.Parse(body)
//	if len(problems) > 0 {
//		return problems
//	}
//	model, ok := doc.Model("bag-small")
//
// Parse reports every problem of a document at once, each with its line, its
// key, what is wrong and what to write instead. A document that Parse accepts
// is within all bounds of this package, so no later step has to check sizes
// again. Optional keys that the document lacks have their defaults.
//
// Diff says in sentences what a new document changes and what the change
// costs:
//
//	for _, change := range rpdocument.Diff(accepted, doc) {
//		fmt.Println(change)
//	}
package rpdocument

// Document is the accepted form of one service document.
type Document struct {
	// Format is the version of the document format, now 1.
	Format  int    `toml:"format"`
	Service string `toml:"service"`
	Team    string `toml:"team"`
	// Editors and Callers hold SHA-256 sums (hex) of credentials. An empty
	// Callers allows every caller.
	Editors  []string  `toml:"editors"`
	Callers  []string  `toml:"callers"`
	Spend    Spend     `toml:"spend"`
	Ranks    RankSet   `toml:"ranks"`
	Models   []Model   `toml:"models"`
	Adapters []Adapter `toml:"adapters"`
	Routes   []Route   `toml:"routes"`
}

// Spend bounds what a service may use.
type Spend struct {
	// Accelerators is the number of accelerators in use at once.
	Accelerators int `toml:"accelerators"`
	// AcceleratorHoursPerDay bounds the sum over a day (UTC).
	AcceleratorHoursPerDay float64 `toml:"accelerator_hours_per_day"`
}

// RankSet holds the policy of each rank.
type RankSet struct {
	Urgent     RankPolicy `toml:"urgent"`
	Normal     RankPolicy `toml:"normal"`
	Background RankPolicy `toml:"background"`
}

// RankPolicy says what a rank is promised.
type RankPolicy struct {
	// Target is the time to the first token that the team aims at.
	Target Duration `toml:"target"`
	// Deadline is the time after which an answer is of no use, for requests
	// that name none.
	Deadline Duration `toml:"deadline"`
	// Worth weighs one request of this rank against others.
	Worth float64 `toml:"worth"`
	// Floor is the share of dispatches, 0 to 1, that the rank keeps when
	// another rank exceeds the capacity. The floors sum up to at most 1.
	Floor float64 `toml:"floor"`
	// QueueLimit bounds the requests of the rank that wait at one instance.
	QueueLimit int `toml:"queue_limit"`
}

// Model declares a base model.
type Model struct {
	Name       string `toml:"name"`
	Version    string `toml:"version"`
	Checkpoint string `toml:"checkpoint"`
	// Memory is the accelerator memory of one replica.
	Memory Bytes `toml:"memory"`
	// Accelerators is the number of accelerators of one replica.
	Accelerators int `toml:"accelerators"`
	// MaxReplicas bounds the loaded replicas over all failure domains.
	MaxReplicas int `toml:"max_replicas"`
	// WarmReplicas are kept loaded without requests.
	WarmReplicas int `toml:"warm_replicas"`
	// Rank is the rank of requests that name none.
	Rank Rank `toml:"rank"`
	// SingleRun marks a model whose requests are not idempotent. The zero
	// value means that a request may be repeated.
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
	// PathPrefix is matched below /services/{service}; the longest match
	// wins.
	PathPrefix string   `toml:"path_prefix"`
	Methods    []string `toml:"methods"`
	// Repeatable says that a request may be sent again when its fate is
	// unknown. The zero value, not repeatable, is the safe one.
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

// Rank returns the policy of a rank; an unset rank has that of RankNormal.
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
