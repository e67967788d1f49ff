package rpfleet

// Operators raise the version with each configuration, and the higher version replaces
// the lower one. A store with eras may come back with an earlier configuration, and
// operators may then write one with a lower version, or with a version again. Rows that
// were written in one era follow each other by their revisions, so only the first row
// that is read in an era is in doubt: it may be the copy's.

// replacesConfig reports whether a configuration that was read replaces the one in force.
func (s *State) replacesConfig(config *Config) bool {
	if s.config == nil || config.Version > s.config.Version {
		return true
	}
	era := config.Revision.Era()
	if era == 0 || config.Revision <= s.config.Revision || config.Sum == s.config.Sum {
		return false
	}
	switch {
	case config.Version == s.config.Version:
		// The copy has no other configuration of this version.
		return true
	case config.Revision == s.configNamed:
		return true
	}
	return s.configSeen.Era() == era && config.Revision > s.configSeen
}

// plannerHasNewerConfig reports whether the planner names a configuration that is newer
// than the one in force here.
func (s *State) plannerHasNewerConfig(named plannerConfig) bool {
	if s.config == nil {
		return true
	}
	if named.revision == 0 {
		return named.version > s.config.Version
	}
	return named.revision > s.config.Revision
}

// plannerConfig is the configuration in force at the planner. revision is 0 if the store
// tells no era or the planner is of an earlier version of the program.
type plannerConfig struct {
	version  uint64
	revision Revision
}

func (p *Placement) config() plannerConfig {
	if p.Store == nil {
		return plannerConfig{version: p.ConfigVersion}
	}
	return plannerConfig{p.ConfigVersion, p.Store.ConfigRevision}
}

// isInForce reports whether the configuration that the planner names is the one in force
// here.
func (s *State) isInForce(named plannerConfig) bool {
	return named.version != 0 && named.version == s.configVersion() && !s.plannerHasNewerConfig(named)
}
