package rpcore

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// world simulates the platform, the engines and the network around several
// States. Every message is a pending item, which a test delivers, delays or
// loses.
type world struct {
	now       time.Time
	table     map[RowKey]Row
	tableDown bool
	// tableAnswersLost loses all answers of the table. Writes still take
	// effect, but late.
	tableAnswersLost bool
	engines          map[EndpointID]*fakeEngine
	nodes            map[InstanceID]*fakeNode
	doc              *rpdocument.Document
	pending          []*pendingItem
	// allowedReplicas holds, for each slot, the replica limit in the document
	// of the instance that wrote the slot.
	allowedReplicas map[Nonce]int
	// slotByFence holds the slot of each fencing number of an engine.
	slotByFence map[string]Nonce
	orders      []SendOrder
	violations  []string
	// releasedTime is the total time for which the released slots were
	// reserved.
	releasedTime time.Duration
}

// pendingItem is a message, effect or load that is not completed yet.
type pendingItem struct {
	// at is the earliest time of delivery if nothing is delayed.
	at   time.Time
	node *fakeNode
	// Exactly one of the following fields is set.
	write  *WriteTable
	read   *ReadTable
	order  *SendOrder
	peer   *SendPeer
	event  Event
	finish *fakeLoad
	// answerLost is set if the sender gets no answer.
	answerLost bool
}

type fakeNode struct {
	identity Identity
	state    *State
	doc      *rpdocument.Document
	use      map[ModelKey]modelUse
	refusals map[ModelKey]rpverdict.Refusal
	alarm    time.Time
	paused   bool
	dead     bool
	inbox    []Event
}

var worldStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// withEmptyWorld returns a world without nodes and engines.
func withEmptyWorld(doc *rpdocument.Document) *world {
	return &world{
		now: worldStart, doc: doc, table: make(map[RowKey]Row),
		engines: make(map[EndpointID]*fakeEngine), nodes: make(map[InstanceID]*fakeNode),
		allowedReplicas: make(map[Nonce]int), slotByFence: make(map[string]Nonce),
	}
}

func (w *world) addNode(id InstanceID, incarnation int, policy Policy) *fakeNode {
	n := &fakeNode{
		identity: Identity{Instance: id, Incarnation: Incarnation(fmt.Sprint(incarnation)), FailureDomain: "fd1"},
		state:    new(State), doc: w.doc, use: make(map[ModelKey]modelUse), refusals: make(map[ModelKey]rpverdict.Refusal),
	}
	w.nodes[id] = n
	w.deliver(n, Start{Self: n.identity, Seed: uint64(len(id) + incarnation), Policy: policy})
	deps := &n.state.replicas.deps
	deps.document = func(*State, string) *rpdocument.Document { return n.doc }
	deps.services = func(*State) []string { return []string{"svc"} }
	deps.modelUse = func(_ *State, key ModelKey) modelUse { return n.use[key] }
	deps.replicaReady = func(_ *State, key ModelKey) { delete(n.use, key) }
	deps.replicaRefused = func(_ *State, key ModelKey, refusal rpverdict.Refusal) { n.refusals[key] = refusal }
	return n
}

// members returns the current instance list.
func (w *world) members() []Member {
	var list []Member
	for _, id := range sortedKeys(w.engines) {
		list = append(list, w.engines[id].member)
	}
	for _, id := range sortedKeys(w.nodes) {
		if n := w.nodes[id]; !n.dead {
			list = append(list, Member{
				ID: string(id), Kind: MemberInstance, FailureDomain: n.identity.FailureDomain,
				Incarnation: n.identity.Incarnation, Address: netip.MustParseAddrPort("127.0.0.1:9001"),
			})
		}
	}
	return list
}

// refresh delivers the instance list, the heartbeats of the other nodes and the
// reports of the engines to a node.
func (w *world) refresh(n *fakeNode) {
	w.deliver(n, MembersListed{Members: w.members()})
	for _, id := range sortedKeys(w.nodes) {
		if other := w.nodes[id]; other != n && !other.dead && !other.paused {
			w.deliver(n, PeerReceived{From: id, Message: PeerMessage{Heartbeat: &Heartbeat{Identity: other.identity}}})
		}
	}
	for _, id := range sortedKeys(w.engines) {
		w.deliver(n, EngineReported{Report: w.engines[id].report(w.now)})
	}
}

