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

// withDriver returns the started State of instance a in domain A.
func withDriver() *driver {
	d := &driver{at: time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)}
	d.feed(Start{Stamp: Stamp{d.at}, Self: Identity{"a", "a-1", "A"}, Seed: 1})
	return d
}

func (d *driver) stamp() Stamp { return Stamp{d.at} }

func (d *driver) feed(ev Event) { d.effects = append(d.effects, d.Reduce(ev)...) }

// pass advances the clock second by second.
func (d *driver) pass(seconds int) {
	for range seconds {
		d.at = d.at.Add(time.Second)
		d.feed(Tick{d.stamp()})
	}
}

// list lists instance b of domain A and the members given.
func (d *driver) list(members ...Member) {
	b := Member{ID: "b", Kind: MemberInstance, FailureDomain: "A", Incarnation: "b-1"}
	d.feed(MembersListed{d.stamp(), append([]Member{b}, members...)})
}

func (d *driver) push(service string, version uint64, body []byte) {
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
			d := withDriver()
			d.list()
			d.answerRead()
			d.push("sber", 1, documentBody("sber", "one"))
			g.Expect(d.hasDocuments()).To(BeTrue())
			d.push("sber", 2, body)
			d.push("kodovac", 1, body)
			g.Expect(d.hasDocuments()).To(BeTrue())
			g.Expect(d.documentVersion("sber")).To(Equal(uint64(1)))
		})
	}
}

// Guards against a start that waits for ever for a body that this program
// can't read.
func TestStartWithUnreadableBody(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.list()
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
	d := withDriver()
	d.list()
	d.answerRead()
	d.push("sber", 2, []byte("format = 99"))
	d.effects = nil
	for range 10 {
		d.pass(1)
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

// Guards against the answer conflict to an operator who repeats a submission
// that was accepted and whose answer was lost.
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

func withEngineMember(incarnation Incarnation, port uint16) Member {
	return Member{
		ID: "engine-1", Kind: MemberEngine, Service: "sber", FailureDomain: "A", Incarnation: incarnation,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
	}
}

// Guards against polls of the old address after an engine moved.
func TestPollFollowsAddress(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.feed(MembersListed{d.stamp(), []Member{withEngineMember("e1", 1)}})
	d.feed(MembersListed{d.stamp(), []Member{withEngineMember("e2", 2)}})
	polls := driverEffects[PollEngine](d)
	g.Expect(polls[len(polls)-1].Address.Port()).To(Equal(uint16(2)))
}

// Guards against firm evidence that is lost because a refused connection came
// before it, so that the next report would bring new work to the endpoint.
func TestFirmEvidenceAfterRefusal(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.list(withEngineMember("e1", 1))
	d.feed(EngineUnreachable{d.stamp(), "engine-1", true})
	d.feed(PeerReceived{d.stamp(), "b", PeerMessage{LeavingNotice: &LeavingNotice{Endpoint: "engine-1", Incarnation: "e1"}}})
	d.feed(EngineReported{d.stamp(), EngineReport{Endpoint: "engine-1", Incarnation: "e1", Sequence: 1}})
	g.Expect(d.endpointByID("engine-1").leaving).To(BeTrue())
}

// Guards against a plain service that gets no work for the rest of its
// lifetime after one refused connection: nothing reports for it.
func TestServiceRefusalEnds(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.list(Member{ID: "charge-1", Kind: MemberService, Service: "bestelbalie", FailureDomain: "A", Incarnation: "c1"})
	for range 2 {
		d.feed(EngineUnreachable{d.stamp(), "charge-1", true})
		g.Expect(d.serviceEndpoints("bestelbalie")).To(BeEmpty())
		d.pass(int(serviceRefusalDuration/time.Second) + 1)
		g.Expect(d.serviceEndpoints("bestelbalie")).To(HaveLen(1))
	}
}

// Guards against an end of a lifetime that is concluded from readings made
// before the pause or the outage in which the bound passed.
func TestOldReadingsProveNothing(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	g.Expect(d.incarnationGone("x", "x-1")).To(BeFalse())
	for range 3 {
		d.pass(1)
		d.list()
	}
	d.pass(70)
	for range 3 {
		d.list()
	}
	g.Expect(d.incarnationGone("x", "x-1")).To(BeFalse())
	for range 3 {
		d.pass(1)
		d.list()
	}
	g.Expect(d.incarnationGone("x", "x-1")).To(BeTrue())
}

// Guards against slow proofs: a lifetime that was listed for long is gone
// after three readings, so that its slots are free soon.
func TestGoneAfterThreeReadings(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.list(withEngineMember("e1", 1))
	d.pass(70)
	for range absentSnapshots {
		g.Expect(d.incarnationGone("engine-1", "e1")).To(BeFalse())
		d.list()
		d.pass(1)
	}
	g.Expect(d.incarnationGone("engine-1", "e1")).To(BeTrue())
}

// Guards against notices that instances repeat to each other for ever, and
// against a heartbeat that grows without bound.
func TestNoticesEnd(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.list()
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
		d.pass(1)
	}
	g.Expect(sent).To(HaveLen(200))
	echo := d.leavingNotices()
	d.pass(int(leavingRepeatPeriod/time.Second) + 1)
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
	d := withDriver()
	d.list()
	g.Expect(d.liveInstances()).To(Equal([]InstanceID{"a", "b"}))
	d.pass(3)
	d.at = d.at.Add(peerSilenceTimeout - 3*time.Second + 10*time.Millisecond)
	d.feed(Tick{d.stamp()})
	g.Expect(d.liveInstances()).To(Equal([]InstanceID{"a"}))
}
