package rpcore

import (
	"fmt"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// workDocument declares one model, and one route whose requests may run only
// once. Its queues and deadlines are short, so that the golden file of an
// overload stays short.
const workDocument = `format = 1
service = "mixadvies"
team = "t"
editors = ["0000000000000000000000000000000000000000000000000000000000000001"]
[spend]
accelerators = 2
[ranks.urgent]
target = "1s"
deadline = "6s"
queue_limit = 6
floor = 0.2
[ranks.normal]
target = "1s"
deadline = "6s"
queue_limit = 6
floor = 0.2
[ranks.background]
target = "1s"
deadline = "6s"
queue_limit = 6
floor = 0.2
[[models]]
name = "bag"
version = "1"
checkpoint = "bag/1"
memory = "8GiB"
max_replicas = 1
[[routes]]
path_prefix = "/charge"
methods = ["POST"]
`

// withWorkScenario returns a scenario of n instances whose engines run two
// requests at a time.
func withWorkScenario(n int) *scenario {
	rec := withScenario(n)
	rec.limits = Limits{EngineConcurrency: 2}
	return rec
}

func (rec *scenario) startWithDocument(document string) {
	rec.startInstances()
	rec.step("the document is accepted", func() {
		rec.nodes[0].submitBody("first", "mixadvies", 0, []byte(document))
		rec.advance(2 * time.Second)
		if result := rec.nodes[0].answers["first"].Result; result != SubmissionAccepted {
			rec.t.Fatalf("the document is %s", result)
		}
	})
}

func (rec *scenario) addBagEngine(id string, domain FailureDomain) *simEngine {
	e := rec.addEngine(id, domain, "e1")
	e.Memory, e.Accelerators, e.EnforcesFencing = 10*rpdocument.GiB, 1, true
	rec.list.put(rec.sim, e.Member)
	return e
}

func bagRequest(id string, rank rpdocument.Rank) Request {
	return Request{ID: RequestID(id), ModelName: "mixadvies/bag", Rank: rank}
}

// runColdStartBurst checks that a burst of requests for an unloaded model
// starts one load, although the document allows two replicas, and that every
// waiting request is dispatched once.
func runColdStartBurst() *scenario {
	rec := withWorkScenario(3)
	for _, id := range []string{"engine-1", "engine-2"} {
		rec.addBagEngine(id, "A").loadTime = 2500 * time.Millisecond
	}
	rec.startWithDocument(strings.Replace(workDocument, "max_replicas = 1", "max_replicas = 2", 1))
	rec.step("two requests arrive at each of three instances; the model is not loaded", func() {
		for i := range 6 {
			rec.nodes[i%3].sendRequest(time.Duration(i)*time.Millisecond, bagRequest(fmt.Sprintf("r%d", i), rpdocument.RankNormal))
		}
		rec.advance(5 * time.Second)
	})
	return rec
}

// runOverload checks that the excess requests of an overloading rank are
// refused and that every rank keeps its floor.
func runOverload(rank rpdocument.Rank) func() *scenario {
	return func() *scenario {
		rec := withWorkScenario(1)
		rec.addBagEngine("engine-1", "A")
		rec.startWithDocument(workDocument)
		rec.step("the model is loaded", func() {
			rec.nodes[0].sendRequest(0, bagRequest("warm", rpdocument.RankNormal))
			rec.advance(4 * time.Second)
		})
		rec.step("rank "+rank.String()+" sends 25 requests a second, the others 2; the engine serves 10", func() {
			for i := range 50 {
				rec.nodes[0].sendRequest(time.Duration(i)*40*time.Millisecond, bagRequest(fmt.Sprintf("%s-%d", rank, i), rank))
			}
			for i := range 4 {
				for _, other := range rpdocument.Ranks {
					if other != rank {
						rec.nodes[0].sendRequest(time.Duration(i)*500*time.Millisecond, bagRequest(fmt.Sprintf("%s-%d", other, i), other))
					}
				}
			}
			rec.advance(5 * time.Second)
		})
		return rec
	}
}

func chargeRequest(id string) Request {
	return Request{
		ID: RequestID(id), Service: "mixadvies", Method: "POST", Path: "/charge",
		IdempotencyKey: "key-1", Fingerprint: "f",
	}
}

// withChargeScenario returns a scenario of two instances and the plain service
// that runs the charges, with the document in force.
func withChargeScenario() (*scenario, *simEngine) {
	rec := withWorkScenario(2)
	e := rec.addPlainService("till-1", "mixadvies", "A")
	rec.startWithDocument(workDocument)
	return rec, e
}

// checkChargedOnce fails the scenario if the charge did not run exactly once.
// An updated golden file alone would hide this fault.
func (rec *scenario) checkChargedOnce(e *simEngine) *scenario {
	if e.attemptsRun != 1 {
		rec.t.Fatalf("the charge ran %d times", e.attemptsRun)
	}
	return rec
}

// runChargeTableAnswerLost checks that an instance recognizes its claim by the
// nonce after the answer of the table was lost, and that the charge runs once.
func runChargeTableAnswerLost() *scenario {
	rec, e := withChargeScenario()
	rec.step("a charge arrives; the table writes the claim and its answer is lost", func() {
		rec.table.answersToLose = 1
		rec.nodes[0].sendRequest(0, chargeRequest("charge-1"))
		rec.advance(3 * time.Second)
	})
	rec.step("the caller sends the charge again to i001", func() {
		rec.nodes[1].sendRequest(0, chargeRequest("charge-2"))
		rec.advance(3 * time.Second)
	})
	return rec.checkChargedOnce(e)
}

// runChargeEndpointAnswerLost checks that a charge whose answer was lost is not
// sent again and is not refused as not_run.
func runChargeEndpointAnswerLost() *scenario {
	rec, e := withChargeScenario()
	rec.step("a charge arrives; it runs and the answer of the endpoint is lost", func() {
		e.answersToLose = 1
		rec.nodes[0].sendRequest(0, chargeRequest("charge-1"))
		rec.advance(3 * time.Second)
	})
	rec.step("the caller sends the charge again to i001", func() {
		rec.nodes[1].sendRequest(0, chargeRequest("charge-2"))
		rec.advance(3 * time.Second)
	})
	return rec.checkChargedOnce(e)
}

// runPausedOwner checks that the slot of a paused instance is kept until its
// load order is fenced off, and that the late order then has no effect.
func runPausedOwner() *scenario {
	rec := withWorkScenario(2)
	rec.addBagEngine("engine-1", "A")
	rec.startWithDocument(workDocument)
	rec.step("a request arrives at the home, which is paused when the table has written its reservation", func() {
		home := rec.node(rec.nodes[0].state.cachedHomeOf("mixadvies/bag"))
		reserved := false
		rec.table.onApplied = append(rec.table.onApplied, func(writes []RowWrite) {
			if writes[0].Engine != nil && !reserved {
				reserved = true
				home.pause(100 * time.Second)
			}
		})
		home.sendRequest(0, bagRequest("r1", rpdocument.RankNormal))
		rec.advance(2 * time.Second)
	})
	rec.step("the other instance waits for evidence, then fences the order off and frees the slot", func() {
		rec.advance(90 * time.Second)
	})
	rec.step("the holder resumes", func() {
		rec.advance(12 * time.Second)
	})
	rec.step("a request arrives at each instance", func() {
		for i, n := range rec.nodes {
			n.sendRequest(0, bagRequest(fmt.Sprintf("r%d", i+2), rpdocument.RankNormal))
		}
		rec.advance(6 * time.Second)
	})
	return rec
}
