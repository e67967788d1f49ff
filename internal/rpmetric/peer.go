package rpmetric

import "github.com/rattanpaddle/rattanpaddle/pkg/rpcore"

// peerMessageKind returns the kind of a message, which is listed in
// peerMessageKinds.
func peerMessageKind(message rpcore.PeerMessage) string {
	switch {
	case message.Heartbeat != nil:
		return "heartbeat"
	case message.DocumentPush != nil:
		return "document_push"
	case message.DocumentRequest != nil:
		return "document_request"
	case message.Demand != nil:
		return "demand"
	case message.DemandAnswer != nil:
		return "demand_answer"
	case message.ReportShare != nil:
		return "report_share"
	case message.ReplicaNotice != nil:
		return "replica_notice"
	case message.LeavingNotice != nil:
		return "leaving_notice"
	case message.TicketRequest != nil:
		return "ticket_request"
	case message.TicketGrant != nil:
		return "ticket_grant"
	case message.TicketRelease != nil:
		return "ticket_release"
	}
	return otherValue
}
