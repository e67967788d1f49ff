package rpcore

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// scanHomeEngines computes homeEngines without the index.
func (s *State) scanHomeEngines() (homes []EndpointID) {
	for _, id := range endpointIDs(s.members.endpoints) {
		if s.members.endpoints[id].Kind == MemberEngine && s.homeOf("engine/"+string(id)) == s.self.Instance {
			homes = append(homes, id)
		}
	}
	return homes
}

// scanPolledEngines is enginesToPoll without an index.
func (s *State) scanPolledEngines() (polled []EndpointID) {
	live := s.liveByDomain()
	for _, id := range endpointIDs(s.members.endpoints) {
		e := s.members.endpoints[id]
		reporters, own := live[e.FailureDomain], e.FailureDomain == s.self.FailureDomain
		if len(reporters) == 0 {
			reporters = s.members.live
		} else if !own {
			continue
		}
		stopped := own && s.now.Sub(e.reportedAt) > reportStaleAfter && s.now.Sub(e.listedAt) > reportStaleAfter
		if e.Kind == MemberEngine && (stopped || rendezvous("report/"+string(id), reporters) == s.self.Instance) {
			polled = append(polled, id)
		}
	}
	return polled
}

func idsOf(endpoints []*endpoint) (ids []EndpointID) {
	for _, e := range endpoints {
		ids = append(ids, e.id)
	}
	return ids
}

// Guards against engines that no instance reviews or polls, because an index
// misses a change of the instance list, the live instances or the failure
// domains.
func TestHomeIndexesFollowChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := withDriver()
		all := map[string]Member{"a": {ID: "a", Kind: MemberInstance, Incarnation: "a-1", FailureDomain: "A"}}
		domain := rapid.SampledFrom([]FailureDomain{"A", "B", "C"})
		for i := range rapid.IntRange(1, 60).Draw(rt, "changes") {
			engine := fmt.Sprint("e", rapid.IntRange(0, 20).Draw(rt, "engine"))
			peer := InstanceID(fmt.Sprint("p", rapid.IntRange(0, 5).Draw(rt, "peer")))
			switch rapid.IntRange(0, 6).Draw(rt, "kind") {
			case 0:
				all[engine] = Member{
					ID: engine, Kind: MemberEngine, Service: "s", Incarnation: Incarnation(fmt.Sprint(i % 3)),
					FailureDomain: domain.Draw(rt, "domain"), Leaving: rapid.Bool().Draw(rt, "leaving"),
				}
			case 1:
				delete(all, engine)
			case 2:
				all[string(peer)] = Member{ID: string(peer), Kind: MemberInstance, Incarnation: "1", FailureDomain: domain.Draw(rt, "domain")}
			case 3:
				delete(all, string(peer))
			case 4:
				p := all[string(peer)]
				d.feed(PeerReceived{d.stamp(), peer, PeerMessage{Heartbeat: &Heartbeat{Identity: Identity{peer, p.Incarnation, p.FailureDomain}}}})
			case 5:
				report := EngineReport{Endpoint: EndpointID(engine), Incarnation: all[engine].Incarnation, Sequence: uint64(i + 1)}
				if name := rapid.IntRange(0, 5).Draw(rt, "model"); name > 0 {
					report.Loaded = []LoadedModel{{Key: ModelKey{"s", fmt.Sprint(name)}}}
				}
				d.feed(EngineReported{d.stamp(), report})
			case 6:
				d.advance(rapid.IntRange(1, 4).Draw(rt, "seconds"))
			}
			if rapid.Bool().Draw(rt, "list") {
				d.listMembersIn(all)
			}
			if rapid.Bool().Draw(rt, "look") {
				d.checkIndexes(rt)
			}
		}
		d.checkIndexes(rt)
	})
}

func (d *driver) listMembersIn(all map[string]Member) {
	var members []Member
	for _, id := range sortedKeys(all) {
		members = append(members, all[id])
	}
	d.listMembers(members...)
}

func (d *driver) checkIndexes(rt *rapid.T) {
	if got, want := idsOf(d.homeEngines()), d.scanHomeEngines(); !slices.Equal(got, want) {
		rt.Fatalf("homeEngines returned %v, want %v", got, want)
	}
	if got, want := idsOf(d.enginesToPoll()), d.scanPolledEngines(); !slices.Equal(got, want) {
		rt.Fatalf("engines to poll are %v, want %v", got, want)
	}
	models := slices.DeleteFunc(d.maintainedModels(), func(key ModelKey) bool { return d.homeOf(key.String()) != d.self.Instance })
	if got := d.homeModels(); !slices.Equal(got, models) {
		rt.Fatalf("homeModels returned %v, want %v", got, models)
	}
	for id, view := range d.replicas.engines {
		if d.endpointByID(id) != view.endpoint {
			rt.Fatalf("the view of an earlier incarnation of %s was not dropped", id)
		}
	}
}
