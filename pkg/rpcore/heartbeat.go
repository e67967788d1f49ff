package rpcore

import (
	"slices"
	"time"
)

const (
	heartbeatInterval = time.Second
	// remoteHeartbeatInterval applies to peers of other failure domains in a
	// system with more than fullMeshLimit instances: 52 such peers at 150
	// bytes would use 7.8 KB/s at one heartbeat a second.
	remoteHeartbeatInterval = 5 * time.Second
	// peerSilence is the time without a heartbeat after which a peer no longer
	// counts as live: three heartbeats and some delay.
	peerSilence = 3500 * time.Millisecond
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
	// inSet says that this instance sends heartbeats to it.
	inSet bool
	// listedAt starts the time that a peer has for its first heartbeat.
	listedAt time.Time
	heardAt  time.Time
	sentAt   time.Time
	leaving  bool
	digest   uint64
	waiting  [3]int
}

// updatePeers follows the instance list and chooses the peer set.
func (s *State) updatePeers() {
	for id := range s.members.peers {
		if _, ok := s.members.listed[string(id)]; !ok {
			delete(s.members.peers, id)
		}
	}
	for id, member := range s.members.listed {
		if member.Kind != MemberInstance || id == string(s.self.Instance) {
			continue
		}
		p := s.members.peers[InstanceID(id)]
		if p == nil || p.Incarnation != member.Incarnation {
			p = &peer{listedAt: s.now}
			s.members.peers[InstanceID(id)] = p
		}
		p.Member = member
		p.leaving = p.leaving || member.Leaving
	}
	s.choosePeers()
}

// choosePeers marks the peers that get heartbeats: everyone in a small
// system; else the own failure domain and remotePeersPerDomain of each other.
func (s *State) choosePeers() {
	all := s.allPeers()
	remote := make(map[FailureDomain][]InstanceID)
	for _, id := range all {
		p := s.members.peers[id]
		p.inSet = len(all) < fullMeshLimit || p.FailureDomain == s.self.FailureDomain
		if !p.inSet {
			remote[p.FailureDomain] = append(remote[p.FailureDomain], id)
		}
	}
	for _, ids := range remote {
		for range min(remotePeersPerDomain, len(ids)) {
			chosen := rendezvous(string(s.self.Instance), ids)
			s.members.peers[chosen].inSet = true
			ids = slices.DeleteFunc(ids, func(id InstanceID) bool { return id == chosen })
		}
	}
}

