package rpdocument

import (
	"fmt"
	"slices"
)

// Change is one difference between two documents.
type Change struct {
	// Text says what changes, in one sentence.
	Text string `json:"text"`
	// Warning says what the change costs; it is empty where it costs nothing.
	Warning string `json:"warning,omitempty"`
}

func (c Change) String() string {
	if c.Warning == "" {
		return c.Text
	}
	return c.Text + " Warning: " + c.Warning
}

// Diff says what a new document changes. An old document of nil stands for a
// service that is new.
func Diff(old, doc *Document) []Change {
	d := &differ{}
	if old == nil {
		d.addChange("Service %s is new.", doc.Service)
		old = &Document{Service: doc.Service, Team: doc.Team, Ranks: DefaultRanks(), Callers: doc.Callers}
	}
	d.diffService(old, doc)
	d.diffCredentials(old, doc)
	d.diffSpend(old.Spend, doc.Spend)
	for _, rank := range Ranks {
		d.diffRank(rank, old.Rank(rank), doc.Rank(rank))
	}
	d.diffModels(old, doc)
	d.diffAdapters(old, doc)
	d.diffRoutes(old, doc)
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) addChange(format string, args ...any) {
	d.changes = append(d.changes, Change{Text: fmt.Sprintf(format, args...)})
}

// addWarning adds a warning to the last change.
func (d *differ) addWarning(format string, args ...any) {
	d.changes[len(d.changes)-1].Warning = fmt.Sprintf(format, args...)
}

// addIfChanged says that a value changes, as in "Model a: at most 3 replicas, was
// 2.", and reports whether it does.
func addIfChanged[T comparable](d *differ, subject, format string, was, now T) bool {
	if was == now {
		return false
	}
	d.addChange("%s: "+format+", was %v.", subject, now, was)
	return true
}

func (d *differ) diffService(old, doc *Document) {
	if addIfChanged(d, "Service", "name %s", old.Service, doc.Service) {
		d.addWarning("A document can't rename its service.")
	}
	addIfChanged(d, "Service "+doc.Service, "team %s", old.Team, doc.Team)
}

// shortSum returns the part of a credential's sum that names it in messages.
func shortSum(sum string) string {
	return sum[:min(len(sum), 12)]
}

func (d *differ) diffCredentials(old, doc *Document) {
	added, removed := compareLists(old.Editors, doc.Editors)
	for _, sum := range added {
		d.addChange("Editor %s is added.", shortSum(sum))
	}
	for _, sum := range removed {
		d.addChange("Editor %s is removed.", shortSum(sum))
		d.addWarning("This credential can't change the document any more.")
	}
	d.diffCallers(old.Callers, doc.Callers)
}

func (d *differ) diffCallers(old, now []string) {
	added, removed := compareLists(old, now)
	for _, sum := range added {
		d.addChange("Caller %s is added.", shortSum(sum))
	}
	for _, sum := range removed {
		d.addChange("Caller %s is removed.", shortSum(sum))
		if len(now) > 0 {
			d.addWarning("Requests with this credential are refused.")
		}
	}
	switch {
	case len(old) == 0 && len(now) > 0:
		d.addChange("Only listed callers are allowed; every caller was allowed.")
		d.addWarning("Requests without a listed credential are refused.")
	case len(old) > 0 && len(now) == 0:
		d.addChange("Every caller is allowed; only listed callers were allowed.")
		d.addWarning("Requests need no credential any more.")
	}
}

func (d *differ) diffSpend(old, now Spend) {
	if addIfChanged(d, "Spend", "%d accelerators", old.Accelerators, now.Accelerators) && now.Accelerators < old.Accelerators {
		d.addWarning("Replicas above the spend are unloaded.")
	}
	hours := addIfChanged(d, "Spend", "%v accelerator hours a day", old.AcceleratorHoursPerDay, now.AcceleratorHoursPerDay)
	if hours && now.AcceleratorHoursPerDay < old.AcceleratorHoursPerDay {
		d.addWarning("When the hours of a day are spent, no replica is loaded.")
	}
}

func (d *differ) diffRank(rank Rank, old, now *RankPolicy) {
	subject := "Rank " + rank.String()
	addIfChanged(d, subject, "target %s", old.Target, now.Target)
	if addIfChanged(d, subject, "deadline %s", old.Deadline, now.Deadline) && now.Deadline < old.Deadline {
		d.addWarning("Requests that name no timeout are refused earlier.")
	}
	addIfChanged(d, subject, "worth %v", old.Worth, now.Worth)
	if addIfChanged(d, subject, "floor %v", old.Floor, now.Floor) && now.Floor < old.Floor {
		d.addWarning("Under overload, this rank gets a smaller share.")
	}
	if addIfChanged(d, subject, "at most %d waiting requests", old.QueueLimit, now.QueueLimit) && now.QueueLimit < old.QueueLimit {
		d.addWarning("Requests above the limit are refused.")
	}
}

// compareLists returns the entries that only the new and only the old list
// has.
func compareLists(old, now []string) (added, removed []string) {
	for _, entry := range now {
		if !slices.Contains(old, entry) {
			added = append(added, entry)
		}
	}
	for _, entry := range old {
		if !slices.Contains(now, entry) {
			removed = append(removed, entry)
		}
	}
	return added, removed
}
