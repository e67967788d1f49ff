package rpdocument

import (
	"fmt"
	"slices"
)

// Change is one difference between two documents.
type Change struct {
	// Text describes the change in one sentence.
	Text string `json:"text"`
	// Warning describes the negative effects of the change. It is empty if
	// there are none.
	Warning string `json:"warning,omitempty"`
}

func (c Change) String() string {
	if c.Warning == "" {
		return c.Text
	}
	return c.Text + " Warning: " + c.Warning
}

// Diff returns the changes from an old document to a new one. If old is nil,
// the service is new.
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

// differ collects the changes between two documents.
type differ struct {
	changes []Change
}

func (d *differ) addChange(format string, args ...any) {
	d.changes = append(d.changes, Change{Text: fmt.Sprintf(format, args...)})
}

// addWarning sets the warning of the last change.
func (d *differ) addWarning(format string, args ...any) {
	d.changes[len(d.changes)-1].Warning = fmt.Sprintf(format, args...)
}

// addIfChanged adds a change if the values differ, such as "Spend: 4
// accelerators, was 8.", and reports whether they do. The format formats the
// new value.
func addIfChanged[T comparable](d *differ, subject, format string, before, after T) bool {
	if before == after {
		return false
	}
	d.addChange("%s: "+format+", was %v.", subject, after, before)
	return true
}

func (d *differ) diffService(old, doc *Document) {
	if addIfChanged(d, "Service", "name %s", old.Service, doc.Service) {
		d.addWarning("A document can't rename its service.")
	}
	addIfChanged(d, "Service "+doc.Service, "team %s", old.Team, doc.Team)
}

// shortSum returns the beginning of a credential's sum, which identifies the
// credential in messages.
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

func (d *differ) diffCallers(before, after []string) {
	added, removed := compareLists(before, after)
	for _, sum := range added {
		d.addChange("Caller %s is added.", shortSum(sum))
	}
	for _, sum := range removed {
		d.addChange("Caller %s is removed.", shortSum(sum))
		if len(after) > 0 {
			d.addWarning("Requests with this credential are refused.")
		}
	}
	switch {
	case len(before) == 0 && len(after) > 0:
		d.addChange("Only listed callers are allowed; every caller was allowed.")
		d.addWarning("Requests without a listed credential are refused.")
	case len(before) > 0 && len(after) == 0:
		d.addChange("Every caller is allowed; only listed callers were allowed.")
		d.addWarning("Requests need no credential any more.")
	}
}

func (d *differ) diffSpend(before, after Spend) {
	if addIfChanged(d, "Spend", "%d accelerators", before.Accelerators, after.Accelerators) && after.Accelerators < before.Accelerators {
		d.addWarning("Replicas above the spend are unloaded.")
	}
	hours := addIfChanged(d, "Spend", "%v accelerator hours a day", before.AcceleratorHoursPerDay, after.AcceleratorHoursPerDay)
	if hours && after.AcceleratorHoursPerDay < before.AcceleratorHoursPerDay {
		d.addWarning("When the hours of a day are spent, no replica is loaded.")
	}
}

func (d *differ) diffRank(rank Rank, before, after *RankPolicy) {
	subject := "Rank " + rank.String()
	addIfChanged(d, subject, "target %s", before.Target, after.Target)
	if addIfChanged(d, subject, "deadline %s", before.Deadline, after.Deadline) && after.Deadline < before.Deadline {
		d.addWarning("Requests that name no timeout are refused earlier.")
	}
	addIfChanged(d, subject, "worth %v", before.Worth, after.Worth)
	if addIfChanged(d, subject, "floor %v", before.Floor, after.Floor) && after.Floor < before.Floor {
		d.addWarning("Under overload, this rank gets a smaller share.")
	}
	if addIfChanged(d, subject, "at most %d waiting requests", before.QueueLimit, after.QueueLimit) && after.QueueLimit < before.QueueLimit {
		d.addWarning("Requests above the limit are refused.")
	}
}

// compareLists returns the entries that are only in after and those that are
// only in before.
func compareLists(before, after []string) (added, removed []string) {
	for _, entry := range after {
		if !slices.Contains(before, entry) {
			added = append(added, entry)
		}
	}
	for _, entry := range before {
		if !slices.Contains(after, entry) {
			removed = append(removed, entry)
		}
	}
	return added, removed
}
