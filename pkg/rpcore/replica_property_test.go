package rpcore

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"pgregory.net/rapid"
)

var (
	keyA = ModelKey{Service: "svc", Name: "a"}
	keyB = ModelKey{Service: "svc", Name: "b"}
	keyL = ModelKey{Service: "svc", Name: "l"}
)

// replicaTestDocument declares the models a (2 replicas of 6 GiB), b (1 of 6
// GiB) and c (2 of 4 GiB), and the adapter l of model a.
func replicaTestDocument() *rpdocument.Document {
	return &rpdocument.Document{
		Format: 1, Service: "svc",
		Models: []rpdocument.Model{
			{Name: "a", Version: "1", Checkpoint: "ck-a", Memory: 6 * rpdocument.GiB, Accelerators: 1, MaxReplicas: 2},
			{Name: "b", Version: "1", Checkpoint: "ck-b", Memory: 6 * rpdocument.GiB, Accelerators: 1, MaxReplicas: 1},
			{Name: "c", Version: "1", Checkpoint: "ck-c", Memory: 4 * rpdocument.GiB, Accelerators: 1, MaxReplicas: 2},
		},
		Adapters: []rpdocument.Adapter{
			{Name: "l", Version: "1", BaseModel: "a", Checkpoint: "ck-l", Memory: rpdocument.GiB},
		},
	}
}

// chaos exposes a world to random faults that rapid draws.
type chaos struct {
	*world
	t            *rapid.T
	incarnations int
}

// withChaos returns a world with three engines and with two or three nodes that
// have received the instance list and the reports.
func withChaos(t *rapid.T) *chaos {
	c := &chaos{world: withEmptyWorld(replicaTestDocument()), t: t}
	for i, enforces := range []bool{true, false, rapid.Bool().Draw(t, "enforces")} {
		c.addEngine(EndpointID(fmt.Sprintf("e%d", i+1)), FailureDomain(fmt.Sprintf("fd%d", i+1)), 8*rpdocument.GiB, enforces)
	}
	for i := range rapid.IntRange(2, 3).Draw(t, "nodes") {
		c.startNode(InstanceID(fmt.Sprintf("i%d", i+1)))
	}
	for _, id := range sortedKeys(c.nodes) {
		c.refresh(c.nodes[id])
	}
	return c
}

func (c *chaos) startNode(id InstanceID) {
	c.incarnations++
	c.addNode(id, c.incarnations, Policy{LoadPerInstance: rapid.Bool().Draw(c.t, "per instance")})
}

func (c *chaos) drawNode() *fakeNode {
	return c.nodes[rapid.SampledFrom(sortedKeys(c.nodes)).Draw(c.t, "node")]
}

func (c *chaos) drawEngine() *fakeEngine {
	return c.engines[rapid.SampledFrom(sortedKeys(c.engines)).Draw(c.t, "engine")]
}

func (c *chaos) drawModel() ModelKey {
	return ModelKey{Service: "svc", Name: rapid.SampledFrom([]string{"a", "b", "c", "l"}).Draw(c.t, "model")}
}

