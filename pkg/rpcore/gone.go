package rpcore

import "time"

// goneRecord is an instance incarnation that the instance list proved to be
// over.
type goneRecord struct {
	Identity
	at time.Time
}

const (
	// goneRepeatPeriod is the time for which heartbeats repeat a record. It
	// covers the restart of an instance. The new incarnation never sees in the
	// list the lifetimes that ended before its start. It would need
	// listLagBound to prove by itself that they are over.
	goneRepeatPeriod = 2 * time.Minute
	// goneRecordLimit is the maximum number of records in one heartbeat. A
	// failure domain of the design size has 17 instances.
	goneRecordLimit = 32
)

func (s *State) recordGoneInstance(key lifetime) {
	identity := Identity{Instance: InstanceID(key.id), Incarnation: key.incarnation}
	s.members.goneRecords = append(s.members.goneRecords, goneRecord{identity, s.now})
	excess := max(0, len(s.members.goneRecords)-goneRecordLimit)
	s.members.goneRecords = s.members.goneRecords[excess:]
}

// recentGoneInstances drops expired records and returns the others for a
// heartbeat.
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

// goneInstanceReceived accepts a peer's proof that a lifetime is over. The
// proof is not passed on, so it is no longer repeated once the peer that made
// it stops.
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
	// A value above absentSnapshots keeps countAbsences from reporting this
	// lifetime as newly proved.
	record.missedSnapshots = max(record.missedSnapshots, absentSnapshots+1)
}
