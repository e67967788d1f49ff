package rpcore

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// documentPropagationLimit is the time after acceptance within which a version
// must be in force at every reachable instance.
const documentPropagationLimit = 3 * time.Second

// documentChecker checks the documents of every State after every event.
type documentChecker struct {
	sim *sim
	// accepted holds the hash of each version that was written to the table,
	// and submissions the version of each accepted submission.
	accepted    map[DocumentVersion]string
	submissions map[string]DocumentVersion
	// inForce holds the last version seen in force at each State, by service.
	inForce map[*State]map[string]uint64
	answers map[string]AnswerSubmission
}

// withDocumentChecker returns a checker that checks every later step of a
// simulation.
func withDocumentChecker(s *sim) *documentChecker {
	c := &documentChecker{
		sim: s, accepted: make(map[DocumentVersion]string), submissions: make(map[string]DocumentVersion),
		inForce: make(map[*State]map[string]uint64), answers: make(map[string]AnswerSubmission),
	}
	s.table.onApplied = append(s.table.onApplied, c.recordApplied)
	s.onStep = append(s.onStep, c.checkStep)
	return c
}

func (c *documentChecker) recordApplied(writes []RowWrite) {
	row := writes[0].Document
	version := DocumentVersion{row.Service, row.Version}
	if hash, ok := c.accepted[version]; ok {
		c.sim.t.Fatalf("%v accepted twice: %s, %s", version, hash, row.Hash)
	}
	c.accepted[version] = row.Hash
	c.submissions[row.Submission] = version
}

// checkStep checks that versions never decrease within a lifetime and that the
// content of each version is the accepted one.
func (c *documentChecker) checkStep(n *simNode, ev Event, effects []Effect) {
	known := c.inForce[n.state]
	if known == nil {
		known = make(map[string]uint64)
		c.inForce[n.state] = known
	}
	for service, active := range n.state.documents.inForce {
		version := DocumentVersion{service, active.row.Version}
		if version.Version < known[service] {
			c.sim.t.Fatalf("%s: %s went from %d to %d on %T", n.self.Incarnation, service, known[service], version.Version, ev)
		}
		if version.Version == known[service] {
			continue
		}
		known[service] = version.Version
		if hash := c.accepted[version]; hash != active.row.Hash || hash != rpdocument.Hash(active.body) {
			c.sim.t.Fatalf("%s: content of %v is %s, accepted was %q", n.self.Incarnation, version, active.row.Hash, hash)
		}
	}
	for _, effect := range effects {
		if answer, ok := effect.(AnswerSubmission); ok {
			c.answers[answer.Submission] = answer
		}
	}
}

// checkAnswers checks all answers against the table. It must be called when no
// write is in transit any more.
func (c *documentChecker) checkAnswers() {
	for id, answer := range c.answers {
		version, accepted := c.submissions[id]
		switch answer.Result {
		case SubmissionAccepted:
			if !accepted || version.Version != answer.Version {
				c.sim.t.Fatalf("submission %s was answered accepted as %d; the table has %v %v", id, answer.Version, accepted, version)
			}
		case SubmissionUnknown:
		default:
			if accepted {
				c.sim.t.Fatalf("submission %s was answered %s and accepted as %v", id, answer.Result, version)
			}
		}
	}
}

// submit submits a document at an instance.
func (n *simNode) submit(id, service string, edited uint64) {
	n.submitBody(id, service, edited, documentBody(service, id))
}

func (n *simNode) submitBody(id, service string, edited uint64, body []byte) {
	n.schedule(0, func() {
		n.reduce(func(at Stamp) Event {
			return DocumentSubmitted{Stamp: at, Submission: id, Service: service, EditedVersion: edited, Editor: "e", Body: body}
		})
	})
}

// documentBody returns a valid document body; text makes the content distinct.
func documentBody(service, text string) []byte {
	return []byte("# " + text + "\nformat = 1\nservice = \"" + service + "\"\nteam = \"t\"\n" +
		"editors = [\"0000000000000000000000000000000000000000000000000000000000000001\"]\n[spend]\naccelerators = 8\n")
}

// mustAccept submits a document at an instance, waits for the answer and fails
// unless it is accepted. It returns the version.
func (c *documentChecker) mustAccept(n *simNode, service string) uint64 {
	id := fmt.Sprintf("s%d", len(c.answers))
	version := n.sim.table.rows[RowKey{Kind: RowDocument, Service: service}].Version + 1
	n.submit(id, service, version-1)
	for range 1000 {
		if answer, ok := c.answers[id]; ok {
			if answer.Result != SubmissionAccepted {
				c.sim.t.Fatalf("submission %s at %s: %s", id, n.self.Instance, answer.Result)
			}
			return version
		}
		n.sim.advance(10 * time.Millisecond)
	}
	c.sim.t.Fatalf("submission %s has no answer", id)
	return 0
}