// actions returns the possible next actions. Those that make progress are
// listed several times, so that loads get far enough to be disturbed.
func (c *chaos) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"deliver1": c.deliverOne, "deliver2": c.deliverOne, "advance": c.advanceRandomly,
		"flow1": c.advanceInSteps, "flow2": c.advanceInSteps, "flow3": c.advanceInSteps, "flow4": c.advanceInSteps, "flow5": c.advanceInSteps, "flow6": c.advanceInSteps,
		"demand": func(*rapid.T) {
			c.demand(c.drawNode(), c.drawModel(), rapid.SampledFrom([]int{1, 50}).Draw(c.t, "waiting"))
		},
		"satisfy":  func(*rapid.T) { delete(c.drawNode().use, c.drawModel()) },
		"report":   func(*rapid.T) { c.sendLateReport() },
		"refresh":  func(*rapid.T) { c.refresh(c.drawNode()) },
		"lose":     func(t *rapid.T) { c.loseAnswer(t) },
		"lose2":    func(t *rapid.T) { c.loseAnswer(t) },
		"demand2":  func(*rapid.T) { c.demand(c.drawNode(), c.drawModel(), 1) },
		"table":    func(*rapid.T) { c.tableDown = true },
		"table2":   func(*rapid.T) { c.tableAnswersLost = true },
		"pause":    func(*rapid.T) { c.drawNode().paused = true },
		"resume":   func(*rapid.T) { c.resumeNode(c.drawNode()) },
		"kill":     func(*rapid.T) { c.restartNode(c.drawNode()) },
		"engine":   func(*rapid.T) { c.restartEngine(c.drawEngine()) },
		"document": func(*rapid.T) { c.editDocument() },
		"unload":   func(*rapid.T) { c.unloadRandom() },
		"":         func(t *rapid.T) { c.failOnViolation(t) },
	}
}

func (c *chaos) failOnViolation(t *rapid.T) {
	c.check()
	if len(c.violations) > 0 {
		t.Fatalf("%v", c.violations)
	}
}

func (c *chaos) deliverOne(*rapid.T) {
	if len(c.pending) > 0 {
		c.process(c.removePending(rapid.IntRange(0, len(c.pending)-1).Draw(c.t, "item")))
	}
}

// sendLateReport takes a report now and queues it for later, so that it may
// arrive after newer reports of other engines and after answers to orders.
func (c *chaos) sendLateReport() {
	c.queueEvent(c.drawNode(), EngineReported{Report: c.drawEngine().report(c.now)})
	c.pending[len(c.pending)-1].answerLost = true
}

// advanceInSteps delivers items while time passes, and ends an outage of the
// table in most cases. Items whose answer was lost stay pending and arrive
// later.
func (c *chaos) advanceInSteps(t *rapid.T) {
	outage := rapid.IntRange(0, 3).Draw(c.t, "outage") == 0
	c.tableDown, c.tableAnswersLost = c.tableDown && outage, c.tableAnswersLost && outage
	step := time.Duration(rapid.SampledFrom([]int{300, 300, 3000}).Draw(c.t, "step ms")) * time.Millisecond
	for range rapid.IntRange(1, 12).Draw(c.t, "steps") {
		for {
			i := slices.IndexFunc(c.pending, func(p *pendingItem) bool { return !p.answerLost && !p.at.After(c.now) })
			if i < 0 {
				break
			}
			c.process(c.removePending(i))
			c.failOnViolation(t)
		}
		c.advance(c.now.Add(step))
		for _, id := range sortedKeys(c.nodes) {
			c.refresh(c.nodes[id])
		}
	}
}

func (c *chaos) advanceRandomly(*rapid.T) {
	ms := rapid.SampledFrom([]int{10, 300, 1200, 5000, 40000}).Draw(c.t, "ms")
	c.advance(c.now.Add(time.Duration(ms) * time.Millisecond))
}

// loseAnswer loses the answer to an item. The item takes effect later or never.
func (c *chaos) loseAnswer(t *rapid.T) {
	if len(c.pending) == 0 {
		t.Skip("nothing is under way")
	}
	i := rapid.IntRange(0, len(c.pending)-1).Draw(c.t, "item")
	next := c.pending[i]
	drop := rapid.Bool().Draw(c.t, "drop")
	switch {
	case next.answerLost:
		if drop && next.order != nil {
			c.removePending(i)
		}
	case next.write != nil:
		next.answerLost = true
		c.queueEvent(next.node, TableWriteDone{Op: next.write.Op, Outcome: WriteUnknown})
	case next.order != nil && drop:
		c.removePending(i)
		c.queueEvent(next.node, OrderAnswered{Order: next.order.Order, Endpoint: next.order.Endpoint, Result: OrderNotSent})
	case next.order != nil:
		next.answerLost = true
		c.queueEvent(next.node, OrderAnswered{Order: next.order.Order, Endpoint: next.order.Endpoint, Result: OrderUnknown})
	case next.finish != nil && !next.finish.answerLost:
		next.finish.answerLost = true
		c.queueEvent(next.node, OrderAnswered{Order: next.finish.order.Order, Endpoint: next.finish.order.Endpoint, Result: OrderUnknown})
	case next.peer != nil:
		c.removePending(i)
	}
}