// deliver applies an event to a node, or keeps it while the node is paused.
func (w *world) deliver(n *fakeNode, ev Event) {
	switch {
	case n.dead:
	case n.paused:
		n.inbox = append(n.inbox, ev)
	default:
		w.queueEffects(n, n.state.Reduce(stamped(ev, w.now)))
	}
}

// runInEvent calls a method of the reducer within an event.
func (w *world) runInEvent(n *fakeNode, call func(*State)) {
	if n.dead || n.paused {
		return
	}
	n.state.now = w.now
	n.state.runAfter(0, call)
	w.deliver(n, Tick{})
}

func (w *world) demand(n *fakeNode, key ModelKey, waiting int) {
	n.use[key] = modelUse{Waiting: waiting, Rank: rpdocument.RankNormal, LastArrival: w.now}
	w.runInEvent(n, func(s *State) { s.demandReplica(key) })
}

func stamped(ev Event, now time.Time) Event {
	stamp := Stamp{At: now}
	switch ev := ev.(type) {
	case Start:
		ev.Stamp = stamp
		return ev
	case Tick:
		ev.Stamp = stamp
		return ev
	case MembersListed:
		ev.Stamp = stamp
		return ev
	case EngineReported:
		ev.Stamp = stamp
		return ev
	case PeerReceived:
		ev.Stamp = stamp
		return ev
	case TableReadDone:
		ev.Stamp = stamp
		return ev
	case TableWriteDone:
		ev.Stamp = stamp
		return ev
	case OrderAnswered:
		ev.Stamp = stamp
		return ev
	}
	panic(fmt.Sprintf("no stamp for %T", ev))
}

// queueEffects adds the effects of a node to the pending items.
func (w *world) queueEffects(n *fakeNode, effects []Effect) {
	for _, effect := range effects {
		next := &pendingItem{at: w.now, node: n}
		switch effect := effect.(type) {
		case SetAlarm:
			n.alarm = effect.At
			continue
		case WriteTable:
			w.recordAllowedReplicas(n, effect)
			next.write = &effect
		case ReadTable:
			next.read = &effect
		case SendOrder:
			w.checkOrder(effect)
			next.order = &effect
		case SendPeer:
			next.peer = &effect
		default:
			continue
		}
		w.pending = append(w.pending, next)
	}
}

func (w *world) recordAllowedReplicas(n *fakeNode, write WriteTable) {
	for _, row := range write.Writes {
		if row.Engine == nil {
			continue
		}
		for _, slot := range row.Engine.Slots {
			if _, known := w.allowedReplicas[slot.Nonce]; !known {
				model, ok := n.doc.Model(slot.Model.Name)
				if ok {
					w.allowedReplicas[slot.Nonce] = model.MaxReplicas
				}
			}
		}
	}
}

func fenceKey(id EndpointID, fence uint64) string { return fmt.Sprintf("%s#%d", id, fence) }

