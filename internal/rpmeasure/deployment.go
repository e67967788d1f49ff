package rpmeasure

import (
	"fmt"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Service describes the size of one service and the parts of its document that
// the measures vary.
type Service struct {
	Name                      string
	Engines, Models, Adapters int
	// ModelMemory is in GiB.
	ModelMemory, MaxReplicas int
	Warm                     int
	Accelerators             int
	// Urgent, Normal and Background are the TOML bodies of the ranks; empty
	// means the defaults below.
	Urgent, Normal, Background string
}

// Deployment describes the size of a deployment in docs/design.md.
type Deployment struct {
	Name      string
	Instances int
	// Delay is the one-way network delay between failure domains.
	Delay time.Duration
	// StartsPerSecond limits the load starts at the weight store.
	StartsPerSecond float64
	Services        []Service
}

// Ranks of a document, with the values of the embedded default document.
const (
	urgentRank     = "target = \"560ms\"\ndeadline = \"20s\"\nworth = 100\nfloor = 0.1\n"
	normalRank     = "target = \"2s\"\ndeadline = \"30s\"\nworth = 10\nfloor = 0.1\n"
	backgroundRank = "target = \"30s\"\ndeadline = \"60s\"\nworth = 1\nfloor = 0.1\n"
)

// The deployments of docs/design.md. It gives two numbers of instances for the
// office; the smaller one is used.
var (
	Snoepschep = Deployment{
		Name: "snoepschep", Instances: 9, Delay: 1500 * time.Microsecond, StartsPerSecond: 12,
		Services: []Service{
			{Name: "mixadvies", Engines: 20, Models: 80, Adapters: 100, ModelMemory: 16, MaxReplicas: 3, Accelerators: 100},
			{Name: "bestelbalie", Engines: 3, Models: 20, Adapters: 20, ModelMemory: 16, MaxReplicas: 3, Accelerators: 15},
		},
	}
	Office = Deployment{
		Name: "office", Instances: 6, Delay: 500 * time.Microsecond, StartsPerSecond: 6,
		Services: []Service{
			{Name: "kodovac", Engines: 10, Models: 40, Adapters: 50, ModelMemory: 16, MaxReplicas: 3, Accelerators: 50},
			{Name: "sber", Engines: 3, Models: 10, Adapters: 10, ModelMemory: 16, MaxReplicas: 3, Accelerators: 15},
		},
	}
)

const engineMemoryGiB = 80

func domain(i int) rpcore.FailureDomain { return rpcore.FailureDomain(fmt.Sprint("fd", i%3+1)) }

func modelName(i int) string { return fmt.Sprintf("m%03d", i) }

func checkpoint(key rpcore.ModelKey) string { return "weights/" + key.String() }

// models returns all models of a deployment in the order of its services.
func (d Deployment) models() []rpcore.ModelKey {
	var keys []rpcore.ModelKey
	for _, s := range d.Services {
		for i := range s.Models {
			keys = append(keys, rpcore.ModelKey{Service: s.Name, Name: modelName(i)})
		}
	}
	return keys
}

// document returns the body of the document of a service.
func (s Service) document() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "format = 1\nservice = %q\nteam = %q\neditors = [%q]\n", s.Name, s.Name, strings.Repeat("0", 64))
	fmt.Fprintf(&b, "[spend]\naccelerators = %d\n", s.Accelerators)
	ranks := []string{"urgent", s.Urgent, urgentRank, "normal", s.Normal, normalRank, "background", s.Background, backgroundRank}
	for i := 0; i < len(ranks); i += 3 {
		text := ranks[i+1]
		if text == "" {
			text = ranks[i+2]
		}
		fmt.Fprintf(&b, "[ranks.%s]\n%s", ranks[i], text)
	}
	for i := range s.Models {
		key := rpcore.ModelKey{Service: s.Name, Name: modelName(i)}
		fmt.Fprintf(&b, "[[models]]\nname = %q\nversion = \"1\"\ncheckpoint = %q\n", key.Name, checkpoint(key))
		fmt.Fprintf(&b, "memory = \"%dGiB\"\nmax_replicas = %d\nwarm_replicas = %d\n", s.ModelMemory, s.MaxReplicas, s.Warm)
	}
	for i := range s.Adapters {
		key := rpcore.ModelKey{Service: s.Name, Name: fmt.Sprintf("a%03d", i)}
		fmt.Fprintf(&b, "[[adapters]]\nname = %q\nversion = \"1\"\nbase_model = %q\n", key.Name, modelName(i%s.Models))
		fmt.Fprintf(&b, "checkpoint = %q\nmemory = \"256MiB\"\n", checkpoint(key))
	}
	return []byte(b.String())
}