func (c *chaos) resumeNode(n *fakeNode) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, ev := range inbox {
		c.deliver(n, ev)
	}
	c.advance(c.now)
}

// restartNode ends an instance and starts its next incarnation. Its orders have
// arrived or are lost by the time that the instance list shows its end, but its
// writes may still take effect.
func (c *chaos) restartNode(n *fakeNode) {
	n.dead = true
	for _, next := range slices.Clone(c.pending) {
		if next.node != n {
			continue
		}
		next.answerLost = true
		if next.order != nil {
			c.removePending(slices.Index(c.pending, next))
			if rapid.Bool().Draw(c.t, "arrives") {
				c.process(next)
			}
		}
	}
	c.startNode(n.identity.Instance)
}

func (c *chaos) restartEngine(e *fakeEngine) {
	c.incarnations++
	e.member.Incarnation = Incarnation(fmt.Sprintf("%s/%d", e.member.ID, c.incarnations+1))
	e.loads = make(map[ModelKey]*fakeLoad)
	e.highestFence = 0
}

// editDocument changes a replica limit or a version on one instance. The other
// instances keep their document.
func (c *chaos) editDocument() {
	doc := *c.doc
	doc.Models = slices.Clone(doc.Models)
	model := &doc.Models[rapid.IntRange(0, len(doc.Models)-1).Draw(c.t, "edited")]
	if rapid.Bool().Draw(c.t, "version") {
		model.Version += "+"
	} else {
		model.MaxReplicas = rapid.IntRange(0, 3).Draw(c.t, "max")
	}
	c.doc = &doc
	n := c.drawNode()
	n.doc = c.doc
	c.runInEvent(n, func(s *State) { s.applyDocumentToReplicas("svc") })
}

func (c *chaos) unloadRandom() {
	key := c.drawModel()
	c.runInEvent(c.drawNode(), func(s *State) {
		for _, e := range s.servingEndpoints(key) {
			s.unloadReplica(key, e)
		}
	})
}

// endFaults ends all faults. Every instance is restarted, so no old order can
// take effect any more.
func (c *chaos) endFaults() {
	c.tableDown, c.tableAnswersLost = false, false
	for _, id := range sortedKeys(c.nodes) {
		c.restartNode(c.nodes[id])
	}
	for i := range c.doc.Models {
		c.doc.Models[i].MaxReplicas = max(c.doc.Models[i].MaxReplicas, 1)
	}
	for _, n := range c.nodes {
		n.doc = c.doc
	}
	c.run(time.Second)
}

// TestReplicaBoundsHoldUnderFaults checks that lost answers, late effects,
// table outages, conflicts, pauses, restarts and document changes never make an
// engine exceed its memory or a model exceed the replica limit of its document.
// Afterwards a model with demand must be loaded, which fails if slots are never
// released.
func TestReplicaBoundsHoldUnderFaults(t *testing.T) {
	checkProperty(t, func(t *rapid.T) {
		c := withChaos(t)
		for range 3 {
			// One Repeat is too short to cover a load, its loss and its repair.
			t.Repeat(c.actions())
		}
		c.endFaults()
		key := c.drawModel()
		n := c.nodes["i1"]
		for range 60 {
			c.demand(n, key, 1)
			c.run(5 * time.Second)
			c.failOnViolation(t)
			if c.countLoaded(key) > 0 {
				return
			}
		}
		t.Fatalf("%s is not loaded; slots: %s", key, c.formatSlots())
	})
}
