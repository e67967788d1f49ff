package rptimeview

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Codes of remarks. They are stable.
const (
	RemarkOverwritten   = "timeline_gap_overwritten"
	RemarkOmitted       = "timeline_gap_limit"
	RemarkStarted       = "timeline_gap_started"
	RemarkUnreachable   = "timeline_unreachable"
	RemarkNotAsked      = "timeline_not_asked"
	RemarkClockRejected = "timeline_clock_rejected"
)

// Remark describes entries that a view lacks, or that may be in the wrong order.
type Remark struct {
	Code string `json:"code"`
	// Clock is the end of a gap: entries before it are missing. It is 0 if the
	// remark concerns the whole view.
	Clock    rptimeline.Clock `json:"clock"`
	Instance string           `json:"instance,omitempty"`
	Address  string           `json:"address,omitempty"`
	Text     string           `json:"text"`
}

// View is the merged time line of several instances.
type View struct {
	// Heads describes the instances that answered, ordered by name.
	Heads        []rptimeline.Head
	Remarks      []Remark
	Entries      []rptimeline.Entry
	firstErr     error
	addressCount int
}

// Merge merges the entries of all sources in causal order.
func Merge(sources []Source, query rptimeline.Query) *View {
	v := &View{addressCount: len(sources)}
	known := map[rpcore.InstanceID]bool{}
	for i := range sources {
		v.addSource(&sources[i], query, known)
	}
	v.addLiveNotAsked(known)
	slices.SortFunc(v.Heads, func(a, b rptimeline.Head) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortStableFunc(v.Entries, compareEntries)
	slices.SortStableFunc(v.Remarks, func(a, b Remark) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Instance+a.Address, b.Instance+b.Address))
	})
	return v
}

// Err returns an error if no instance answered.
func (v *View) Err() error {
	if len(v.Heads) > 0 || v.firstErr == nil {
		return nil
	}
	return &rpoperator.NoneReachedError{Addresses: v.addressCount, First: v.firstErr}
}

func (v *View) addSource(source *Source, query rptimeline.Query, known map[rpcore.InstanceID]bool) {
	if source.Err != nil {
		v.firstErr = cmp.Or(v.firstErr, source.Err)
		v.addMissingSource(source)
		return
	}
	head := source.Page.Head
	if slices.ContainsFunc(v.Heads, func(h rptimeline.Head) bool { return h.Instance == head.Instance }) {
		return
	}
	v.Heads = append(v.Heads, head)
	v.Entries = append(v.Entries, source.Page.Entries...)
	v.addGaps(&source.Page, query)
	for _, instance := range source.Instances {
		if instance.Live {
			known[instance.ID] = true
		}
	}
}

// addMissingSource adds a remark about a source without an answer. An instance
// without an address was not asked.
func (v *View) addMissingSource(source *Source) {
	remark := Remark{Code: RemarkUnreachable, Instance: string(source.Instance)}
	who := "The instance"
	if source.Instance != "" {
		who = string(source.Instance)
	}
	if source.Address.IsValid() {
		remark.Address = source.Address.String()
		who += " at " + remark.Address
	} else {
		remark.Code = RemarkNotAsked
		who += " is live and"
	}
	remark.Text = who + " gave no time line. Its entries are missing. " + source.Err.Error()
	v.Remarks = append(v.Remarks, remark)
}

func (v *View) addGaps(page *rptimeline.Page, query rptimeline.Query) {
	head := &page.Head
	gap := func(code string, clock rptimeline.Clock, text string) {
		v.Remarks = append(v.Remarks, Remark{Code: code, Clock: clock, Instance: head.Instance, Text: text})
	}
	switch {
	case head.Overwritten > 0 && query.Since < head.Oldest:
		gap(RemarkOverwritten, head.Oldest, fmt.Sprintf("Entries of %s before this time were overwritten. Number: %d.", head.Instance, head.Overwritten))
	case query.Since > 0 && query.Since < head.Started:
		gap(RemarkStarted, head.Started, fmt.Sprintf("The process of %s started at this time. Entries of an earlier process are gone.", head.Instance))
	}
	if head.Omitted > 0 && len(page.Entries) > 0 {
		gap(RemarkOmitted, page.Entries[0].Clock, fmt.Sprintf("Entries of %s before this time are not shown, because of the limit. Number: %d.", head.Instance, head.Omitted))
	}
	if head.RejectedClocks > 0 {
		gap(RemarkClockRejected, 0, fmt.Sprintf("%s got messages with a clock more than %s ahead. Number: %d. The order of some entries may be wrong.",
			head.Instance, rptimeline.MaxAhead, head.RejectedClocks))
	}
}

func (v *View) addLiveNotAsked(known map[rpcore.InstanceID]bool) {
	for id := range known {
		named := slices.ContainsFunc(v.Remarks, func(r Remark) bool {
			return r.Instance == string(id) && (r.Code == RemarkUnreachable || r.Code == RemarkNotAsked)
		})
		if !named && !slices.ContainsFunc(v.Heads, func(h rptimeline.Head) bool { return h.Instance == string(id) }) {
			v.Remarks = append(v.Remarks, Remark{
				Code: RemarkNotAsked, Instance: string(id),
				Text: fmt.Sprintf("%s is live and gave no time line. Its entries are missing.", id),
			})
		}
	}
}

// eachLine calls each for all remarks and entries in the order of their
// timestamps. Exactly one of the arguments of each is not nil.
func (v *View) eachLine(each func(*Remark, *rptimeline.Entry)) {
	next := 0
	for i := range v.Entries {
		for next < len(v.Remarks) && v.Remarks[next].Clock <= v.Entries[i].Clock {
			each(&v.Remarks[next], nil)
			next++
		}
		each(nil, &v.Entries[i])
	}
	for ; next < len(v.Remarks); next++ {
		each(&v.Remarks[next], nil)
	}
}

// WithEntriesOf returns a copy of the view that also contains the entries of
// another view. It does not add the remarks of the other view.
func (v *View) WithEntriesOf(other *View) *View {
	merged := *v
	merged.Entries = slices.Clone(v.Entries)
	for i := range other.Entries {
		e := &other.Entries[i]
		same := func(have rptimeline.Entry) bool { return have.Clock == e.Clock && have.Instance == e.Instance }
		if !slices.ContainsFunc(v.Entries, same) {
			merged.Entries = append(merged.Entries, *e)
		}
	}
	slices.SortStableFunc(merged.Entries, compareEntries)
	return &merged
}

func compareEntries(a, b rptimeline.Entry) int {
	return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Instance, b.Instance))
}
