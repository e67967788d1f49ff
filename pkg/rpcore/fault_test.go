package rpcore

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// driver feeds events to one State and collects the effects.
type driver struct {
	State
	at      time.Time
	effects []Effect
}

// newDriver returns the started State of instance a in domain A.
func newDriver() *driver {
	d := &driver{at: time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)}
	d.feed(Start{Stamp: Stamp{d.at}, Self: Identity{"a", "a-1", "A"}, Seed: 1})
	return d
}

func (d *driver) stamp() Stamp { return Stamp{d.at} }

func (d *driver) feed(ev Event) { d.effects = append(d.effects, d.Reduce(ev)...) }

// advance advances the clock second by second.
func (d *driver) advance(seconds int) {
	for range seconds {
		d.at = d.at.Add(time.Second)
		d.feed(Tick{d.stamp()})
	}
}

// listMembers lists instance b of domain A and the members given.
func (d *driver) listMembers(members ...Member) {
	b := Member{ID: "b", Kind: MemberInstance, FailureDomain: "A", Incarnation: "b-1"}
	d.feed(MembersListed{d.stamp(), append([]Member{b}, members...)})
}

func (d *driver) pushDocument(service string, version uint64, body []byte) {
	row := DocumentRow{Service: service, Version: version, Hash: rpdocument.Hash(body)}
	d.feed(PeerReceived{d.stamp(), "b", PeerMessage{DocumentPush: &DocumentPush{row, body}}})
}

// driverEffects returns the collected effects of one type.
func driverEffects[E Effect](d *driver) []E {
	var found []E
	for _, effect := range d.effects {
		if effect, ok := effect.(E); ok {
			found = append(found, effect)
		}
	}
	return found
}

func (d *driver) answerRead(rows ...Row) {
	reads := driverEffects[ReadTable](d)
	d.feed(TableReadDone{Stamp: d.stamp(), Op: reads[len(reads)-1].Op, Rows: rows})
}

// Guards against an instance that refuses all work while it fetches a new
// version, or for good after one that this program can't read.
func TestDocumentsStayWhileFetching(t *testing.T) {
	for name, body := range map[string][]byte{"missing": nil, "unreadable": []byte("format = 99")} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := newDriver()
			d.listMembers()
			d.answerRead()
			d.pushDocument("sber", 1, documentBody("sber", "one"))
			g.Expect(d.hasDocuments()).To(BeTrue())
			d.pushDocument("sber", 2, body)
			d.pushDocument("kodovac", 1, body)
			g.Expect(d.hasDocuments()).To(BeTrue())
			g.Expect(d.documentVersion("sber")).To(Equal(uint64(1)))
		})
	}
}

// Guards against a start that waits for ever for a body that this program
// can't read.
func TestStartWithUnreadableBody(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	d.listMembers()
	body := []byte("format = 99")
	row := DocumentRow{Service: "sber", Version: 2, Hash: rpdocument.Hash(body)}
	d.answerRead(Row{Key: RowKey{Kind: RowDocument, Service: "sber"}, Version: 2, RowBody: RowBody{Document: &row}})
	g.Expect(d.hasDocuments()).To(BeFalse())
	d.feed(DocumentLoaded{d.stamp(), "sber", 2, row.Hash, body, false})
	g.Expect(d.hasDocuments()).To(BeTrue())
}

// Guards against an unreadable body that every heartbeat transfers again.
func TestUnreadableBodyIsFetchedOnce(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	d.listMembers()
	d.answerRead()
	d.pushDocument("sber", 2, []byte("format = 99"))
	d.effects = nil
	for range 10 {
		d.advance(1)
		d.feed(PeerReceived{d.stamp(), "b", PeerMessage{Heartbeat: &Heartbeat{
			Identity: Identity{"b", "b-1", "A"}, Digest: 7, Documents: []DocumentVersion{{"sber", 2}},
		}}})
	}
	for _, sent := range driverEffects[SendPeer](d) {
		g.Expect(sent.Message.DocumentRequest).To(BeNil())
	}
}

// Guards against a crash of the instance when a submission arrives twice.
func TestSubmissionTwice(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	submitted := DocumentSubmitted{Stamp: d.stamp(), Submission: "s", Service: "sber", Body: documentBody("sber", "one")}
	d.feed(submitted)
	d.feed(submitted)
	for _, read := range driverEffects[ReadTable](d) {
		d.feed(TableReadDone{Stamp: d.stamp(), Op: read.Op})
	}
	d.feed(DocumentStored{Stamp: d.stamp(), Submission: "s"})
	d.feed(DocumentStored{Stamp: d.stamp(), Submission: "s"})
	for _, write := range driverEffects[WriteTable](d) {
		d.feed(TableWriteDone{d.stamp(), write.Op, WriteApplied})
	}
	g.Expect(driverEffects[AnswerSubmission](d)).To(HaveLen(1))
	g.Expect(driverEffects[AnswerSubmission](d)[0].Result).To(Equal(SubmissionAccepted))
}

// Guards against the answer conflict to an operator who repeats a submission
// that was accepted and whose answer was lost.
func TestSubmissionRepeated(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	d.feed(DocumentSubmitted{Stamp: d.stamp(), Submission: "s", Service: "sber", EditedVersion: 1, Body: documentBody("sber", "two")})
	row := DocumentRow{Service: "sber", Version: 3, Submission: "later", History: []AcceptedVersion{{Version: 2, Submission: "s"}, {Version: 1}}}
	d.answerRead(Row{Key: RowKey{Kind: RowDocument, Service: "sber"}, Version: 3, RowBody: RowBody{Document: &row}})
	answers := driverEffects[AnswerSubmission](d)
	g.Expect(answers).To(HaveLen(1))
	g.Expect(answers[0].Result).To(Equal(SubmissionAccepted))
	g.Expect(answers[0].Version).To(Equal(uint64(2)))
}

