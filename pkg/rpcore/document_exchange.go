package rpcore

import "time"

// documentNoticeRepeatDelay is the time after which the instance that learned
// of a version first hand announces it to other failure domains again. The
// heartbeats to them would make up for a lost notice only after
// remoteHeartbeatInterval, which is too late.
const documentNoticeRepeatDelay = time.Second

// announceDocument tells peers of a new version. If this instance learned of it
// first hand (source is empty), it tells all peers. If a peer in another
// failure domain was the source, it tells the peers in its own domain.
func (s *State) announceDocument(row DocumentRow, source InstanceID) {
	if source != "" && s.failureDomainOf(source) == s.self.FailureDomain {
		return
	}
	for _, id := range s.peerIDs() {
		if source == "" || s.failureDomainOf(id) == s.self.FailureDomain {
			s.sendDocumentNotice(id, row)
		}
	}
	if source == "" {
		s.runAfter(documentNoticeRepeatDelay, func(s *State) { s.repeatDocumentNotice(row) })
	}
}

func (s *State) repeatDocumentNotice(row DocumentRow) {
	if s.documentVersion(row.Service) != row.Version {
		return
	}
	for _, id := range s.peerIDs() {
		p := s.members.peers[id]
		if s.usesRemoteInterval(p) && p.digest != s.documents.digest {
			s.sendDocumentNotice(id, row)
		}
	}
}

// sendDocumentNotice announces a version to a peer. It leaves out the history
// of the row, which a notice does not need.
func (s *State) sendDocumentNotice(id InstanceID, row DocumentRow) {
	row.History = nil
	s.sendPeer(id, PeerMessage{DocumentPush: &DocumentPush{DocumentRow: row}})
}

func (s *State) failureDomainOf(id InstanceID) FailureDomain {
	if p := s.members.peers[id]; p != nil {
		return p.FailureDomain
	}
	return s.self.FailureDomain
}

func (s *State) documentPushReceived(from InstanceID, push DocumentPush) {
	if push.Body == nil {
		s.fetchDocumentIfNewer(push.DocumentRow, from)
		return
	}
	s.activateDocument(push.DocumentRow, push.Body, from)
}

func (s *State) documentRequestReceived(from InstanceID, request DocumentRequest) {
	for _, service := range request.Services {
		if active := s.documents.inForce[service]; active != nil {
			push := DocumentPush{DocumentRow: active.row, Body: active.body}
			s.sendPeer(from, PeerMessage{DocumentPush: &push})
		}
	}
}

// syncHeartbeatDocuments compares the documents of a heartbeat with those in
// force. A peer that has all accepted documents proves which ones are accepted.
// One that still lacks some, for example because it has just started, proves
// nothing.
func (s *State) syncHeartbeatDocuments(from InstanceID, heartbeat Heartbeat) {
	same := heartbeat.Digest == s.documents.digest
	if !same && heartbeat.Documents == nil {
		return
	}
	if !same {
		s.syncDocumentVersions(from, heartbeat.Documents)
	}
	if heartbeat.HasDocuments && !s.documents.acceptedKnown {
		s.documents.acceptedKnown = true
		s.updateDocumentsReceived()
	}
}

// syncDocumentVersions fetches the versions that are newer at a peer and
// announces to it those that are newer at this instance.
func (s *State) syncDocumentVersions(from InstanceID, versions []DocumentVersion) {
	theirs := make(map[string]uint64, len(versions))
	for _, v := range versions {
		theirs[v.Service] = v.Version
		s.fetchDocumentIfNewer(DocumentRow{Service: v.Service, Version: v.Version}, from)
	}
	for _, service := range s.documents.serviceNames {
		active := s.documents.inForce[service]
		if active.row.Version > theirs[service] {
			s.sendDocumentNotice(from, active.row)
		}
	}
}
