package rpcore

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"
)

// benchDomains is the number of failure domains of the design size.
const benchDomains = 27

// withFleetDriver returns a started State in a system of the given size. The
// members are spread evenly over benchDomains: 17 instances and 444 engines per
// domain for 460 and 12,000.
func withFleetDriver(instances, engines int) (*driver, []Member) {
	var members []Member
	for i := range instances {
		id := fmt.Sprintf("entry-%05d", i)
		members = append(members, newFleetMember(id, MemberInstance, i))
	}
	for i := range engines {
		m := newFleetMember(fmt.Sprintf("engine-%05d", i), MemberEngine, i)
		m.Service, m.Memory, m.Accelerators = "mixadvies", 80<<30, 2
		members = append(members, m)
	}
	d := &driver{at: time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)}
	self := Identity{InstanceID(members[0].ID), members[0].Incarnation, members[0].FailureDomain}
	d.Reduce(Start{Stamp: d.stamp(), Self: self, Seed: 1})
	d.Reduce(MembersListed{d.stamp(), slices.Clone(members)})
	return d, members
}

func newFleetMember(id string, kind MemberKind, i int) Member {
	return Member{
		ID: id, Kind: kind, Incarnation: Incarnation(id + "-1"), FailureDomain: FailureDomain(fmt.Sprintf("domain-%02d", i%benchDomains)),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8000),
	}
}

// peerHeartbeats returns a heartbeat from each selected peer.
func (d *driver) peerHeartbeats() []PeerReceived {
	var events []PeerReceived
	for _, id := range d.peerIDs() {
		p := d.members.peers[id]
		heartbeat := Heartbeat{Identity: Identity{id, p.Incarnation, p.FailureDomain}, Digest: d.documents.digest}
		events = append(events, PeerReceived{d.stamp(), id, PeerMessage{Heartbeat: &heartbeat}})
	}
	return events
}

func BenchmarkHeartbeatReceived(b *testing.B) {
	d, _ := withFleetDriver(460, 12000)
	events := d.peerHeartbeats()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ev := events[i%len(events)]
		ev.At = d.at
		d.Reduce(ev)
	}
}

// BenchmarkHeartbeatTick measures one tick with all alarms that fall due within
// a second.
func BenchmarkHeartbeatTick(b *testing.B) {
	d, members := withFleetDriver(460, 12000)
	events := d.peerHeartbeats()
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		d.at = d.at.Add(time.Second)
		for _, ev := range events {
			ev.At = d.at
			d.Reduce(ev)
		}
		d.reportOwnDomain(members)
		d.at = d.at.Add(heartbeatInterval)
		b.StartTimer()
		d.Reduce(Tick{d.stamp()})
	}
}

// reportOwnDomain feeds a shared report of each engine in the domain of the
// State.
func (d *driver) reportOwnDomain(members []Member) {
	for _, m := range members {
		if m.Kind == MemberEngine && m.FailureDomain == d.self.FailureDomain {
			report := EngineReport{Endpoint: EndpointID(m.ID), Incarnation: m.Incarnation, Sequence: uint64(d.at.UnixNano())}
			d.Reduce(PeerReceived{d.stamp(), "entry-00027", PeerMessage{ReportShare: &ReportShare{report}}})
		}
	}
}

func BenchmarkMembersListed(b *testing.B) {
	b.Run("first", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			withFleetDriver(460, 12000)
		}
	})
	for _, changes := range []int{0, 1, 100} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			d, members := withFleetDriver(460, 12000)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.at = d.at.Add(time.Millisecond)
				for j := range changes {
					members[1000+j].Incarnation = Incarnation(fmt.Sprintf("again-%d", i%2))
				}
				d.Reduce(MembersListed{d.stamp(), members})
			}
		})
	}
}

func BenchmarkEngineReported(b *testing.B) {
	for _, own := range []bool{true, false} {
		b.Run(fmt.Sprintf("own=%v", own), func(b *testing.B) {
			d, _ := withFleetDriver(460, 12000)
			report := EngineReport{Endpoint: "engine-00000", Incarnation: "engine-00000-1"}
			for i := range 4 {
				report.Loaded = append(report.Loaded, LoadedModel{Key: ModelKey{"mixadvies", fmt.Sprint(i)}, Version: "1", Memory: 1 << 30})
			}
			b.ReportAllocs()
			for b.Loop() {
				d.at = d.at.Add(time.Microsecond)
				report.Sequence++
				if own {
					d.Reduce(EngineReported{d.stamp(), report})
				} else {
					d.Reduce(PeerReceived{d.stamp(), "entry-00027", PeerMessage{ReportShare: &ReportShare{report}}})
				}
			}
		})
	}
}

// BenchmarkStateSize reports the heap size of a State after the first minute.
// The members in the event are not included.
func BenchmarkStateSize(b *testing.B) {
	for _, size := range [][2]int{{6, 100}, {40, 1000}, {460, 12000}} {
		b.Run(fmt.Sprintf("engines=%d", size[1]), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				before := heapInUse()
				d, members := withFleetDriver(size[0], size[1])
				d.at = d.at.Add(listLagBound + time.Second)
				for _, ev := range d.peerHeartbeats() {
					ev.At = d.at.Add(-time.Second)
					d.Reduce(ev)
				}
				d.Reduce(MembersListed{d.stamp(), members})
				d.reportOwnDomain(members)
				members = nil
				bytes = heapInUse() - before
				runtime.KeepAlive(d)
			}
			b.ReportMetric(float64(bytes), "state-B")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
