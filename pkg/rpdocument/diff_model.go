package rpdocument

func (d *differ) models(old, doc *Document) {
	for i := range doc.Models {
		now := &doc.Models[i]
		if was, ok := old.Model(now.Name); ok {
			d.model(was, now)
			continue
		}
		d.say("Model %s is new: version %s, at most %s of %s.",
			now.Name, now.Version, count(now.MaxReplicas, "replica"), now.Memory)
		if now.WarmReplicas > 0 {
			d.warn("%s without requests.", keepLoaded(now.WarmReplicas))
		}
	}
	for i := range old.Models {
		if _, ok := doc.Model(old.Models[i].Name); !ok {
			d.say("Model %s is removed.", old.Models[i].Name)
			d.warn("Its replicas are unloaded, and its requests are refused as unknown_model.")
		}
	}
}

func (d *differ) model(was, now *Model) {
	subject := "Model " + now.Name
	reload := "Loaded replicas are unloaded. Requests wait until the new version is loaded."
	if changed(d, subject, "version %s", was.Version, now.Version) {
		d.warn("%s", reload)
	}
	if changed(d, subject, "checkpoint %s", was.Checkpoint, now.Checkpoint) {
		d.warn("%s", reload)
	}
	if changed(d, subject, "memory %s", was.Memory, now.Memory) {
		d.warn("The new amount holds for replicas that are loaded from now on.")
	}
	if changed(d, subject, "accelerators of one replica %d", was.Accelerators, now.Accelerators) {
		d.warn("The new number holds for replicas that are loaded from now on.")
	}
	d.modelReplicas(subject, was, now)
	changed(d, subject, "rank %s", was.Rank, now.Rank)
	if was.SingleRun != now.SingleRun {
		d.singleRun(subject, now.SingleRun)
	}
}

func (d *differ) modelReplicas(subject string, was, now *Model) {
	if was.MaxReplicas != now.MaxReplicas {
		d.say("%s: at most %s, was %d.", subject, count(now.MaxReplicas, "replica"), was.MaxReplicas)
		if now.MaxReplicas < was.MaxReplicas {
			d.warn("Replicas above %d are unloaded.", now.MaxReplicas)
		}
	}
	if was.WarmReplicas == now.WarmReplicas {
		return
	}
	d.say("%s: %s, was %d.", subject, count(now.WarmReplicas, "warm replica"), was.WarmReplicas)
	if now.WarmReplicas > was.WarmReplicas {
		d.warn("%s without requests.", keepLoaded(now.WarmReplicas))
	} else {
		d.warn("Idle replicas may be unloaded. The next request may wait for a cold start.")
	}
}

func keepLoaded(replicas int) string {
	if replicas == 1 {
		return "1 replica stays loaded"
	}
	return count(replicas, "replica") + " stay loaded"
}

func (d *differ) singleRun(subject string, now bool) {
	if now {
		d.say("%s: a request runs at most once. Before, it could be repeated.", subject)
		d.warn("Requests without the header Idempotency-Key are refused.")
		return
	}
	d.say("%s: a request may be repeated. Before, it ran at most once.", subject)
	d.warn("A request whose fate is unknown is sent again, so it may run twice.")
}

func (d *differ) adapters(old, doc *Document) {
	for i := range doc.Adapters {
		now := &doc.Adapters[i]
		if was, ok := old.Adapter(now.Name); ok {
			d.adapter(was, now)
			continue
		}
		d.say("Adapter %s is new: version %s of base model %s.", now.Name, now.Version, now.BaseModel)
	}
	for i := range old.Adapters {
		if _, ok := doc.Adapter(old.Adapters[i].Name); !ok {
			d.say("Adapter %s is removed.", old.Adapters[i].Name)
			d.warn("It is unloaded, and its requests are refused as unknown_model.")
		}
	}
}

func (d *differ) adapter(was, now *Adapter) {
	subject := "Adapter " + now.Name
	reload := "The loaded adapter is unloaded. Requests wait until the new one is loaded."
	if changed(d, subject, "version %s", was.Version, now.Version) {
		d.warn("%s", reload)
	}
	if changed(d, subject, "base model %s", was.BaseModel, now.BaseModel) {
		d.warn("%s", reload)
	}
	if changed(d, subject, "checkpoint %s", was.Checkpoint, now.Checkpoint) {
		d.warn("%s", reload)
	}
	changed(d, subject, "memory %s", was.Memory, now.Memory)
	changed(d, subject, "rank %s", was.Rank, now.Rank)
}
