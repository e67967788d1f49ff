package rptimeline

import (
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

func (r *Recorder) addReceivedMessage(ev *rpcore.PeerReceived) {
	rec := record{kind: KindMessageReceived, peer: string(ev.From)}
	if describeMessage(&rec, &ev.Message) {
		r.add(&rec)
	}
}

func (r *Recorder) addSentMessage(effect *rpcore.SendPeer) {
	rec := record{kind: KindMessageSent, peer: string(effect.To)}
	if describeMessage(&rec, &effect.Message) {
		r.add(&rec)
	}
}

// describeMessage fills in the fields of a message and returns false if the
// message is not recorded. Heartbeats and reports are not, because at the design
// size an instance sends and receives about 140 of them a second.
func describeMessage(rec *record, message *rpcore.PeerMessage) bool {
	switch m := message; {
	case m.Heartbeat != nil, m.ReportShare != nil:
		return false
	case m.DocumentPush != nil:
		rec.code, rec.service, rec.count = "document_push", m.DocumentPush.Service, m.DocumentPush.Version
	case m.DocumentRequest != nil:
		rec.code = "document_request"
	case m.Demand != nil:
		rec.code, rec.text = "demand", m.Demand.Adapter
		setModel(rec, m.Demand.Model)
	case m.DemandAnswer != nil:
		rec.code = "demand_answer"
		if refused := m.DemandAnswer.Refusal; refused != nil {
			rec.text = refused.Detail
		}
		setModel(rec, m.DemandAnswer.Model)
	case m.ReplicaNotice != nil:
		rec.code, rec.endpoint = "replica_notice", string(m.ReplicaNotice.Endpoint)
		setModel(rec, m.ReplicaNotice.Loaded.Key)
	case m.LeavingNotice != nil:
		rec.code, rec.endpoint = "leaving_notice", string(m.LeavingNotice.Endpoint)
	case m.TicketRequest != nil:
		rec.code, rec.text = "ticket_request", string(m.TicketRequest.Kind)
	case m.TicketGrant != nil:
		rec.code = "ticket_grant"
	case m.TicketRelease != nil:
		rec.code = "ticket_release"
	default:
		rec.code = "unknown"
	}
	return true
}

func setModel(rec *record, key rpcore.ModelKey) { rec.service, rec.model = key.Service, key.Name }
