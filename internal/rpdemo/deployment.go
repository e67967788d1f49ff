package rpdemo

import (
	"fmt"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Deployment describes a deployment and its size.
type Deployment struct {
	Name     string
	Domains  []rpcore.FailureDomain
	Services []Service
	// LoadsPerSecond is the rate at which the weight store starts loads,
	// LoadsAtOnce the number of loads that it serves at full speed.
	LoadsPerSecond float64
	LoadsAtOnce    int
}

// Service describes one service of a deployment.
type Service struct {
	Name     string
	Engines  int
	Models   int
	Adapters int
	// PlainEndpoints is the number of endpoints for the routes /charge and
	// /status. A request to /charge must not run twice.
	PlainEndpoints int
}

// The deployments that docs/design.md describes.
var (
	Snoepschep = Deployment{
		Name:    "snoepschep",
		Domains: []rpcore.FailureDomain{"nl-west-1", "nl-west-2", "nl-west-3"},
		Services: []Service{
			{Name: "mixadvies", Engines: 20, Models: 80, Adapters: 100},
			{Name: "bestelbalie", Engines: 3, Models: 20, Adapters: 20, PlainEndpoints: 3},
		},
		LoadsPerSecond: 12,
		LoadsAtOnce:    4,
	}
	Office = Deployment{
		Name:    "office",
		Domains: []rpcore.FailureDomain{"cz-stred-1", "cz-stred-2", "cz-stred-3"},
		Services: []Service{
			{Name: "kodovac", Engines: 10, Models: 40, Adapters: 50},
			{Name: "sber", Engines: 3, Models: 10, Adapters: 10, PlainEndpoints: 3},
		},
		LoadsPerSecond: 6,
		LoadsAtOnce:    4,
	}
)

// ByName returns the deployment with the given name.
func ByName(name string) (Deployment, bool) {
	for _, deployment := range []Deployment{Snoepschep, Office} {
		if deployment.Name == name {
			return deployment, true
		}
	}
	return Deployment{}, false
}

// maxReplicas is the limit of replicas of each model in the documents of the demo.
const maxReplicas = 2

func modelName(i int) string { return fmt.Sprintf("model-%03d", i) }

func adapterName(i int) string { return fmt.Sprintf("adapter-%03d", i) }

func checkpointName(service string, model string) string {
	return "weights/" + service + "/" + model + "/1"
}

// documentText returns the document of the service as TOML. editor is the hash of
// the editor's credential.
func (s Service) documentText(editor string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "format = 1\nservice = %q\nteam = %q\neditors = [%q]\n\n", s.Name, s.Name, editor)
	fmt.Fprintf(&b, "[spend]\naccelerators = %d\n\n", s.Engines*modelsPerEngine)
	b.WriteString("[ranks.urgent]\ntarget = \"500ms\"\ndeadline = \"20s\"\nworth = 100\nfloor = 0.1\n\n")
	b.WriteString("[ranks.normal]\ntarget = \"2s\"\ndeadline = \"30s\"\nworth = 10\nfloor = 0.1\n\n")
	b.WriteString("[ranks.background]\ntarget = \"30s\"\ndeadline = \"60s\"\nworth = 1\nfloor = 0.1\n\n")
	for i := range s.Models {
		name := modelName(i)
		fmt.Fprintf(&b, "[[models]]\nname = %q\nversion = \"1\"\ncheckpoint = %q\n", name, checkpointName(s.Name, name))
		fmt.Fprintf(&b, "memory = %q\nmax_replicas = %d\nrank = %q\n\n", modelMemory, maxReplicas, "normal")
	}
	for i := range s.Adapters {
		name := adapterName(i)
		fmt.Fprintf(&b, "[[adapters]]\nname = %q\nversion = \"1\"\nbase_model = %q\n", name, modelName(i%s.Models))
		fmt.Fprintf(&b, "checkpoint = %q\nmemory = \"256MiB\"\n\n", checkpointName(s.Name, name))
	}
	if s.PlainEndpoints > 0 {
		b.WriteString("[[routes]]\npath_prefix = \"/charge\"\nmethods = [\"POST\"]\nrepeatable = false\nrank = \"urgent\"\n\n")
		b.WriteString("[[routes]]\npath_prefix = \"/status\"\nmethods = [\"GET\"]\nrepeatable = true\n")
	}
	return []byte(b.String())
}
