package rpmeasure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// Delays of the network and the platform.
const (
	delayInDomain = 200 * time.Microsecond
	readTime      = 4 * time.Millisecond
	writeTime     = 8 * time.Millisecond
	listInterval  = 10 * time.Second
)

// Options configures a world.
type Options struct {
	Seed   uint64
	Policy rpcore.Policy
	// Concurrency is the number of requests that an engine runs at once.
	Concurrency int
}

// World simulates a deployment: its instances, engines, network and platform.
type World struct {
	clock
	rng                 *rand.Rand
	delayBetweenDomains time.Duration
	instances           []*instance
	engines             []*engine
	byID                map[string]any
	members             []rpcore.Member
	table               table
	bodies              map[string][]byte
	store               *weightStore
	loadOrders          []rpcore.SendOrder
	idleTime            time.Duration
	calls               map[rpcore.RequestID]*Call
	reducing            time.Duration
}

// Call is a request and its outcome.
type Call struct {
	Model   rpcore.ModelKey
	Rank    rpdocument.Rank
	Tokens  int
	Timeout time.Duration
	// First is the time of the first token. A zero time means that the event
	// has not happened.
	Sent, First, Ended, Refused time.Time
	// Code is the code of the refusal.
	Code string
}

// NewWorld starts the instances and engines of a deployment.
func NewWorld(d Deployment, o Options) *World {
	w := &World{
		clock: clock{now: time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)},
		rng:   rand.New(rand.NewPCG(o.Seed, 7)), delayBetweenDomains: d.Delay,
		byID: make(map[string]any), table: make(table), bodies: make(map[string][]byte),
		calls: make(map[rpcore.RequestID]*Call),
	}
	w.store = &weightStore{clock: &w.clock, perSecond: d.StartsPerSecond}
	for _, s := range d.Services {
		w.addService(s, o)
	}
	limits := rpcore.Limits{WeightLoadsPerSecond: d.StartsPerSecond, EngineConcurrency: o.Concurrency}
	for i := range d.Instances {
		w.addInstance(i, limits, o)
	}
	w.deliverList()
	return w
}

func (w *World) addMember(m rpcore.Member, owner any) rpcore.Member {
	m.Incarnation = rpcore.Incarnation(m.ID + ".1")
	m.Address = netip.MustParseAddrPort("127.0.0.1:9000")
	w.members = append(w.members, m)
	w.byID[m.ID] = owner
	return m
}

func (w *World) addService(s Service, o Options) {
	body := s.document()
	key := rpcore.RowKey{Kind: rpcore.RowDocument, Service: s.Name}
	row := rpcore.DocumentRow{Service: s.Name, Version: 1, Hash: rpdocument.Hash(body)}
	w.table[key] = rpcore.Row{Key: key, Version: 1, RowBody: rpcore.RowBody{Document: &row}}
	w.bodies[row.Hash] = body
	for i := range s.Engines {
		e := &engine{
			world: w, concurrency: o.Concurrency, loaded: make(map[rpcore.ModelKey]*loadedModel),
			loading: make(map[rpcore.ModelKey]bool), onDisk: make(map[string]bool),
		}
		e.member = w.addMember(rpcore.Member{
			ID: fmt.Sprintf("%s-e%02d", s.Name, i), Kind: rpcore.MemberEngine, Service: s.Name, FailureDomain: domain(i),
			EnforcesFencing: true, Memory: engineMemoryGiB << 30, Accelerators: 1,
		}, e)
		w.engines = append(w.engines, e)
	}
}

func (w *World) addInstance(i int, limits rpcore.Limits, o Options) {
	n := &instance{world: w, pollRounds: make(map[rpcore.EndpointID]int), attempts: make(map[rpcore.AttemptID]*engineAttempt)}
	m := w.addMember(rpcore.Member{ID: fmt.Sprint("i", i), Kind: rpcore.MemberInstance, FailureDomain: domain(i)}, n)
	n.identity = rpcore.Identity{Instance: rpcore.InstanceID(m.ID), Incarnation: m.Incarnation, FailureDomain: m.FailureDomain}
	w.instances = append(w.instances, n)
	n.reduce(rpcore.Start{Stamp: w.stamp(), Self: n.identity, Seed: o.Seed*100 + uint64(i), Limits: limits, Policy: o.Policy})
}

func (w *World) deliverList() {
	for _, n := range w.instances {
		n.reduce(rpcore.MembersListed{Stamp: w.stamp(), Members: w.members})
	}
	w.after(listInterval, w.deliverList)
}

func (w *World) stamp() rpcore.Stamp { return rpcore.Stamp{At: w.now} }

// linkDelay returns the one-way delay between two failure domains.
func (w *World) linkDelay(a, b rpcore.FailureDomain) time.Duration {
	if a == b {
		return delayInDomain
	}
	return w.delayBetweenDomains
}

// Send sends a request to the instance with index i.
func (w *World) Send(i int, call Call) *Call {
	call.Sent = w.now
	id := rpcore.RequestID(fmt.Sprint("r", len(w.calls)))
	w.calls[id] = &call
	w.instances[i].reduce(rpcore.RequestArrived{Stamp: w.stamp(), Request: rpcore.Request{
		ID: id, ModelName: call.Model.String(), Rank: call.Rank, Timeout: call.Timeout, MaxTokens: call.Tokens,
	}})
	return &call
}

func (w *World) addIdle(m *loadedModel) {
	w.idleTime += w.now.Sub(m.idleSince)
}
