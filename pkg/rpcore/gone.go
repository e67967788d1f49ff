package rpcore

import "time"

// goneRecord is an instance that the list proved gone.
type goneRecord struct {
	Identity
	at time.Time
}

const (
	// goneRepeatPeriod covers a restart: an instance that starts never saw the
	// lifetimes listed that ended before, and would need listLagBound to prove
	// that one is gone.
	goneRepeatPeriod = 2 * time.Minute
	// goneRecordLimit bounds the records in one heartbeat. A failure domain
	// of the design size has 17 instances.
	goneRecordLimit = 32
)

func (s *State) recordGoneInstance(key lifetime) {
	identity := Identity{Instance: InstanceID(key.id), Incarnation: key.incarnation}
	s.members.goneRecords = append(s.members.goneRecords, goneRecord{identity, s.now})
	excess := max(0, len(s.members.goneRecords)-goneRecordLimit)
	s.members.goneRecords = s.members.goneRecords[excess:]
}

// recentGoneInstances returns the records for a heartbeat and forgets old ones.
func (s *State) recentGoneInstances() []Identity {
	for len(s.members.goneRecords) > 0 && s.now.Sub(s.members.goneRecords[0].at) > goneRepeatPeriod {
		s.members.goneRecords = s.members.goneRecords[1:]
	}
	var identities []Identity
	for i := range s.members.goneRecords {
		identities = append(identities, s.members.goneRecords[i].Identity)
	}
	return identities
}

// goneInstanceReceived takes in a peer's proof that a lifetime is over. It is
// not repeated, so that it ends with the peer that made it.
func (s *State) goneInstanceReceived(identity Identity) {
	key := lifetime{string(identity.Instance), identity.Incarnation}
	if s.isSelf(key.id, key.incarnation) {
		return
	}
	record := s.members.lifetimes.absent[key]
	if record == nil {
		record = &absence{listedAt: s.now}
		s.members.lifetimes.absent[key] = record
	}
	// More than absentReadings, so that count does not take it for a proof of
	// this instance.
	record.missedSnapshots = max(record.missedSnapshots, absentSnapshots+1)
}
