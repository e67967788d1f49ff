package rpcore

import "time"

// documentNoticeRepeatDelay is the wait before the instance that learned of a
// version first hand tells other failure domains again. Heartbeats to them
// repair a lost notice only after remoteHeartbeatInterval, which is too late.
const documentNoticeRepeatDelay = time.Second

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

// sendDocumentNotice leaves out the history, which the notice does not need.
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
// force. A peer that has all documents proves which ones are accepted; one
// that lacks some, such as one that has just started, proves nothing.
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

// syncDocumentVersions fetches what a peer has newer and tells it what this
// instance has newer.
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
