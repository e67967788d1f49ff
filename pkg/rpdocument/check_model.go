package rpdocument

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
)

func (c checker) checkModels() {
	rptoml.CheckCount(c.report, "models", len(c.doc.Models), MaxModels)
	seen := map[string]int{}
	for i := range c.doc.Models {
		key := fmt.Sprintf("models[%d]", i)
		c.checkModel(key, &c.doc.Models[i])
		c.checkUniqueName(key+".name", c.doc.Models[i].Name, seen)
	}
	// A request selects models and adapters by the same field, so a model and
	// an adapter can't have the same name.
	for i := range c.doc.Adapters {
		c.checkUniqueName(fmt.Sprintf("adapters[%d].name", i), c.doc.Adapters[i].Name, seen)
	}
}

// checkUniqueName checks that no earlier model or adapter has the name. A
// missing or empty name is reported by checkName.
func (c checker) checkUniqueName(key, name string, seen map[string]int) {
	if name != "" {
		c.checkUnique(key, name, "name", seen, name)
	}
}

func (c checker) checkModel(key string, model *Model) {
	c.checkName(key+".name", model.Name, `"bag-small"`)
	c.checkName(key+".version", model.Version, `"1"`)
	c.checkCheckpoint(key+".checkpoint", model.Checkpoint)
	c.checkMemory(key+".memory", model.Memory)
	c.checkRankNotEmpty(key+".rank", model.Rank)
	rptoml.CheckRange(c.report, key+".accelerators", model.Accelerators, 1, MaxAccelerators)
	rptoml.Require(c.report, key+".max_replicas", "2")
	rptoml.CheckRange(c.report, key+".max_replicas", model.MaxReplicas, 1, MaxReplicas)
	rptoml.CheckRange(c.report, key+".warm_replicas", model.WarmReplicas, 0, MaxReplicas)
	if model.WarmReplicas > model.MaxReplicas && c.report.Valid(key+".max_replicas") {
		c.report.Add(key+".warm_replicas", rptoml.CodeContradiction,
			fmt.Sprintf("warm_replicas is %d, more than max_replicas, %d.", model.WarmReplicas, model.MaxReplicas),
			"Write at most max_replicas.")
	}
	if spend := c.doc.Spend.Accelerators; model.Accelerators > spend && c.report.Valid("spend.accelerators") {
		c.report.Add(key+".accelerators", rptoml.CodeContradiction,
			fmt.Sprintf("One replica takes %d accelerators, more than spend.accelerators, %d.", model.Accelerators, spend),
			"Write at most spend.accelerators, or raise that.")
	}
}

func (c checker) checkCheckpoint(key, checkpoint string) {
	rptoml.Require(c.report, key, `"weights/bag-small/1"`)
	if !c.report.Has(key) || (checkpoint != "" && len(checkpoint) <= MaxCheckpointLength && isPrintableASCII(checkpoint)) {
		return
	}
	c.report.Add(key, rptoml.CodeValueInvalid, "The value is not allowed as a checkpoint.",
		fmt.Sprintf("Write 1 to %d ASCII characters without spaces.", MaxCheckpointLength))
}

// isPrintableASCII reports whether text has only printable ASCII characters and
// no spaces.
func isPrintableASCII(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

func (c checker) checkMemory(key string, memory Bytes) {
	rptoml.Require(c.report, key, `"12GiB"`)
	rptoml.CheckRange(c.report, key, memory, 1, MaxMemory)
}

// checkRankNotEmpty reports a rank that is an empty string. If the key is
// missing, fillDefaults has set the default.
func (c checker) checkRankNotEmpty(key string, rank Rank) {
	if rank == RankUnset {
		c.report.Add(key, rptoml.CodeValueInvalid, "The rank is empty.", UnknownRankError{}.Fix())
	}
}

func (c checker) checkAdapters() {
	rptoml.CheckCount(c.report, "adapters", len(c.doc.Adapters), MaxAdapters)
	models := map[string]bool{}
	sound := c.report.Valid("models")
	for i := range c.doc.Models {
		models[c.doc.Models[i].Name] = true
		sound = sound && c.report.Valid(fmt.Sprintf("models[%d].name", i))
	}
	for i := range c.doc.Adapters {
		adapter, key := &c.doc.Adapters[i], fmt.Sprintf("adapters[%d]", i)
		c.checkName(key+".name", adapter.Name, `"bag-small-nl"`)
		c.checkName(key+".version", adapter.Version, `"1"`)
		c.checkName(key+".base_model", adapter.BaseModel, `"bag-small"`)
		c.checkCheckpoint(key+".checkpoint", adapter.Checkpoint)
		c.checkMemory(key+".memory", adapter.Memory)
		c.checkRankNotEmpty(key+".rank", adapter.Rank)
		if sound && !models[adapter.BaseModel] {
			c.report.Add(key+".base_model", rptoml.CodeBaseModelUnknown, fmt.Sprintf("The document declares no model %q.", rptoml.Shorten(adapter.BaseModel)),
				"Write the name of a model of this document, or declare the model.")
		}
	}
}

// Methods lists the HTTP methods that a route can have.
var Methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func (c checker) checkRoutes() {
	rptoml.CheckCount(c.report, "routes", len(c.doc.Routes), MaxRoutes)
	seen := map[string]int{}
	for i := range c.doc.Routes {
		route, key := &c.doc.Routes[i], fmt.Sprintf("routes[%d]", i)
		c.checkPath(key+".path_prefix", route.PathPrefix)
		c.checkRankNotEmpty(key+".rank", route.Rank)
		c.checkMethods(key+".methods", route, seen)
	}
}

func (c checker) checkMethods(key string, route *Route, seen map[string]int) {
	rptoml.Require(c.report, key, `["GET", "POST"]`)
	if c.report.Has(key) && len(route.Methods) == 0 {
		c.report.Add(key, rptoml.CodeListEmpty, "The list is empty.", "Write at least one method.")
	}
	for i, method := range route.Methods {
		entry := fmt.Sprintf("%s[%d]", key, i)
		if !slices.Contains(Methods, method) {
			c.report.Add(entry, rptoml.CodeValueInvalid, fmt.Sprintf("%q is not a method.", rptoml.Shorten(method)),
				fmt.Sprintf("Write one of: %s.", strings.Join(Methods, ", ")))
			continue
		}
		label := method + " " + route.PathPrefix
		c.checkUnique(entry, label, "route", seen, method+" "+strings.TrimSuffix(route.PathPrefix, "/"))
	}
}

func (c checker) checkPath(key, path string) {
	rptoml.Require(c.report, key, `"/orders"`)
	if !c.report.Has(key) || validPath(path) {
		return
	}
	c.report.Add(key, rptoml.CodeValueInvalid, fmt.Sprintf("%q is not allowed as a path prefix.", rptoml.Shorten(path)), fmt.Sprintf(
		"Write a path that begins with /, without spaces, ?, # or %%, without empty parts, . and .., of at most %d bytes.", MaxPathLength))
}

func validPath(path string) bool {
	if len(path) == 0 || len(path) > MaxPathLength || path[0] != '/' || !isPrintableASCII(path) || strings.ContainsAny(path, "?#%") {
		return false
	}
	for _, part := range strings.Split(strings.Trim(path, "/"), "/") {
		if part == "." || part == ".." || (part == "" && path != "/") {
			return false
		}
	}
	return !strings.HasSuffix(path, "//") && !strings.HasPrefix(path, "//")
}