// checkOrder records an order. It checks that a load order is sent only once
// and only for a slot that was written.
func (w *world) checkOrder(order SendOrder) {
	w.orders = append(w.orders, order)
	if order.Kind != OrderLoadModel && order.Kind != OrderLoadAdapter {
		return
	}
	if _, ok := w.slotByFence[fenceKey(order.Endpoint, order.Fence)]; !ok {
		w.addViolation("load order with fencing number %d was sent to %s without a slot", order.Fence, order.Endpoint)
	}
	for _, other := range w.orders[:len(w.orders)-1] {
		if other.Endpoint == order.Endpoint && other.Fence == order.Fence {
			w.addViolation("fencing number %d of %s was used for two orders", order.Fence, order.Endpoint)
		}
	}
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// removePending removes an item from the pending items and returns it.
func (w *world) removePending(i int) *pendingItem {
	next := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	return next
}

// process carries out an item.
func (w *world) process(next *pendingItem) {
	switch {
	case next.write != nil && w.tableAnswersLost && !next.answerLost:
		next.answerLost = true
		w.pending = append(w.pending, next)
		w.queueEvent(next.node, TableWriteDone{Op: next.write.Op, Outcome: WriteUnknown})
	case next.write != nil:
		outcome := w.applyWrite(next.write)
		if !next.answerLost {
			w.queueEvent(next.node, TableWriteDone{Op: next.write.Op, Outcome: outcome})
		}
	case next.read != nil:
		w.queueEvent(next.node, w.readRows(next.read))
	case next.order != nil:
		w.deliverOrder(next)
	case next.peer != nil:
		if to := w.nodes[next.peer.To]; to != nil {
			w.deliver(to, PeerReceived{From: next.node.identity.Instance, Message: next.peer.Message})
		}
	case next.event != nil:
		w.deliver(next.node, next.event)
	case next.finish != nil:
		w.finishLoad(next.finish)
	}
}

func (w *world) queueEvent(n *fakeNode, ev Event) {
	w.pending = append(w.pending, &pendingItem{at: w.now, node: n, event: ev})
}

func (w *world) applyWrite(write *WriteTable) WriteOutcome {
	if w.tableDown {
		return WriteUnavailable
	}
	for _, row := range write.Writes {
		if w.table[row.Key].Version != row.ExpectVersion {
			return WriteConflict
		}
	}
	for _, row := range write.Writes {
		old := w.table[row.Key]
		for _, slot := range slotsOf(&old) {
			if row.Model != nil && slotIndex(row.Model.Slots, slot.Nonce) < 0 {
				w.releasedTime += w.now.Sub(slot.ReservedAt)
			}
		}
		w.table[row.Key] = Row{Key: row.Key, Version: row.ExpectVersion + 1, Nonce: row.Nonce, RowBody: row.RowBody}
		if row.Engine != nil {
			for _, slot := range row.Engine.Slots {
				w.slotByFence[fenceKey(slot.Engine, slot.Fence)] = slot.Nonce
			}
		}
	}
	return WriteApplied
}

func (w *world) readRows(read *ReadTable) TableReadDone {
	done := TableReadDone{Op: read.Op, Unavailable: w.tableDown || w.tableAnswersLost}
	for _, key := range read.Keys {
		if row, ok := w.table[key]; ok && !done.Unavailable {
			done.Rows = append(done.Rows, row)
		}
	}
	if row, ok := w.table[RowKey{Kind: read.Prefix, Service: "svc"}]; ok && !done.Unavailable {
		done.Rows = append(done.Rows, row)
	}
	return done
}

// run processes all items in order and without faults for a duration.
func (w *world) run(d time.Duration) {
	const interval = 500 * time.Millisecond
	end := w.now.Add(d)
	nextRefresh := w.now
	for {
		w.processDue()
		if !nextRefresh.After(w.now) {
			nextRefresh = w.now.Add(interval)
			for _, id := range sortedKeys(w.nodes) {
				w.refresh(w.nodes[id])
			}
			continue
		}
		next := nextRefresh
		for _, p := range w.pending {
			next = earlier(next, p.at)
		}
		for _, n := range w.nodes {
			if !n.alarm.IsZero() && !n.paused && !n.dead {
				next = earlier(next, n.alarm)
			}
		}
		if next.After(end) {
			return
		}
		w.advance(next)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// processDue processes the items that are due, in order.
func (w *world) processDue() {
	for {
		i := slices.IndexFunc(w.pending, func(p *pendingItem) bool { return !p.at.After(w.now) })
		if i < 0 {
			return
		}
		w.process(w.removePending(i))
		w.check()
	}
}

// advance sets the time and delivers the ticks that are due.
func (w *world) advance(to time.Time) {
	if to.After(w.now) {
		w.now = to
	}
	for _, id := range sortedKeys(w.nodes) {
		if n := w.nodes[id]; !n.alarm.IsZero() && !n.alarm.After(w.now) {
			n.alarm = time.Time{}
			w.deliver(n, Tick{})
		}
	}
}
