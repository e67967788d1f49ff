package rpcore

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// driver sends events to one State and collects the effects.
type driver struct {
	State
	at      time.Time
	effects []Effect
}

// withDriver returns a driver for instance a in failure domain A, which has
// started.
func withDriver() *driver {
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

// listMembers sends an instance list with instance b of failure domain A and
// the given members.
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

// Guards against an instance that stops using its documents while it fetches a
// new version, or after it received a version that this program can't read.
func TestDocumentsStayWhileFetching(t *testing.T) {
	for name, body := range map[string][]byte{"missing": nil, "unreadable": []byte("format = 99")} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := withDriver()
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

// Guards against a start that waits forever for a document that this program
// can't read.
func TestStartWithUnreadableBody(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.listMembers()
	body := []byte("format = 99")
	row := DocumentRow{Service: "sber", Version: 2, Hash: rpdocument.Hash(body)}
	d.answerRead(Row{Key: RowKey{Kind: RowDocument, Service: "sber"}, Version: 2, RowBody: RowBody{Document: &row}})
	g.Expect(d.hasDocuments()).To(BeFalse())
	d.feed(DocumentLoaded{d.stamp(), "sber", 2, row.Hash, body, false})
	g.Expect(d.hasDocuments()).To(BeTrue())
}

// Guards against an unreadable document that is fetched again after every
// heartbeat.
func TestUnreadableBodyIsFetchedOnce(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
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

// Guards against a crash of the instance, or a second answer, when the events
// of a submission arrive twice.
func TestSubmissionTwice(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
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

// Guards against the result conflict for a repeated submission. The first one
// was accepted, but its answer was lost.
func TestSubmissionRepeated(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
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

// Guards against polls of the old address after the address of an engine
// changed.
func TestPollFollowsAddress(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.feed(MembersListed{d.stamp(), []Member{engineMember("e1", 1)}})
	d.feed(MembersListed{d.stamp(), []Member{engineMember("e2", 2)}})
	polls := driverEffects[PollEngine](d)
	g.Expect(polls[len(polls)-1].Address.Port()).To(Equal(uint16(2)))
}

// Guards against a leaving notice that is ignored because a refused connection
// preceded it. The next report would then bring new requests to the leaving
// endpoint.
func TestLeavingNoticeAfterRefusedConnection(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.listMembers(engineMember("e1", 1))
	d.feed(EngineUnreachable{d.stamp(), "engine-1", true})
	d.feed(PeerReceived{d.stamp(), "b", PeerMessage{LeavingNotice: &LeavingNotice{Endpoint: "engine-1", Incarnation: "e1"}}})
	d.feed(EngineReported{d.stamp(), EngineReport{Endpoint: "engine-1", Incarnation: "e1", Sequence: 1}})
	g.Expect(d.endpointByID("engine-1").leaving).To(BeTrue())
}

// Guards against a plain service that gets no requests for the rest of its
// incarnation after one refused connection, since it sends no reports that
// would refute it.
func TestPlainServiceReturnsAfterRefusedConnection(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.listMembers(Member{ID: "charge-1", Kind: MemberService, Service: "bestelbalie", FailureDomain: "A", Incarnation: "c1"})
	for range 2 {
		d.feed(EngineUnreachable{d.stamp(), "charge-1", true})
		g.Expect(d.serviceEndpoints("bestelbalie")).To(BeEmpty())
		d.advance(int(serviceRefusalDuration/time.Second) + 1)
		g.Expect(d.serviceEndpoints("bestelbalie")).To(HaveLen(1))
	}
}

// Guards against an incarnation that counts as gone because of snapshots that
// were taken before a pause or outage. Limits.ListLag passes during the pause,
// and the old snapshots arrive after it.
func TestSnapshotsBeforePauseDoNotProveIncarnationGone(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
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

// Guards against a late detection of the end of an incarnation. If it was
// listed for longer than Limits.ListLag, it must count as gone after three
// snapshots without it, so that its slots are released.
func TestIncarnationGoneAfterThreeSnapshots(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.listMembers(engineMember("e1", 1))
	d.advance(70)
	for range absentSnapshots {
		g.Expect(d.incarnationGone("engine-1", "e1")).To(BeFalse())
		d.listMembers()
		d.advance(1)
	}
	g.Expect(d.incarnationGone("engine-1", "e1")).To(BeTrue())
}

// Guards against leaving notices that instances send to each other forever, and
// against heartbeats that grow without bound.
func TestLeavingNoticesExpire(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
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

// Guards against home assignments that differ between instances for up to two
// seconds. This happened when a peer that never sent a heartbeat was dropped
// only at the next heartbeat tick, while the instances read the list a second
// apart.
func TestSilenceOfNewPeerEndsOnTime(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.listMembers()
	g.Expect(d.liveInstances()).To(Equal([]InstanceID{"a", "b"}))
	d.advance(3)
	d.at = d.at.Add(peerSilenceTimeout - 3*time.Second + 10*time.Millisecond)
	d.feed(Tick{d.stamp()})
	g.Expect(d.liveInstances()).To(Equal([]InstanceID{"a"}))
}
