package rpdocument

func (d *differ) diffModels(old, doc *Document) {
	for i := range doc.Models {
		now := &doc.Models[i]
		if was, ok := old.Model(now.Name); ok {
			d.diffModel(was, now)
			continue
		}
		d.addChange("Model %s is new: version %s, at most %s of %s.",
			now.Name, now.Version, formatCount(now.MaxReplicas, "replica"), now.Memory)
		if now.WarmReplicas > 0 {
			d.addWarning("%s without requests.", stayLoadedText(now.WarmReplicas))
		}
	}
	for i := range old.Models {
		if _, ok := doc.Model(old.Models[i].Name); !ok {
			d.addChange("Model %s is removed.", old.Models[i].Name)
			d.addWarning("Its replicas are unloaded, and its requests are refused as unknown_model.")
		}
	}
}

func (d *differ) diffModel(was, now *Model) {
	subject := "Model " + now.Name
	reload := "Loaded replicas are unloaded. Requests wait until the new version is loaded."
	if addIfChanged(d, subject, "version %s", was.Version, now.Version) {
		d.addWarning("%s", reload)
	}
	if addIfChanged(d, subject, "checkpoint %s", was.Checkpoint, now.Checkpoint) {
		d.addWarning("%s", reload)
	}
	if addIfChanged(d, subject, "memory %s", was.Memory, now.Memory) {
		d.addWarning("The new amount holds for replicas that are loaded from now on.")
	}
	if addIfChanged(d, subject, "accelerators of one replica %d", was.Accelerators, now.Accelerators) {
		d.addWarning("The new number holds for replicas that are loaded from now on.")
	}
	d.diffReplicaLimits(subject, was, now)
	addIfChanged(d, subject, "rank %s", was.Rank, now.Rank)
	if was.SingleRun != now.SingleRun {
		d.diffSingleRun(subject, now.SingleRun)
	}
}

func (d *differ) diffReplicaLimits(subject string, was, now *Model) {
	if was.MaxReplicas != now.MaxReplicas {
		d.addChange("%s: at most %s, was %d.", subject, formatCount(now.MaxReplicas, "replica"), was.MaxReplicas)
		if now.MaxReplicas < was.MaxReplicas {
			d.addWarning("Replicas above %d are unloaded.", now.MaxReplicas)
		}
	}
	if was.WarmReplicas == now.WarmReplicas {
		return
	}
	d.addChange("%s: %s, was %d.", subject, formatCount(now.WarmReplicas, "warm replica"), was.WarmReplicas)
	if now.WarmReplicas > was.WarmReplicas {
		d.addWarning("%s without requests.", stayLoadedText(now.WarmReplicas))
	} else {
		d.addWarning("Idle replicas may be unloaded. The next request may wait for a cold start.")
	}
}

func stayLoadedText(replicas int) string {
	if replicas == 1 {
		return "1 replica stays loaded"
	}
	return formatCount(replicas, "replica") + " stay loaded"
}

func (d *differ) diffSingleRun(subject string, now bool) {
	if now {
		d.addChange("%s: a request runs at most once. Before, it could be repeated.", subject)
		d.addWarning("Requests without the header Idempotency-Key are refused.")
		return
	}
	d.addChange("%s: a request may be repeated. Before, it ran at most once.", subject)
	d.addWarning("A request whose fate is unknown is sent again, so it may run twice.")
}

func (d *differ) diffAdapters(old, doc *Document) {
	for i := range doc.Adapters {
		now := &doc.Adapters[i]
		if was, ok := old.Adapter(now.Name); ok {
			d.diffAdapter(was, now)
			continue
		}
		d.addChange("Adapter %s is new: version %s of base model %s.", now.Name, now.Version, now.BaseModel)
	}
	for i := range old.Adapters {
		if _, ok := doc.Adapter(old.Adapters[i].Name); !ok {
			d.addChange("Adapter %s is removed.", old.Adapters[i].Name)
			d.addWarning("It is unloaded, and its requests are refused as unknown_model.")
		}
	}
}

func (d *differ) diffAdapter(was, now *Adapter) {
	subject := "Adapter " + now.Name
	reload := "The loaded adapter is unloaded. Requests wait until the new one is loaded."
	if addIfChanged(d, subject, "version %s", was.Version, now.Version) {
		d.addWarning("%s", reload)
	}
	if addIfChanged(d, subject, "base model %s", was.BaseModel, now.BaseModel) {
		d.addWarning("%s", reload)
	}
	if addIfChanged(d, subject, "checkpoint %s", was.Checkpoint, now.Checkpoint) {
		d.addWarning("%s", reload)
	}
	addIfChanged(d, subject, "memory %s", was.Memory, now.Memory)
	addIfChanged(d, subject, "rank %s", was.Rank, now.Rank)
}
