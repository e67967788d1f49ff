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
		d.say("Service %s is new.", doc.Service)
		old = &Document{Service: doc.Service, Team: doc.Team, Ranks: DefaultRanks(), Callers: doc.Callers}
	}
	d.service(old, doc)
	d.credentials(old, doc)
	d.spend(old.Spend, doc.Spend)
	for _, rank := range Ranks {
		d.rank(rank, old.Rank(rank), doc.Rank(rank))
	}
	d.models(old, doc)
	d.adapters(old, doc)
	d.routes(old, doc)
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) say(format string, args ...any) {
	d.changes = append(d.changes, Change{Text: fmt.Sprintf(format, args...)})
}

// warn adds a warning to the last change.
func (d *differ) warn(format string, args ...any) {
	d.changes[len(d.changes)-1].Warning = fmt.Sprintf(format, args...)
}

// changed says that a value changes, as in "Model a: at most 3 replicas, was
// 2.", and reports whether it does.
func changed[T comparable](d *differ, subject, format string, was, now T) bool {
	if was == now {
		return false
	}
	d.say("%s: "+format+", was %v.", subject, now, was)
	return true
}

func (d *differ) service(old, doc *Document) {
	if changed(d, "Service", "name %s", old.Service, doc.Service) {
		d.warn("A document can't rename its service.")
	}
	changed(d, "Service "+doc.Service, "team %s", old.Team, doc.Team)
}

// shortSum returns the part of a credential's sum that names it in messages.
func shortSum(sum string) string {
	return sum[:min(len(sum), 12)]
}

func (d *differ) credentials(old, doc *Document) {
	added, removed := compareLists(old.Editors, doc.Editors)
	for _, sum := range added {
		d.say("Editor %s is added.", shortSum(sum))
	}
	for _, sum := range removed {
		d.say("Editor %s is removed.", shortSum(sum))
		d.warn("This credential can't change the document any more.")
	}
	d.callers(old.Callers, doc.Callers)
}

func (d *differ) callers(old, now []string) {
	added, removed := compareLists(old, now)
	for _, sum := range added {
		d.say("Caller %s is added.", shortSum(sum))
	}
	for _, sum := range removed {
		d.say("Caller %s is removed.", shortSum(sum))
		if len(now) > 0 {
			d.warn("Requests with this credential are refused.")
		}
	}
	switch {
	case len(old) == 0 && len(now) > 0:
		d.say("Only listed callers are allowed; every caller was allowed.")
		d.warn("Requests without a listed credential are refused.")
	case len(old) > 0 && len(now) == 0:
		d.say("Every caller is allowed; only listed callers were allowed.")
		d.warn("Requests need no credential any more.")
	}
}

func (d *differ) spend(old, now Spend) {
	if changed(d, "Spend", "%d accelerators", old.Accelerators, now.Accelerators) && now.Accelerators < old.Accelerators {
		d.warn("Replicas above the spend are unloaded.")
	}
	hours := changed(d, "Spend", "%v accelerator hours a day", old.AcceleratorHoursPerDay, now.AcceleratorHoursPerDay)
	if hours && now.AcceleratorHoursPerDay < old.AcceleratorHoursPerDay {
		d.warn("When the hours of a day are spent, no replica is loaded.")
	}
}

func (d *differ) rank(rank Rank, old, now *RankPolicy) {
	subject := "Rank " + rank.String()
	changed(d, subject, "target %s", old.Target, now.Target)
	if changed(d, subject, "deadline %s", old.Deadline, now.Deadline) && now.Deadline < old.Deadline {
		d.warn("Requests that name no timeout are refused earlier.")
	}
	changed(d, subject, "worth %v", old.Worth, now.Worth)
	if changed(d, subject, "floor %v", old.Floor, now.Floor) && now.Floor < old.Floor {
		d.warn("Under overload, this rank gets a smaller share.")
	}
	if changed(d, subject, "at most %d waiting requests", old.QueueLimit, now.QueueLimit) && now.QueueLimit < old.QueueLimit {
		d.warn("Requests above the limit are refused.")
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
