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

// replicaTestDocument declares models a (2 replicas of 6 GiB), b (1 of 6 GiB) and c
// (2 of 4 GiB), and the adapter l of a.
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

// chaos drives a world through faults that rapid draws.
type chaos struct {
	*world
	t            *rapid.T
	incarnations int
}

func newChaos(t *rapid.T) *chaos {
	c := &chaos{world: newWorld(replicaTestDocument()), t: t}
	for i, enforces := range []bool{true, false, rapid.Bool().Draw(t, "enforces")} {
		c.addEngine(EndpointID(fmt.Sprintf("e%d", i+1)), FailureDomain(fmt.Sprintf("fd%d", i+1)), 8*rpdocument.GiB, enforces)
	}
	for i := range rapid.IntRange(2, 3).Draw(t, "nodes") {
		c.start(InstanceID(fmt.Sprintf("i%d", i+1)))
	}
	for _, id := range sortedKeys(c.nodes) {
		c.refresh(c.nodes[id])
	}
	return c
}

func (c *chaos) start(id InstanceID) {
	c.incarnations++
	c.addNode(id, c.incarnations, Policy{LoadPerInstance: rapid.Bool().Draw(c.t, "per instance")})
}

func (c *chaos) node() *fakeNode {
	return c.nodes[rapid.SampledFrom(sortedKeys(c.nodes)).Draw(c.t, "node")]
}

func (c *chaos) engine() *fakeEngine {
	return c.engines[rapid.SampledFrom(sortedKeys(c.engines)).Draw(c.t, "engine")]
}

func (c *chaos) key() ModelKey {
	return ModelKey{Service: "svc", Name: rapid.SampledFrom([]string{"a", "b", "c", "l"}).Draw(c.t, "model")}
}

// actions returns what may happen next. Progress is listed several times so
// that loads get far enough to be disturbed.
func (c *chaos) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"deliver1": c.deliverSome, "deliver2": c.deliverSome, "advance": c.advanceSome,
		"flow1": c.flow, "flow2": c.flow, "flow3": c.flow, "flow4": c.flow, "flow5": c.flow, "flow6": c.flow,
		"demand": func(*rapid.T) {
			c.demand(c.node(), c.key(), rapid.SampledFrom([]int{1, 50}).Draw(c.t, "waiting"))
		},
		"satisfy":  func(*rapid.T) { delete(c.node().use, c.key()) },
		"report":   func(*rapid.T) { c.lateReport() },
		"refresh":  func(*rapid.T) { c.refresh(c.node()) },
		"lose":     func(t *rapid.T) { c.lose(t) },
		"lose2":    func(t *rapid.T) { c.lose(t) },
		"demand2":  func(*rapid.T) { c.demand(c.node(), c.key(), 1) },
		"table":    func(*rapid.T) { c.tableDown = true },
		"table2":   func(*rapid.T) { c.tableLost = true },
		"pause":    func(*rapid.T) { c.node().paused = true },
		"resume":   func(*rapid.T) { c.resume(c.node()) },
		"kill":     func(*rapid.T) { c.kill(c.node()) },
		"engine":   func(*rapid.T) { c.restartEngine(c.engine()) },
		"document": func(*rapid.T) { c.editDocument() },
		"unload":   func(*rapid.T) { c.unloadSome() },
		"":         func(t *rapid.T) { c.verify(t) },
	}
}

func (c *chaos) verify(t *rapid.T) {
	c.check()
	if len(c.faults) > 0 {
		t.Fatalf("%v", c.faults)
	}
}

func (c *chaos) deliverSome(*rapid.T) {
	if len(c.pending) > 0 {
		c.carryOut(c.take(rapid.IntRange(0, len(c.pending)-1).Draw(c.t, "item")))
	}
}

// lateReport takes a report that arrives later, even after newer ones of other
// engines and after answers to orders.
func (c *chaos) lateReport() {
	c.answer(c.node(), EngineReported{Report: c.engine().report(c.now)})
	c.pending[len(c.pending)-1].muted = true
}

// flow lets time pass and mostly ends an outage of the table. Items whose
// answer is lost stay behind and arrive later.
func (c *chaos) flow(t *rapid.T) {
	outage := rapid.IntRange(0, 3).Draw(c.t, "outage") == 0
	c.tableDown, c.tableLost = c.tableDown && outage, c.tableLost && outage
	step := time.Duration(rapid.SampledFrom([]int{300, 300, 3000}).Draw(c.t, "step ms")) * time.Millisecond
	for range rapid.IntRange(1, 12).Draw(c.t, "steps") {
		for {
			i := slices.IndexFunc(c.pending, func(p *item) bool { return !p.muted && !p.at.After(c.now) })
			if i < 0 {
				break
			}
			c.carryOut(c.take(i))
			c.verify(t)
		}
		c.advance(c.now.Add(step))
		for _, id := range sortedKeys(c.nodes) {
			c.refresh(c.nodes[id])
		}
	}
}

