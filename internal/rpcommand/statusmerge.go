package rpcommand

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// statusReport merges the statuses of all instances that answered. Counts of
// requests are added up, because each instance counts only its own. Every instance
// reports the same endpoints, models and spend, so the report takes the freshest
// or highest of their values.
type statusReport struct {
	At         time.Time                 `json:"at"`
	NotReached []notReached              `json:"not_reached"`
	Instances  []rpcore.InstanceStatus   `json:"instances"`
	Running    int                       `json:"requests_in_progress"`
	Waiting    map[string]int            `json:"waiting_requests"`
	Refusals   map[rpverdict.Code]uint64 `json:"refusals"`
	Endpoints  []rpcore.EndpointStatus   `json:"endpoints"`
	Models     []rpcore.ModelStatus      `json:"models"`
	Spend      []rpcore.SpendStatus      `json:"spend"`
	Documents  []newestDocument          `json:"documents"`
	// MissingDocuments lists accepted versions that are newer than those in
	// Documents: no instance that answered has them in force.
	MissingDocuments []rpcore.DocumentVersion `json:"missing_documents"`
	// Statuses holds the unmerged status of each instance.
	Statuses []rpcore.Status `json:"statuses"`
}

type notReached struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// newestDocument describes the newest version of a document that is in force at
// any instance.
type newestDocument struct {
	Service    string    `json:"service"`
	Version    uint64    `json:"version"`
	AcceptedAt time.Time `json:"accepted_at"`
	// Since is the latest time at which an instance got the version.
	Since time.Time `json:"since"`
	// Behind counts the instances that answered and don't have the version.
	Behind int `json:"behind"`
}

func mergeStatus(survey *rpoperator.Survey) *statusReport {
	r := &statusReport{NotReached: []notReached{}, Waiting: map[string]int{}, Refusals: map[rpverdict.Code]uint64{}}
	for i := range survey.Missing {
		r.NotReached = append(r.NotReached, notReached{survey.Missing[i].Name(), survey.Missing[i].Err.Error()})
	}
	instances := map[string]rpcore.InstanceStatus{}
	endpoints := map[string]rpcore.EndpointStatus{}
	models := map[string]rpcore.ModelStatus{}
	spend := map[string]rpcore.SpendStatus{}
	for i := range survey.Reached {
		s := &survey.Reached[i].Status
		r.addCounts(s)
		for _, e := range s.Instances {
			mergeInto(instances, string(e.ID), e, rpcore.InstanceStatus.Merge)
		}
		for _, e := range s.Endpoints {
			mergeInto(endpoints, string(e.ID), e, mergeEndpoint)
		}
		for _, e := range s.Models {
			mergeInto(models, e.Model.String(), e, mergeModel)
		}
		for _, e := range s.Spend {
			mergeInto(spend, e.Service, e, mergeSpend)
		}
	}
	r.Instances, r.Endpoints, r.Models, r.Spend = sortedByKey(instances), sortedByKey(endpoints), sortedByKey(models), sortedByKey(spend)
	r.addDocuments()
	return r
}

func mergeInto[T any](all map[string]T, key string, value T, merge func(a, b T) T) {
	if have, ok := all[key]; ok {
		value = merge(have, value)
	}
	all[key] = value
}

// sortedByKey returns the values of a map, sorted by key.
func sortedByKey[T any](all map[string]T) []T {
	values := make([]T, 0, len(all))
	for _, key := range slices.Sorted(maps.Keys(all)) {
		values = append(values, all[key])
	}
	return values
}

func (r *statusReport) addCounts(s *rpcore.Status) {
	r.Statuses = append(r.Statuses, *s)
	if s.At.After(r.At) {
		r.At = s.At
	}
	r.Running += s.Running
	for rank, waiting := range s.Waiting {
		r.Waiting[rank] += waiting
	}
	for code, count := range s.Refusals {
		r.Refusals[code] += count
	}
}

// mergeEndpoint takes the freshest report of the endpoint and adds up the requests
// in flight, because each instance counts only its own. A negative ReportAge means
// that there is no report.
func mergeEndpoint(a, b rpcore.EndpointStatus) rpcore.EndpointStatus {
	inFlight, leaving := a.InFlight+b.InFlight, a.Leaving || b.Leaving
	if a.ReportAge < 0 || b.ReportAge >= 0 && b.ReportAge < a.ReportAge {
		a = b
	}
	a.InFlight, a.Leaving = inFlight, leaving
	return a
}

func mergeModel(a, b rpcore.ModelStatus) rpcore.ModelStatus {
	a.Waiting += b.Waiting
	a.Loaded = max(a.Loaded, b.Loaded)
	a.WarmReplicas, a.MaxReplicas = max(a.WarmReplicas, b.WarmReplicas), max(a.MaxReplicas, b.MaxReplicas)
	return a
}

// mergeSpend takes the hours used from the instance with the latest count.
func mergeSpend(a, b rpcore.SpendStatus) rpcore.SpendStatus {
	if b.CountedAt.After(a.CountedAt) {
		a.HoursUsed, a.CountedAt = b.HoursUsed, b.CountedAt
	}
	a.HoursPerDay = max(a.HoursPerDay, b.HoursPerDay)
	a.Accelerators, a.MaxAccelerators = max(a.Accelerators, b.Accelerators), max(a.MaxAccelerators, b.MaxAccelerators)
	return a
}

func (r *statusReport) addDocuments() {
	newest := map[string]newestDocument{}
	holders := map[string]int{}
	missing := map[string]rpcore.DocumentVersion{}
	for i := range r.Statuses {
		for _, d := range r.Statuses[i].Documents {
			have := newest[d.Service]
			switch {
			case d.Version > have.Version:
				newest[d.Service] = newestDocument{Service: d.Service, Version: d.Version, AcceptedAt: d.AcceptedAt, Since: d.Since}
				holders[d.Service] = 1
			case d.Version == have.Version:
				have.Since = have.Since.Add(max(0, d.Since.Sub(have.Since)))
				newest[d.Service] = have
				holders[d.Service]++
			}
		}
		for _, m := range r.Statuses[i].Missing {
			missing[m.Service] = rpcore.DocumentVersion{Service: m.Service, Version: max(m.Version, missing[m.Service].Version)}
		}
	}
	for _, d := range sortedByKey(newest) {
		d.Behind = len(r.Statuses) - holders[d.Service]
		r.Documents = append(r.Documents, d)
	}
	r.MissingDocuments = slices.DeleteFunc(sortedByKey(missing), func(m rpcore.DocumentVersion) bool { return m.Version <= newest[m.Service].Version })
}

func (r *statusReport) statusOf(id rpcore.InstanceID) *rpcore.Status {
	for i := range r.Statuses {
		if r.Statuses[i].Instance == id {
			return &r.Statuses[i]
		}
	}
	return nil
}