func engineMember(incarnation Incarnation, port uint16) Member {
	return Member{
		ID: "engine-1", Kind: MemberEngine, Service: "sber", FailureDomain: "A", Incarnation: incarnation,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
	}
}

// Guards against polls of the old address after an engine moved.
func TestPollFollowsAddress(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	d.feed(MembersListed{d.stamp(), []Member{engineMember("e1", 1)}})
	d.feed(MembersListed{d.stamp(), []Member{engineMember("e2", 2)}})
	polls := driverEffects[PollEngine](d)
	g.Expect(polls[len(polls)-1].Address.Port()).To(Equal(uint16(2)))
}

// Guards against firm evidence that is lost because a refused connection came
// before it, so that the next report would bring new work to the endpoint.
func TestLeavingNoticeAfterRefusedConnection(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	d.listMembers(engineMember("e1", 1))
	d.feed(EngineUnreachable{d.stamp(), "engine-1", true})
	d.feed(PeerReceived{d.stamp(), "b", PeerMessage{LeavingNotice: &LeavingNotice{Endpoint: "engine-1", Incarnation: "e1"}}})
	d.feed(EngineReported{d.stamp(), EngineReport{Endpoint: "engine-1", Incarnation: "e1", Sequence: 1}})
	g.Expect(d.endpointByID("engine-1").leaving).To(BeTrue())
}

// Guards against a plain service that gets no work for the rest of its
// lifetime after one refused connection: nothing reports for it.
func TestPlainServiceReturnsAfterRefusedConnection(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	d.listMembers(Member{ID: "charge-1", Kind: MemberService, Service: "bestelbalie", FailureDomain: "A", Incarnation: "c1"})
	for range 2 {
		d.feed(EngineUnreachable{d.stamp(), "charge-1", true})
		g.Expect(d.serviceEndpoints("bestelbalie")).To(BeEmpty())
		d.advance(int(serviceRefusalDuration/time.Second) + 1)
		g.Expect(d.serviceEndpoints("bestelbalie")).To(HaveLen(1))
	}
}

// Guards against an end of a lifetime that is concluded from readings made
// before the pause or the outage in which the bound passed.
func TestListingsBeforePauseDoNotProveIncarnationGone(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	g.Expect(d.incarnationGone("x", "x-1")).To(BeFalse())
	for range 3 {
		d.advance(1)
		d.listMembers()
	}
	d.advance(70)
	for range 3 {
		d.listMembers()
	}
	g.Expect(d.incarnationGone("x", "x-1")).To(BeFalse())
	for range 3 {
		d.advance(1)
		d.listMembers()
	}
	g.Expect(d.incarnationGone("x", "x-1")).To(BeTrue())
}

// Guards against slow proofs: a lifetime that was listed for long is gone
// after three readings, so that its slots are free soon.
func TestIncarnationGoneAfterThreeListings(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	d.listMembers(engineMember("e1", 1))
	d.advance(70)
	for range absentSnapshots {
		g.Expect(d.incarnationGone("engine-1", "e1")).To(BeFalse())
		d.listMembers()
		d.advance(1)
	}
	g.Expect(d.incarnationGone("engine-1", "e1")).To(BeTrue())
}

// Guards against notices that instances repeat to each other for ever, and
// against a heartbeat that grows without bound.
func TestLeavingNoticesExpire(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	d.listMembers()
	for i := range 200 {
		notice := LeavingNotice{Endpoint: EndpointID(fmt.Sprintf("gone-%d", i)), Incarnation: "e1"}
		d.feed(PeerReceived{d.stamp(), "b", PeerMessage{LeavingNotice: &notice}})
	}
	sent := make(map[EndpointID]bool)
	for range 10 {
		for _, notice := range d.leavingNotices() {
			sent[notice.Endpoint] = true
		}
		g.Expect(len(d.leavingNotices())).To(BeNumerically("<=", leavingNoticeLimit))
		d.advance(1)
	}
	g.Expect(sent).To(HaveLen(200))
	echo := d.leavingNotices()
	d.advance(int(leavingRepeatPeriod/time.Second) + 1)
	g.Expect(d.leavingNotices()).To(BeEmpty())
	for _, notice := range echo {
		notice.Age = leavingRepeatPeriod + time.Second
		d.feed(PeerReceived{d.stamp(), "b", PeerMessage{LeavingNotice: &notice}})
	}
	g.Expect(d.leavingNotices()).To(BeEmpty())
}

// Guards against homes that differ for up to two seconds between instances
// that read the list a second apart, because a peer that never sent a
// heartbeat is dropped only at the next heartbeat tick.
func TestSilenceOfNewPeerEndsOnTime(t *testing.T) {
	g := NewWithT(t)
	d := newDriver()
	d.listMembers()
	g.Expect(d.liveInstances()).To(Equal([]InstanceID{"a", "b"}))
	d.advance(3)
	d.at = d.at.Add(peerSilenceTimeout - 3*time.Second + 10*time.Millisecond)
	d.feed(Tick{d.stamp()})
	g.Expect(d.liveInstances()).To(Equal([]InstanceID{"a"}))
}
