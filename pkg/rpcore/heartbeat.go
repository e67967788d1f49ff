package rpcore

import (
	"net/netip"
	"time"
)

const (
	heartbeatInterval = time.Second
	// remoteHeartbeatInterval is used for peers in other failure domains if the
	// system has more than fullMeshLimit instances. At one heartbeat per
	// second, 52 such peers would cost 7.8 KB/s with messages of 150 bytes.
	remoteHeartbeatInterval = 5 * time.Second
	// silentHeartbeatInterval is used instead of remoteHeartbeatInterval for
	// silent peers.
	silentHeartbeatInterval = 2 * time.Second
	// operatorsRepeatInterval is the time after which the address for operators
	// is sent again, in case the last message was lost. Sent in every
	// heartbeat, its 25 bytes would cost an instance 660 bytes/s at the design
	// size; with this interval, they cost 57.
	operatorsRepeatInterval = 30 * time.Second
	// remoteHeartbeatSlots is the number of ticks over which the heartbeats to
	// other failure domains are spread.
	remoteHeartbeatSlots = int(remoteHeartbeatInterval / heartbeatInterval)
)

// heartbeatTick sends the heartbeats that are due and detects silent peers.
func (s *State) heartbeatTick() {
	s.runAfter(heartbeatInterval, (*State).heartbeatTick)
	s.applyLiveChange(s.updateLiveInstances())
	s.advanceLeavingNotices()
	for _, id := range s.peerIDs() {
		p := s.members.peers[id]
		if s.usesRemoteInterval(p) && s.now.Sub(p.heartbeatSentAt) < s.remoteIntervalTo(p) {
			continue
		}
		first := p.heartbeatSentAt.IsZero()
		s.sendHeartbeat(id, false)
		if first && s.usesRemoteInterval(p) {
			// Spread the next heartbeats over the interval. Otherwise instances
			// that start together would all pause at the same time.
			p.heartbeatSentAt = p.heartbeatSentAt.Add(-time.Duration(s.rng.IntN(remoteHeartbeatSlots)) * heartbeatInterval)
		}
	}
	// The reports of a peer may have stopped without a change in membership.
	s.updatePolling()
	s.cancelSilentAttempts()
}

// applyLiveChange updates what depends on the live instances, if they changed.
func (s *State) applyLiveChange(changed bool) {
	if !changed {
		return
	}
	s.updatePolling()
	s.syncEngineViews()
}

// remoteIntervalTo returns the heartbeat interval to a peer for which
// usesRemoteInterval is true. The interval is shorter for a silent peer, so
// that the peer counts as live again soon after it is back.
func (s *State) remoteIntervalTo(p *peer) time.Duration {
	if s.isPeerSilent(p) {
		return silentHeartbeatInterval
	}
	return remoteHeartbeatInterval
}

// sendHeartbeat sends a heartbeat to a peer. It includes the document versions
// if the digest in the peer's last heartbeat differs.
func (s *State) sendHeartbeat(id InstanceID, answer bool) {
	p := s.members.peers[id]
	p.heartbeatSentAt = s.now
	heartbeat := s.newHeartbeat(answer)
	if !p.heartbeatReceivedAt.IsZero() && p.digest != s.documents.digest {
		heartbeat.Documents = s.documentVersions()
	}
	if p.operatorsSentAt.IsZero() || s.now.Sub(p.operatorsSentAt) >= operatorsRepeatInterval {
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

// heartbeatReceived applies a heartbeat and replies to it if the sender needs a
// reply.
func (s *State) heartbeatReceived(from InstanceID, heartbeat Heartbeat) {
	p := s.members.peers[from]
	if p == nil {
		// The sender becomes a peer once the list shows it.
		return
	}
	listed := p.Incarnation == heartbeat.Incarnation
	first := p.heartbeatReceivedAt.IsZero()
	if first {
		// If the address was sent before, the peer may not have known this
		// instance yet and dropped it. Send it again.
		p.operatorsSentAt = time.Time{}
	}
	if listed {
		s.recordHeartbeat(p, heartbeat)
	}
	if usableAddress(heartbeat.Operators) {
		// The list may not show this incarnation yet. Clients of this address
		// verify which instance answers, so an outdated address does no harm.
		p.operatorsAddress = heartbeat.Operators
	}
	// Documents and endpoints are updated even if the list doesn't show the
	// sender's incarnation: a domain that is cut off from the platform can't
	// read the list.
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

// usableAddress reports whether other hosts can use an address. Addresses with
// a zone are rejected: a zone means nothing on another host, and its length is
// not limited.
func usableAddress(address netip.AddrPort) bool {
	addr := address.Addr()
	return address.IsValid() && address.Port() != 0 && addr.Zone() == "" && !addr.IsUnspecified()
}

// recordHeartbeat updates a peer from its heartbeat. The live instances are
// recomputed only if the heartbeat may change them, since 68 peers each send
// one every second or every five.
func (s *State) recordHeartbeat(p *peer, heartbeat Heartbeat) {
	silent, leaving := s.isPeerSilent(p), p.leaving
	p.heartbeatReceivedAt = s.now
	p.digest = heartbeat.Digest
	p.leaving = heartbeat.Leaving || p.Leaving
	if silent || p.leaving != leaving {
		s.applyLiveChange(s.updateLiveInstances())
	}
}

// answerUnlistedPeer replies to a new incarnation of a listed instance. Until
// the list shows the incarnation it does not count as a peer. During an outage
// of the table, however, it can learn the documents only from instances that
// know its address.
func (s *State) answerUnlistedPeer(from InstanceID, heartbeat Heartbeat) {
	if heartbeat.Digest == s.documents.digest && heartbeat.HasDocuments {
		return
	}
	answer := s.newHeartbeat(true)
	answer.Documents = s.documentVersions()
	s.sendPeer(from, PeerMessage{Heartbeat: &answer})
}

// sendPeer sends a message to a known instance. Messages to unknown instances
// are dropped.
func (s *State) sendPeer(id InstanceID, message PeerMessage) {
	p := s.members.peers[id]
	if p == nil {
		return
	}
	s.emit(SendPeer{To: id, Address: p.Address, Message: message})
}

// peerLost logs a broken connection. It does not mark the peer as gone: the
// peer may still be running, and is detected by missing heartbeats if not.
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