func (c *chaos) advanceSome(*rapid.T) {
	ms := rapid.SampledFrom([]int{10, 300, 1200, 5000, 40000}).Draw(c.t, "ms")
	c.advance(c.now.Add(time.Duration(ms) * time.Millisecond))
}

// lose loses the answer of an item; the effect takes place later or never.
func (c *chaos) lose(t *rapid.T) {
	if len(c.pending) == 0 {
		t.Skip("nothing is under way")
	}
	i := rapid.IntRange(0, len(c.pending)-1).Draw(c.t, "item")
	next := c.pending[i]
	drop := rapid.Bool().Draw(c.t, "drop")
	switch {
	case next.muted:
		if drop && next.order != nil {
			c.take(i)
		}
	case next.write != nil:
		next.muted = true
		c.answer(next.node, TableWriteDone{Op: next.write.Op, Outcome: WriteUnknown})
	case next.order != nil && drop:
		c.take(i)
		c.answer(next.node, OrderAnswered{Order: next.order.Order, Endpoint: next.order.Endpoint, Result: OrderNotSent})
	case next.order != nil:
		next.muted = true
		c.answer(next.node, OrderAnswered{Order: next.order.Order, Endpoint: next.order.Endpoint, Result: OrderUnknown})
	case next.finish != nil && !next.finish.muted:
		next.finish.muted = true
		c.answer(next.node, OrderAnswered{Order: next.finish.order.Order, Endpoint: next.finish.order.Endpoint, Result: OrderUnknown})
	case next.peer != nil:
		c.take(i)
	}
}

func (c *chaos) resume(n *fakeNode) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, ev := range inbox {
		c.deliver(n, ev)
	}
	c.advance(c.now)
}

// kill ends an instance and starts its next incarnation. Its orders have
// arrived or are lost by the time that the list shows its end; its writes may
// still take effect.
func (c *chaos) kill(n *fakeNode) {
	n.dead = true
	for _, next := range slices.Clone(c.pending) {
		if next.node != n {
			continue
		}
		next.muted = true
		if next.order != nil {
			c.take(slices.Index(c.pending, next))
			if rapid.Bool().Draw(c.t, "arrives") {
				c.carryOut(next)
			}
		}
	}
	c.start(n.identity.Instance)
}

func (c *chaos) restartEngine(e *fakeEngine) {
	c.incarnations++
	e.member.Incarnation = Incarnation(fmt.Sprintf("%s/%d", e.member.ID, c.incarnations+1))
	e.loads = make(map[ModelKey]*fakeLoad)
	e.highest = 0
}

// editDocument changes a bound or a version at one instance; the others keep
// the document that they have.
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
	n := c.node()
	n.doc = c.doc
	c.do(n, func(s *State) { s.replicaDocumentChanged("svc") })
}

func (c *chaos) unloadSome() {
	key := c.key()
	c.do(c.node(), func(s *State) {
		for _, e := range s.serving(key) {
			s.unloadReplica(key, e)
		}
	})
}

// heal ends all faults. Every instance has a new incarnation, so no old order
// is alive.
func (c *chaos) heal() {
	c.tableDown, c.tableLost = false, false
	for _, id := range sortedKeys(c.nodes) {
		c.kill(c.nodes[id])
	}
	for i := range c.doc.Models {
		c.doc.Models[i].MaxReplicas = max(c.doc.Models[i].MaxReplicas, 1)
	}
	for _, n := range c.nodes {
		n.doc = c.doc
	}
	c.run(time.Second)
}

// TestReplicaBoundsHoldUnderFaults guards against a load order that makes an
// engine hold more than its memory or a model have more replicas than its
// document allows, under lost answers, late effects, outages, conflicts,
// pauses, restarts and document changes. Afterwards a demanded model must be
// served, which guards against slots that are never freed.
func TestReplicaBoundsHoldUnderFaults(t *testing.T) {
	checkProperty(t, func(t *rapid.T) {
		c := newChaos(t)
		for range 3 {
			// One Repeat is too short to bring a load, its loss and its
			// repair together.
			t.Repeat(c.actions())
		}
		c.heal()
		key := c.key()
		n := c.nodes["i1"]
		for range 60 {
			c.demand(n, key, 1)
			c.run(5 * time.Second)
			c.verify(t)
			if c.loaded(key) > 0 {
				return
			}
		}
		t.Fatalf("%s is not loaded; slots: %s", key, c.slots())
	})
}
