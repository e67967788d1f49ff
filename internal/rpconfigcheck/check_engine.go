package rpconfigcheck

import (
	"fmt"

	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

func (c *checker) checkServices() {
	names := map[string]int{}
	for i := range c.file.Services {
		service, path := &c.file.Services[i], rpwire.IndexPath(rpwire.FieldServices, i)
		c.checkName(path, service.Name, names)
		c.services[service.Name] = true
		if service.Engine != nil {
			c.checkEngine(service.Engine, rpwire.FieldPath(path, rpwire.FieldEngine))
		}
	}
}

func (c *checker) checkEngine(engine *rpwire.FileEngine, path string) {
	if len(engine.Models) > 0 && engine.LoadsPerSecond == 0 {
		c.report(rpwire.FieldPath(path, rpwire.FieldLoadsPerSecond), CodeContradiction, "The engines have models to load, but the loads per second are missing or 0.",
			"Write how many loads the weight store allows in a second.")
	}
	names := map[string]int{}
	for i := range engine.Models {
		model, modelPath := &engine.Models[i], rpwire.IndexPath(rpwire.FieldPath(path, rpwire.FieldModels), i)
		c.checkName(modelPath, model.Name, names)
		memoryPath := rpwire.FieldPath(modelPath, rpwire.FieldMemory)
		adapter := 0.0
		if model.Adapters > 0 {
			adapter = model.AdapterMemory
		}
		switch {
		case model.Memory > engine.Memory:
			c.report(memoryPath, CodeModelTooLarge, fmt.Sprintf("Model %q needs %g MB, but an engine has %g MB.", model.Name, model.Memory, engine.Memory), "Correct one of the two sizes, or remove the model.")
		case model.Memory+adapter > engine.Memory:
			c.report(memoryPath, CodeModelTooLarge, fmt.Sprintf("Model %q needs %g MB with one adapter, but an engine has %g MB.", model.Name, model.Memory+adapter, engine.Memory),
				"Correct one of the sizes, or remove the adapters.")
		}
		if model.Adapters > engine.AdapterSlots {
			c.report(rpwire.FieldPath(modelPath, rpwire.FieldAdapters), CodeContradiction,
				fmt.Sprintf("Model %q has %d adapters, but an engine has %d places for adapters.", model.Name, model.Adapters, engine.AdapterSlots), "Write fewer adapters or more places.")
		}
	}
}
