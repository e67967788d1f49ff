package rpcore

import "time"

// goneRecord is an instance that the list proved gone.
type goneRecord struct {
	Identity
	at time.Time
}

const (
	// goneRepeat covers a restart: an instance that starts never saw the
	// lifetimes listed that ended before, and would need listLagBound to prove
	// that one is gone.
	goneRepeat = 2 * time.Minute
	// goneRecordLimit bounds the records in one heartbeat. A failure domain
	// of the design size has 17 instances.
	goneRecordLimit = 32
)

func (s *State) recordGone(key lifetime) {
	identity := Identity{Instance: InstanceID(key.id), Incarnation: key.incarnation}
	s.members.gone = append(s.members.gone, goneRecord{identity, s.now})
	excess := max(0, len(s.members.gone)-goneRecordLimit)
	s.members.gone = s.members.gone[excess:]
}

// goneInstances returns the records for a heartbeat and forgets old ones.
func (s *State) goneInstances() []Identity {
	for len(s.members.gone) > 0 && s.now.Sub(s.members.gone[0].at) > goneRepeat {
		s.members.gone = s.members.gone[1:]
	}
	var identities []Identity
	for i := range s.members.gone {
		identities = append(identities, s.members.gone[i].Identity)
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
	record := s.members.presences.absent[key]
	if record == nil {
		record = &absence{since: s.now}
		s.members.presences.absent[key] = record
	}
	// More than absentReadings, so that count does not take it for a proof of
	// this instance.
	record.missing = max(record.missing, absentReadings+1)
}