// expectInForce checks that a version is in force at all of the nodes.
func (s *sim) expectInForce(nodes []*simNode, service string, version uint64) {
	s.t.Helper()
	for _, n := range nodes {
		if got := n.state.documentVersion(service); got != version {
			s.t.Fatalf("at %v: %s (%s) has %s version %d, not %d", s.now.Sub(s.start), n.self.Incarnation, n.self.FailureDomain, service, got, version)
		}
	}
}

// Guards against two operators who are both told that their version was
// accepted, and against answers that contradict the table. Answers get lost,
// writes take effect late, and there are outages, pauses and restarts.
func TestRacingSubmissions(t *testing.T) {
	checkProperty(t, func(rt *rapid.T) {
		s := withSim(rt, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 6).Draw(rt, "instances"), 2)
		s.net.loss = 0.1
		s.list.maxLag = rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(rt, "lag")
		checker := withDocumentChecker(s)
		s.startAll().advance(2 * time.Second)
		s.table.refusalRate = rapid.Float64Range(0, 0.3).Draw(rt, "refused")
		s.table.answerLossRate = rapid.Float64Range(0, 0.7).Draw(rt, "lost")
		s.table.lateWriteRate, s.table.maxLateDelay = 0.4, 10*time.Second
		for round := range rapid.IntRange(1, 4).Draw(rt, "rounds") {
			for i := range rapid.IntRange(2, 3).Draw(rt, "operators") {
				n := s.nodes[s.rng.IntN(len(s.nodes))]
				n.submit(fmt.Sprintf("r%d-%d", round, i), "mixadvies", s.table.rows[RowKey{Kind: RowDocument, Service: "mixadvies"}].Version)
			}
			s.advance(s.delay(0, 200*time.Millisecond))
			n := s.nodes[s.rng.IntN(len(s.nodes))]
			switch rapid.IntRange(0, 3).Draw(rt, "fault") {
			case 0:
				n.restart()
			case 1:
				n.pause(s.delay(time.Second, 20*time.Second))
			}
			s.advance(s.delay(0, 4*time.Second))
		}
		s.advance(2 * time.Minute)
		checker.checkAnswers()
	})
}

// Guards against the answer "not accepted" to a submission whose write takes
// effect long after all answers were lost. TestRacingSubmissions does not reach
// this case.
func TestUnknownSubmissionIsCalledUnknown(t *testing.T) {
	s := withSim(t, 1, 2, 2)
	checker := withDocumentChecker(s)
	s.startAll().advance(2 * time.Second)
	s.table.answerLossRate, s.table.lateWriteRate, s.table.maxLateDelay = 1, 1, time.Hour
	s.nodes[0].submit("a", "sber", 0)
	s.advance(2 * time.Minute)
	if answer := checker.answers["a"]; answer.Result != SubmissionUnknown {
		t.Fatalf("answered %q", answer.Result)
	}
	s.advance(time.Hour)
	if _, accepted := checker.submissions["a"]; !accepted {
		t.Fatal("the write never took effect")
	}
}

// Guards against two concurrent submissions that are both accepted or both
// refused while the table works.
func TestRaceHasOneWinner(t *testing.T) {
	checkProperty(t, func(rt *rapid.T) {
		s := withSim(rt, rapid.Uint64().Draw(rt, "seed"), 4, 2)
		checker := withDocumentChecker(s)
		s.startAll().advance(2 * time.Second)
		s.nodes[0].submit("a", "sber", 0)
		s.advance(rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, time.Second}).Draw(rt, "apart"))
		s.nodes[1].submit("b", "sber", 0)
		s.advance(5 * time.Second)
		won := 0
		for _, id := range []string{"a", "b"} {
			if checker.answers[id].Result == SubmissionAccepted {
				won++
			} else if checker.answers[id].Result != SubmissionConflict {
				rt.Fatalf("submission %s: %q", id, checker.answers[id].Result)
			}
		}
		if won != 1 {
			rt.Fatalf("%d submissions were accepted", won)
		}
	})
}

