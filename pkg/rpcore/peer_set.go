package rpcore

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// peerSilenceTimeout is the time without a heartbeat after which a peer no longer
	// counts as live: three heartbeats and some delay.
	peerSilenceTimeout = 3500 * time.Millisecond
	// fullMeshLimit is the number of instances up to which everyone is a peer
	// of everyone.
	fullMeshLimit = 9
	// remotePeersPerDomain is the number of peers in each other failure
	// domain of a larger system.
	remotePeersPerDomain = 2
)

// peer is what is known of another instance.
type peer struct {
	Member
	// selected says that this instance sends heartbeats to it.
	selected bool
	// listedAt starts the time that a peer has for its first heartbeat.
	listedAt   time.Time
	receivedAt time.Time
	sentAt     time.Time
	leaving    bool
	digest     uint64
	// operatorsAddress is the peer's address for operators, invalid where it is not
	// known. toldAt is when the peer was last told of this instance's own.
	operatorsAddress netip.AddrPort
	operatorsSentAt  time.Time
}

// updatePeers follows the instance list and chooses the peer set.
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

// scheduleSilenceChecks looks at the live instances when the peers that were listed now
// have had their time for a first heartbeat. The next heartbeat tick would be
// up to a second late, so instances whose readings of the list are a second
// apart would disagree about homes for two seconds.
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
			// This lifetime may have told its address before the list showed it.
			fresh.operatorsAddress = p.operatorsAddress
		}
		p = fresh
		s.members.peers[id] = p
	}
	p.Member = member
	p.leaving = p.leaving || member.Leaving
}

// selectPeers marks the peers that get heartbeats: everyone in a small
// system; else the own failure domain and remotePeersPerDomain of each other.
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

// allPeerIDs returns all known other instances in order.
func (s *State) allPeerIDs() []InstanceID {
	ids := make([]InstanceID, 0, len(s.members.peers))
	for id := range s.members.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// peerIDs returns the peer set in order.
func (s *State) peerIDs() []InstanceID {
	return slices.DeleteFunc(s.allPeerIDs(), func(id InstanceID) bool { return !s.members.peers[id].selected })
}

// updateLiveInstances recomputes the live instances and reports whether they changed.
// An instance outside the peer set counts as live while it is listed, since
// nobody here listens for it, unless its whole domain is silent.
func (s *State) updateLiveInstances() bool {
	cutOff := s.silentDomains()
	live := []InstanceID{s.self.Instance}
	for id, p := range s.members.peers {
		if !p.leaving && !s.isSilent(p) && !cutOff[p.FailureDomain] {
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

// silentDomains returns the other failure domains of which every peer in the
// peer set is silent. They are probably cut off from this instance.
func (s *State) silentDomains() map[FailureDomain]bool {
	silent := make(map[FailureDomain]bool)
	for _, p := range s.members.peers {
		if !p.selected || p.FailureDomain == s.self.FailureDomain {
			continue
		}
		others, known := silent[p.FailureDomain]
		silent[p.FailureDomain] = s.isSilent(p) && (others || !known)
	}
	return silent
}

func (s *State) isSilent(p *peer) bool {
	if !p.selected {
		return false
	}
	limit := peerSilenceTimeout
	if s.usesRemoteInterval(p) {
		limit += 2 * remoteHeartbeatInterval
	}
	last := p.listedAt
	if p.receivedAt.After(last) {
		last = p.receivedAt
	}
	return s.now.Sub(last) > limit
}

func (s *State) usesRemoteInterval(p *peer) bool {
	return p.FailureDomain != s.self.FailureDomain && len(s.members.peers) >= fullMeshLimit
}

// liveInstances returns this instance and the others that are listed, not
// leaving and not silent, ordered by id.
func (s *State) liveInstances() []InstanceID { return s.members.live }

// homeOf returns the live instance that is the home of a key.
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
