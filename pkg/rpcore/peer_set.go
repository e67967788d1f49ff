package rpcore

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// peerSilenceTimeout is the time without a heartbeat after which a peer no
	// longer counts as live. It allows for three heartbeats and some delay.
	peerSilenceTimeout = 3500 * time.Millisecond
	// fullMeshLimit is the number of instances up to which all of them send
	// heartbeats to each other.
	fullMeshLimit = 9
	// remotePeersPerDomain is the number of selected peers in each other
	// failure domain of a larger system.
	remotePeersPerDomain = 2
)

// peer is the state of another instance as this instance knows it.
type peer struct {
	Member
	// selected is set if this instance sends heartbeats to the peer.
	selected bool
	// listedAt is the time at which the list first showed this incarnation.
	// Silence is measured from it until the first heartbeat.
	listedAt time.Time
	// heartbeatReceivedAt is the time of the last heartbeat from the peer, and
	// heartbeatSentAt the time of the last heartbeat to it. Each is zero before
	// the first such heartbeat.
	heartbeatReceivedAt time.Time
	heartbeatSentAt     time.Time
	leaving             bool
	// digest is the document digest in the peer's last heartbeat.
	digest uint64
	// operatorsAddress is the peer's address for operators, invalid if unknown.
	operatorsAddress netip.AddrPort
	// operatorsSentAt is the time at which this instance last sent its own
	// address for operators to the peer.
	operatorsSentAt time.Time
}

// updatePeers adds, updates and removes peers after a change of the instance
// list, and selects those that get heartbeats.
func (s *State) updatePeers(changed, removed []Member) {
	before := len(s.members.peers)
	for _, member := range removed {
		delete(s.members.peers, InstanceID(member.ID))
	}
	dropped := len(s.members.peers) != before
	updated := false
	for _, member := range changed {
		if member.Kind == MemberInstance && member.ID != string(s.self.Instance) {
			s.updatePeer(member)
			updated = true
		}
	}
	if dropped || updated {
		s.selectPeers()
	}
	if updated {
		s.scheduleSilenceChecks()
	}
}

// scheduleSilenceChecks recomputes the live instances at the time at which
// newly listed peers without a heartbeat become silent. The next heartbeat tick
// would be up to a second later. Instances that read the list a second apart
// would then disagree about homes for two seconds.
func (s *State) scheduleSilenceChecks() {
	const after = time.Millisecond
	check := func(s *State) { s.applyLiveChange(s.updateLiveInstances()) }
	s.runAfter(peerSilenceTimeout+after, check)
	if len(s.members.peers) >= fullMeshLimit {
		s.runAfter(peerSilenceTimeout+2*remoteHeartbeatInterval+after, check)
	}
}

func (s *State) updatePeer(member Member) {
	id := InstanceID(member.ID)
	p := s.members.peers[id]
	if p == nil || p.Incarnation != member.Incarnation {
		fresh := &peer{listedAt: s.now}
		if p != nil {
			// The new incarnation may have sent its address before the list
			// showed it.
			fresh.operatorsAddress = p.operatorsAddress
		}
		p = fresh
		s.members.peers[id] = p
	}
	p.Member = member
	p.leaving = p.leaving || member.Leaving
}

// selectPeers selects the peers that get heartbeats. In a small system these
// are all other instances. Otherwise they are the instances of the own failure
// domain and remotePeersPerDomain instances of each other domain.
func (s *State) selectPeers() {
	all := s.allPeerIDs()
	remote := make(map[FailureDomain][]InstanceID)
	for _, id := range all {
		p := s.members.peers[id]
		p.selected = len(all) < fullMeshLimit || p.FailureDomain == s.self.FailureDomain
		if !p.selected {
			remote[p.FailureDomain] = append(remote[p.FailureDomain], id)
		}
	}
	for _, ids := range remote {
		for range min(remotePeersPerDomain, len(ids)) {
			chosen := rendezvous(string(s.self.Instance), ids)
			s.members.peers[chosen].selected = true
			ids = slices.DeleteFunc(ids, func(id InstanceID) bool { return id == chosen })
		}
	}
}

// allPeerIDs returns the ids of all other known instances, in order.
func (s *State) allPeerIDs() []InstanceID {
	ids := make([]InstanceID, 0, len(s.members.peers))
	for id := range s.members.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// peerIDs returns the ids of the selected peers, in order.
func (s *State) peerIDs() []InstanceID {
	return slices.DeleteFunc(s.allPeerIDs(), func(id InstanceID) bool { return !s.members.peers[id].selected })
}

// updateLiveInstances recomputes the live instances and reports whether they
// changed. An instance that is not a selected peer sends no heartbeats to this
// instance. It counts as live while it is listed, unless all selected peers of
// its domain are silent.
func (s *State) updateLiveInstances() bool {
	cutOff := s.silentDomains()
	live := []InstanceID{s.self.Instance}
	for id, p := range s.members.peers {
		if !p.leaving && !s.isPeerSilent(p) && !cutOff[p.FailureDomain] {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	if slices.Equal(live, s.members.live) {
		return false
	}
	s.members.live = live
	return true
}

// silentDomains returns the other failure domains in which all selected peers
// are silent. The network between them and this instance is probably down.
func (s *State) silentDomains() map[FailureDomain]bool {
	silent := make(map[FailureDomain]bool)
	for _, p := range s.members.peers {
		if !p.selected || p.FailureDomain == s.self.FailureDomain {
			continue
		}
		others, known := silent[p.FailureDomain]
		silent[p.FailureDomain] = s.isPeerSilent(p) && (others || !known)
	}
	return silent
}

// isPeerSilent reports whether the heartbeats of a selected peer have stopped.
func (s *State) isPeerSilent(p *peer) bool {
	if !p.selected {
		return false
	}
	limit := peerSilenceTimeout
	if s.usesRemoteInterval(p) {
		limit += 2 * remoteHeartbeatInterval
	}
	last := p.listedAt
	if p.heartbeatReceivedAt.After(last) {
		last = p.heartbeatReceivedAt
	}
	return s.now.Sub(last) > limit
}

// usesRemoteInterval reports whether heartbeats to a peer use the longer
// interval for other failure domains.
func (s *State) usesRemoteInterval(p *peer) bool {
	return p.FailureDomain != s.self.FailureDomain && len(s.members.peers) >= fullMeshLimit
}

// liveInstances returns the live instances, ordered by id: this one and the
// others that are listed, not leaving and not silent.
func (s *State) liveInstances() []InstanceID { return s.members.live }

// homeOf returns the home of a key: the live instance that is responsible for
// it.
func (s *State) homeOf(key string) InstanceID { return rendezvous(key, s.members.live) }

// liveByDomain groups the live instances by failure domain.
func (s *State) liveByDomain() map[FailureDomain][]InstanceID {
	domains := make(map[FailureDomain][]InstanceID)
	for _, id := range s.members.live {
		domain := s.self.FailureDomain
		if p := s.members.peers[id]; p != nil {
			domain = p.FailureDomain
		}
		domains[domain] = append(domains[domain], id)
	}
	return domains
}