// Guards against a version that reaches an instance too late, or that is lost
// by restarts. The faults are a domain cut off from the platform, cuts between
// domains, an outage of the object store, lost messages, pauses and restarts.
func TestDocumentSpreads(t *testing.T) {
	checkProperty(t, func(rt *rapid.T) {
		d := rapid.IntRange(2, 4).Draw(rt, "domains")
		s := withSim(rt, rapid.Uint64().Draw(rt, "seed"), d*rapid.IntRange(1, 4).Draw(rt, "per domain"), d)
		s.net.loss, s.net.maxConsecutiveLosses = 0.1, 1
		s.list.maxLag = rapid.SampledFrom([]time.Duration{0, 5 * time.Second, 60 * time.Second}).Draw(rt, "lag")
		checker := withDocumentChecker(s)
		s.startAll().advance(7 * time.Second)
		var version uint64
		for range rapid.IntRange(1, 4).Draw(rt, "rounds") {
			version = checker.checkPropagation(rt)
		}
		s.clearFaults()
		s.advance(10 * time.Second)
		for _, n := range s.nodes {
			n.restart()
			s.advance(2 * time.Second)
		}
		s.expectInForce(s.nodes, "mixadvies", version)
		for _, n := range s.nodes {
			n.restart()
		}
		s.advance(documentPropagationLimit)
		s.expectInForce(s.nodes, "mixadvies", version)
		checker.checkAnswers()
	})
}

// checkPropagation gets a version accepted under faults. After
// documentPropagationLimit it checks that the version is in force at the
// instances that were reachable all the time.
func (c *documentChecker) checkPropagation(rt *rapid.T) uint64 {
	s := c.sim
	s.clearFaults()
	domains := func(n *simNode) FailureDomain { return n.self.FailureDomain }
	draw := func(label string) *simNode { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, label)] }
	cutOff, at := draw("cut off from the platform"), draw("accepting")
	if domains(cutOff) != domains(at) {
		s.net.platformCut[domains(cutOff)] = true
	}
	for range rapid.IntRange(0, 2).Draw(rt, "cuts") {
		a, b := draw("cut"), draw("cut")
		s.net.setCut(domains(a), domains(b), true)
	}
	for range rapid.IntRange(0, 2).Draw(rt, "faults") {
		n := draw("faulty")
		if rapid.Bool().Draw(rt, "restarts") {
			n.restart()
		} else if !n.paused {
			n.pause(s.delay(time.Second, 20*time.Second))
		}
	}
	s.advance(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms before")) * time.Millisecond)
	for at.paused {
		s.advance(time.Second)
	}
	version := c.mustAccept(at, "mixadvies")
	accepted := s.now
	s.objects.down = rapid.Bool().Draw(rt, "object store down")
	reachable := s.reachableFrom(at)
	s.advance(documentPropagationLimit)
	var steady []*simNode
	for _, n := range reachable {
		if n.participates() && !n.runningSince.After(accepted) {
			steady = append(steady, n)
		}
	}
	s.expectInForce(steady, "mixadvies", version)
	return version
}

func (s *sim) clearFaults() {
	clear(s.net.cuts)
	clear(s.net.platformCut)
	s.objects.down = false
	s.table.down = false
}

// Guards against an instance that serves callers with only some of the
// documents. An instance that starts during an outage must first get all
// documents from its peers.
func TestStartDuringOutage(t *testing.T) {
	checkProperty(t, func(rt *rapid.T) {
		s := withSim(rt, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 9).Draw(rt, "instances"), 2)
		s.net.loss, s.net.maxConsecutiveLosses = rapid.Float64Range(0, 0.5).Draw(rt, "loss"), 2
		checker := withDocumentChecker(s)
		s.startAll().advance(2 * time.Second)
		versions := make(map[string]uint64)
		for i := range rapid.IntRange(1, 5).Draw(rt, "documents") {
			service := fmt.Sprintf("service-%d", i%3)
			versions[service] = checker.mustAccept(s.nodes[0], service)
		}
		s.advance(15 * time.Second)
		s.table.down, s.objects.down = true, true
		restarted := s.nodes[:rapid.IntRange(1, len(s.nodes)-1).Draw(rt, "restarted")]
		s.onStep = append(s.onStep, func(n *simNode, ev Event, _ []Effect) {
			for service, version := range versions {
				if got := n.state.documentVersion(service); n.state.hasDocuments() && got != version {
					rt.Fatalf("%s has documents after %T, with %s at %d, not %d", n.self.Incarnation, ev, service, got, version)
				}
			}
		})
		for _, n := range restarted {
			n.restart()
			s.advance(s.delay(0, 500*time.Millisecond))
		}
		s.advance(15 * time.Second)
		for service, version := range versions {
			s.expectInForce(s.nodes, service, version)
		}
		for _, n := range s.nodes {
			if !n.state.hasDocuments() {
				rt.Fatalf("%s does not have documents", n.self.Incarnation)
			}
		}
	})
}
