package rpdocument

func (d *differ) diffModels(old, doc *Document) {
	for i := range doc.Models {
		after := &doc.Models[i]
		if before, ok := old.Model(after.Name); ok {
			d.diffModel(before, after)
			continue
		}
		d.addChange("Model %s is new: version %s, at most %s of %s.",
			after.Name, after.Version, formatCount(after.MaxReplicas, "replica"), after.Memory)
		if after.WarmReplicas > 0 {
			d.addWarning("%s without requests.", stayLoadedText(after.WarmReplicas))
		}
	}
	for i := range old.Models {
		if _, ok := doc.Model(old.Models[i].Name); !ok {
			d.addChange("Model %s is removed.", old.Models[i].Name)
			d.addWarning("Its replicas are unloaded, and its requests are refused as unknown_model.")
		}
	}
}

func (d *differ) diffModel(before, after *Model) {
	subject := "Model " + after.Name
	reload := "Loaded replicas are unloaded. Requests wait until the new version is loaded."
	if addIfChanged(d, subject, "version %s", before.Version, after.Version) {
		d.addWarning("%s", reload)
	}
	if addIfChanged(d, subject, "checkpoint %s", before.Checkpoint, after.Checkpoint) {
		d.addWarning("%s", reload)
	}
	if addIfChanged(d, subject, "memory %s", before.Memory, after.Memory) {
		d.addWarning("The new amount holds for replicas that are loaded from now on.")
	}
	if addIfChanged(d, subject, "accelerators of one replica %d", before.Accelerators, after.Accelerators) {
		d.addWarning("The new number holds for replicas that are loaded from now on.")
	}
	d.diffReplicaLimits(subject, before, after)
	addIfChanged(d, subject, "rank %s", before.Rank, after.Rank)
	if before.SingleRun != after.SingleRun {
		d.diffSingleRun(subject, after.SingleRun)
	}
}

func (d *differ) diffReplicaLimits(subject string, before, after *Model) {
	if before.MaxReplicas != after.MaxReplicas {
		d.addChange("%s: at most %s, was %d.", subject, formatCount(after.MaxReplicas, "replica"), before.MaxReplicas)
		if after.MaxReplicas < before.MaxReplicas {
			d.addWarning("Replicas above %d are unloaded.", after.MaxReplicas)
		}
	}
	if before.WarmReplicas == after.WarmReplicas {
		return
	}
	d.addChange("%s: %s, was %d.", subject, formatCount(after.WarmReplicas, "warm replica"), before.WarmReplicas)
	if after.WarmReplicas > before.WarmReplicas {
		d.addWarning("%s without requests.", stayLoadedText(after.WarmReplicas))
	} else {
		d.addWarning("Idle replicas may be unloaded. The next request may wait for a cold start.")
	}
}

// stayLoadedText formats the beginning of a sentence, as in "2 replicas stay
// loaded".
func stayLoadedText(replicas int) string {
	if replicas == 1 {
		return "1 replica stays loaded"
	}
	return formatCount(replicas, "replica") + " stay loaded"
}

func (d *differ) diffSingleRun(subject string, singleRun bool) {
	if singleRun {
		d.addChange("%s: a request runs at most once. Before, it could be repeated.", subject)
		d.addWarning("Requests without the header Idempotency-Key are refused.")
		return
	}
	d.addChange("%s: a request may be repeated. Before, it ran at most once.", subject)
	d.addWarning("A request whose fate is unknown is sent again, so it may run twice.")
}

func (d *differ) diffAdapters(old, doc *Document) {
	for i := range doc.Adapters {
		after := &doc.Adapters[i]
		if before, ok := old.Adapter(after.Name); ok {
			d.diffAdapter(before, after)
			continue
		}
		d.addChange("Adapter %s is new: version %s of base model %s.", after.Name, after.Version, after.BaseModel)
	}
	for i := range old.Adapters {
		if _, ok := doc.Adapter(old.Adapters[i].Name); !ok {
			d.addChange("Adapter %s is removed.", old.Adapters[i].Name)
			d.addWarning("It is unloaded, and its requests are refused as unknown_model.")
		}
	}
}

func (d *differ) diffAdapter(before, after *Adapter) {
	subject := "Adapter " + after.Name
	reload := "The loaded adapter is unloaded. Requests wait until the new one is loaded."
	if addIfChanged(d, subject, "version %s", before.Version, after.Version) {
		d.addWarning("%s", reload)
	}
	if addIfChanged(d, subject, "base model %s", before.BaseModel, after.BaseModel) {
		d.addWarning("%s", reload)
	}
	if addIfChanged(d, subject, "checkpoint %s", before.Checkpoint, after.Checkpoint) {
		d.addWarning("%s", reload)
	}
	addIfChanged(d, subject, "memory %s", before.Memory, after.Memory)
	addIfChanged(d, subject, "rank %s", before.Rank, after.Rank)
}
