package rpcore

import (
	"net/netip"
	"time"
)

const (
	heartbeatInterval = time.Second
	// remoteHeartbeatInterval applies to peers of other failure domains in a
	// system with more than fullMeshLimit instances: 52 such peers at 150
	// bytes would use 7.8 KB/s at one heartbeat a second.
	remoteHeartbeatInterval = 5 * time.Second
	// silentHeartbeatInterval applies to those that fell silent.
	silentHeartbeatInterval = 2 * time.Second
	// operatorsInterval repeats the operators' address, which a lost message
	// may have carried. In every heartbeat its 25 bytes would cost a node of
	// the design size 660 bytes/s; so they cost 57.
	operatorsInterval = 30 * time.Second
	// remoteHeartbeatSlots is the number of ticks over which the heartbeats to
	// other failure domains are spread.
	remoteHeartbeatSlots = int(remoteHeartbeatInterval / heartbeatInterval)
)

// heartbeatTick sends the heartbeats and notices peers that fell silent.
func (s *State) heartbeatTick() {
	s.runAfter(heartbeatInterval, (*State).heartbeatTick)
	s.applyLiveChange(s.updateLiveInstances())
	s.advanceLeavingNotices()
	for _, id := range s.peerIDs() {
		p := s.members.peers[id]
		if s.usesRemoteInterval(p) && s.now.Sub(p.sentAt) < s.remoteIntervalTo(p) {
			continue
		}
		first := p.sentAt.IsZero()
		s.sendHeartbeat(id, false)
		if first && s.usesRemoteInterval(p) {
			// Instances that start together must not all be silent together.
			p.sentAt = p.sentAt.Add(-time.Duration(s.rng.IntN(remoteHeartbeatSlots)) * heartbeatInterval)
		}
	}
	// The reports of a peer may have stopped without a change in membership.
	s.updatePolling()
	s.abandonSilent()
}

func (s *State) applyLiveChange(changed bool) {
	if !changed {
		return
	}
	s.updatePolling()
	s.replicaMembersChanged()
}

// remoteIntervalTo is shorter for a peer that fell silent, so that it counts as
// live again soon after it is back.
func (s *State) remoteIntervalTo(p *peer) time.Duration {
	if s.isSilent(p) {
		return silentHeartbeatInterval
	}
	return remoteHeartbeatInterval
}

// sendHeartbeat adds the document versions where the peer's last heartbeat
// had another digest.
func (s *State) sendHeartbeat(id InstanceID, answer bool) {
	p := s.members.peers[id]
	p.sentAt = s.now
	heartbeat := s.newHeartbeat(answer)
	if !p.receivedAt.IsZero() && p.digest != s.documents.digest {
		heartbeat.Documents = s.documentVersions()
	}
	if p.operatorsSentAt.IsZero() || s.now.Sub(p.operatorsSentAt) >= operatorsInterval {
		heartbeat.Operators, p.operatorsSentAt = s.operatorsAddress, s.now
	}
	s.sendPeer(id, PeerMessage{Heartbeat: &heartbeat})
}

func (s *State) newHeartbeat(answer bool) Heartbeat {
	return Heartbeat{
		Identity:         s.self,
		Leaving:          s.draining,
		Answer:           answer,
		Digest:           s.documents.digest,
		HasDocuments:     s.hasDocuments(),
		LeavingEndpoints: s.leavingNotices(),
		GoneInstances:    s.recentGoneInstances(),
	}
}

func (s *State) heartbeatReceived(from InstanceID, heartbeat Heartbeat) {
	p := s.members.peers[from]
	if p == nil {
		// The list lags behind a new instance; it is no peer until listed.
		return
	}
	listed := p.Incarnation == heartbeat.Incarnation
	first := p.receivedAt.IsZero()
	if first {
		// The peer may not have known this instance yet when it was told.
		p.operatorsSentAt = time.Time{}
	}
	if listed {
		s.recordHeartbeat(p, heartbeat)
	}
	if usableAddress(heartbeat.Operators) {
		// The list may not show this lifetime yet. The client of operators
		// checks who answers, so an address that is out of date does no harm.
		p.operatorsAddress = heartbeat.Operators
	}
	// What is known of documents and endpoints does not depend on the list,
	// which a domain that is cut from the platform can't read.
	for _, notice := range heartbeat.LeavingEndpoints {
		s.leavingNoticeReceived(from, notice)
	}
	for _, identity := range heartbeat.GoneInstances {
		s.goneInstanceReceived(identity)
	}
	s.syncHeartbeatDocuments(from, heartbeat)
	if heartbeat.Answer {
		return
	}
	differs := heartbeat.Digest != s.documents.digest
	switch {
	case !listed:
		s.answerUnlistedPeer(from, heartbeat)
	case first || !p.selected || (differs && heartbeat.Documents == nil):
		s.sendHeartbeat(from, true)
	}
}

// usableAddress reports whether another host can use an address. It refuses a
// zone, which has no bound and no meaning on another host.
func usableAddress(address netip.AddrPort) bool {
	addr := address.Addr()
	return address.IsValid() && address.Port() != 0 && addr.Zone() == "" && !addr.IsUnspecified()
}

// recordHeartbeat looks at the live instances again only where this heartbeat may
// change them: 68 peers send one each second or five.
func (s *State) recordHeartbeat(p *peer, heartbeat Heartbeat) {
	silent, leaving := s.isSilent(p), p.leaving
	p.receivedAt = s.now
	p.digest = heartbeat.Digest
	p.leaving = heartbeat.Leaving || p.Leaving
	if silent || p.leaving != leaving {
		s.applyLiveChange(s.updateLiveInstances())
	}
}

// answerUnlistedPeer answers a new lifetime of a listed instance. It is no peer
// until the list shows it, but in an outage of the table it can learn of the
// documents only from those that know its address.
func (s *State) answerUnlistedPeer(from InstanceID, heartbeat Heartbeat) {
	if heartbeat.Digest == s.documents.digest && heartbeat.HasDocuments {
		return
	}
	answer := s.newHeartbeat(true)
	answer.Documents = s.documentVersions()
	s.sendPeer(from, PeerMessage{Heartbeat: &answer})
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
		s.leavingNoticeReceived(ev.From, *message.LeavingNotice)
	case message.TicketRequest != nil:
		s.ticketRequestReceived(ev.From, *message.TicketRequest)
	case message.TicketGrant != nil:
		s.ticketGrantReceived(ev.From, *message.TicketGrant)
	case message.TicketRelease != nil:
		s.ticketReleaseReceived(ev.From, *message.TicketRelease)
	}
}