// allPeers returns all known other instances in order.
func (s *State) allPeers() []InstanceID {
	ids := make([]InstanceID, 0, len(s.members.peers))
	for id := range s.members.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// peerIDs returns the peer set in order.
func (s *State) peerIDs() []InstanceID {
	return slices.DeleteFunc(s.allPeers(), func(id InstanceID) bool { return !s.members.peers[id].inSet })
}

// updateLive recomputes the live instances and reports whether they changed.
// An instance outside the peer set counts as live while it is listed, since
// nobody here listens for it.
func (s *State) updateLive() bool {
	live := []InstanceID{s.self.Instance}
	for id, p := range s.members.peers {
		if !p.leaving && !s.silent(p) {
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

func (s *State) silent(p *peer) bool {
	if !p.inSet {
		return false
	}
	limit := peerSilence
	if s.remoteIntervalApplies(p) {
		limit += 2 * remoteHeartbeatInterval
	}
	last := p.listedAt
	if p.heardAt.After(last) {
		last = p.heardAt
	}
	return s.now.Sub(last) > limit
}

func (s *State) remoteIntervalApplies(p *peer) bool {
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

// heartbeatTick sends the heartbeats and notices peers that fell silent.
func (s *State) heartbeatTick() {
	s.after(heartbeatInterval, (*State).heartbeatTick)
	s.liveChanged(s.updateLive())
	for _, id := range s.peerIDs() {
		p := s.members.peers[id]
		if s.remoteIntervalApplies(p) && s.now.Sub(p.sentAt) < remoteHeartbeatInterval {
			continue
		}
		s.sendHeartbeat(id, false)
	}
	// The reports of a peer may have stopped without a change in membership.
	s.updatePolling()
}

func (s *State) liveChanged(changed bool) {
	if !changed {
		return
	}
	s.updatePolling()
	s.replicaMembersChanged()
}

// sendHeartbeat adds the document versions where the peer's last heartbeat
// had another digest.
func (s *State) sendHeartbeat(id InstanceID, answer bool) {
	p := s.members.peers[id]
	p.sentAt = s.now
	heartbeat := Heartbeat{
		Identity:         s.self,
		Leaving:          s.draining,
		Answer:           answer,
		Digest:           s.documents.digest,
		Waiting:          s.waitingByRank(),
		LeavingEndpoints: s.leavingNotices(),
		GoneInstances:    s.goneInstances(),
	}
	if !p.heardAt.IsZero() && p.digest != s.documents.digest {
		heartbeat.Documents = s.documentVersions()
	}
	s.sendPeer(id, PeerMessage{Heartbeat: &heartbeat})
}

func (s *State) heartbeatReceived(from InstanceID, heartbeat Heartbeat) {
	p := s.members.peers[from]
	if p == nil || p.Incarnation != heartbeat.Incarnation {
		// The list lags behind a new instance; it is no peer until listed.
		return
	}
	first := p.heardAt.IsZero()
	p.heardAt = s.now
	p.digest = heartbeat.Digest
	p.waiting = heartbeat.Waiting
	p.leaving = heartbeat.Leaving || p.Leaving
	if _, live := slices.BinarySearch(s.members.live, from); live == p.leaving {
		// Most heartbeats change nothing, and an update looks at every instance.
		s.liveChanged(s.updateLive())
	}
	for _, notice := range heartbeat.LeavingEndpoints {
		s.leavingNoticeReceived(notice)
	}
	for _, identity := range heartbeat.GoneInstances {
		s.goneInstanceReceived(identity)
	}
	if heartbeat.Documents != nil || heartbeat.Digest == s.documents.digest {
		s.compareDocuments(from, heartbeat.Documents)
	}
	if heartbeat.Answer {
		return
	}
	if first || !p.inSet || (heartbeat.Digest != s.documents.digest && heartbeat.Documents == nil) {
		s.sendHeartbeat(from, true)
	}
}

// sendPeer sends a message to a peer; unknown peers are passed over.
func (s *State) sendPeer(id InstanceID, message PeerMessage) {
	p := s.members.peers[id]
	if p == nil {
		return
	}
	s.emit(SendPeer{To: id, Address: p.Address, Message: message})
}

// peerLost does not make a peer count as gone: the link may break while the
// peer lives, and its silence decides.
func (s *State) peerLost(id InstanceID) {
	if s.members.peers[id] == nil {
		return
	}
	s.note("members", "link to peer "+string(id)+" broke")
}

func (s *State) peerReceived(ev PeerReceived) {
	message := ev.Message
	switch {
	case message.Heartbeat != nil:
		s.heartbeatReceived(ev.From, *message.Heartbeat)
	case message.DocumentPush != nil:
		s.documentPushReceived(ev.From, *message.DocumentPush)
	case message.DocumentRequest != nil:
		s.documentRequestReceived(ev.From, *message.DocumentRequest)
	case message.Demand != nil:
		s.demandReceived(ev.From, *message.Demand)
	case message.DemandAnswer != nil:
		s.demandAnswerReceived(ev.From, *message.DemandAnswer)
	case message.ReportShare != nil:
		s.engineReported(message.ReportShare.Report, false)
	case message.ReplicaNotice != nil:
		s.replicaNoticeReceived(*message.ReplicaNotice)
	case message.LeavingNotice != nil:
		s.leavingNoticeReceived(*message.LeavingNotice)
	case message.TicketRequest != nil:
		s.ticketRequestReceived(ev.From, *message.TicketRequest)
	case message.TicketGrant != nil:
		s.ticketGrantReceived(ev.From, *message.TicketGrant)
	case message.TicketRelease != nil:
		s.ticketReleaseReceived(ev.From, *message.TicketRelease)
	}
}
