package rpfleet

import "time"

// exchangesLoad reports whether demands carry a LoadReport and their answers a
// LoadSummary. With few instances, each one sees enough of the requests itself.
func (s *State) exchangesLoad() bool { return s.accounts() != nil || s.manyInstances() }

// loadReport returns the load report of the next demand, or nil. The speeds of engines
// change slowly, so only full demands carry them.
func (s *State) loadReport(full bool) *LoadReport {
	if !s.exchangesLoad() || s.accounts() == nil && !full {
		return nil
	}
	report := &LoadReport{Process: s.process}
	if s.accounts() != nil {
		report.Accounts = s.quota.meter.Report(s.now)
	}
	if full {
		report.Engines = s.engineObservations()
	}
	return report
}

// loadSummary returns the answer to the load report of a demand, or nil.
func (s *State) loadSummary(d *Demand) *LoadSummary {
	if !s.exchangesLoad() || s.accounts() == nil && d.Load == nil {
		return nil
	}
	summary := &LoadSummary{ConfigAge: -1}
	if s.accounts() != nil {
		summary.ConfigAge = s.ConfigAge()
	}
	if d.Load == nil {
		return summary
	}
	if s.accounts() != nil {
		summary.Accounts = s.quota.pool.Summarize(s.now, d.Load.Accounts)
	}
	if d.Full {
		summary.Engines = s.engineSummaries(d.Instance)
	}
	return summary
}

// applyLoadSummary applies the answer to the load report that was sent at asOf.
func (s *State) applyLoadSummary(p *Placement, asOf time.Time) {
	summary := p.Load
	if summary == nil {
		return
	}
	// The planner's statement is about its own version. With another one, this
	// instance knows nothing of the configuration that it has in force.
	if summary.ConfigAge >= 0 && s.isInForce(p.config()) {
		s.confirmConfig(asOf.Add(-summary.ConfigAge))
	}
	if s.accounts() != nil {
		s.quota.meter.Apply(s.now, asOf, summary.Accounts)
	}
	s.learnSpeeds(summary.Engines, asOf)
}
