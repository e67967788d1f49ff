package rpfleet

import "time"

// exchangesLoad reports whether demands carry a LoadReport and their answers a
// LoadSummary.
func (s *State) exchangesLoad() bool { return s.accounts() != nil }

// loadReport returns the load report of the next demand, or nil.
func (s *State) loadReport() *LoadReport {
	if !s.exchangesLoad() {
		return nil
	}
	return &LoadReport{Process: s.process, Accounts: s.quota.meter.Report(s.now)}
}

// loadSummary returns the answer to the load report of a demand, or nil.
func (s *State) loadSummary(d *Demand) *LoadSummary {
	if !s.exchangesLoad() {
		return nil
	}
	summary := &LoadSummary{ConfigAge: s.ConfigAge()}
	if d.Load != nil {
		summary.Accounts = s.quota.pool.Summarize(s.now, d.Load.Accounts)
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
	if summary.ConfigAge >= 0 && p.ConfigVersion != 0 && p.ConfigVersion == s.configVersion() {
		s.confirmConfig(asOf.Add(-summary.ConfigAge))
	}
	if s.accounts() != nil {
		s.quota.meter.Apply(s.now, asOf, summary.Accounts)
	}
}
