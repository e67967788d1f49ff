package rpmeasure

import "slices"

// Report is the content of docs/measurements.json.
type Report struct {
	Cases   []*Case                       `json:"cases"`
	Reducer map[string]map[string]float64 `json:"reducer,omitempty"`
}

type caseName struct{ measure, deployment, policy string }

func (c *Case) name() caseName { return caseName{c.Measure, c.Deployment, c.Policy} }

// KeepMissingFrom adds the cases of an earlier report that this one lacks, so
// that a run of one measure keeps the others in the file. The result is in the
// order of Cases. Cases that no longer exist are dropped.
func (r *Report) KeepMissingFrom(earlier *Report) {
	byName := make(map[caseName]*Case)
	for _, c := range slices.Concat(earlier.Cases, r.Cases) {
		byName[c.name()] = c
	}
	r.Cases = nil
	for _, c := range Cases() {
		if kept := byName[c.name()]; kept != nil {
			r.Cases = append(r.Cases, kept)
		}
	}
	if len(r.Reducer) == 0 {
		r.Reducer = earlier.Reducer
	}
}
