package rpcore

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// expectOperators checks that each instance knows the address for operators of
// each of its selected peers.
func (s *sim) expectOperators() {
	s.t.Helper()
	for _, n := range s.nodes {
		for _, status := range n.state.Status().Instances {
			if p := n.state.members.peers[status.ID]; p != nil && p.selected && !status.Operators.IsValid() {
				s.t.Fatalf("at %v: %s does not know the operators' address of %s", s.now.Sub(s.start), n.self.Instance, status.ID)
			}
		}
	}
}

// Guards against an address for operators that stays unknown after lost
// messages, a list that lags or a restart. Also guards against one that is sent
// in every heartbeat.
func TestOperatorsAddressSpreads(t *testing.T) {
	checkProperty(t, func(rt *rapid.T) {
		s := withSim(rt, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 14).Draw(rt, "instances"), 3)
		s.list.maxLag = rapid.SampledFrom([]time.Duration{0, 3 * time.Second}).Draw(rt, "lag")
		s.net.loss = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "loss")
		s.operators = (*simNode).address
		told := make(map[[2]InstanceID]int)
		s.onStep = append(s.onStep, func(n *simNode, _ Event, effects []Effect) {
			for _, effect := range effects {
				if sent, ok := effect.(SendPeer); ok && sent.Message.Heartbeat != nil && sent.Message.Heartbeat.Operators.IsValid() {
					told[[2]InstanceID{n.self.Instance, sent.To}]++
				}
			}
		})
		s.startAll()
		s.advance(s.delay(0, time.Minute))
		s.net.loss = 0
		s.advance(operatorsRepeatInterval + remoteHeartbeatInterval + time.Second)
		s.expectOperators()
		// The others must forget this instance and then learn its address again
		// after its restart.
		s.nodes[0].stop()
		s.advance(s.list.maxLag + 2*time.Second)
		s.nodes[0].restart()
		within := 3*time.Second + remoteHeartbeatInterval
		if s.list.maxLag > 0 {
			// An outdated snapshot makes a peer forget this instance once more.
			within += s.list.maxLag + operatorsRepeatInterval
		}
		s.advance(within)
		s.expectOperators()
		clear(told)
		s.advance(4 * operatorsRepeatInterval)
		for link, times := range told {
			if times > 4 {
				rt.Fatalf("%v: the address was sent %d times in %v", link, times, 4*operatorsRepeatInterval)
			}
		}
	})
}

// Guards against an address from a peer that operators can't use or that is too
// long, and against an address that the next heartbeat without one removes.
func TestOperatorsAddressOfPeer(t *testing.T) {
	g := NewWithT(t)
	d := withDriver()
	d.listMembers()
	tell := func(address string) netip.AddrPort {
		parsed, _ := netip.ParseAddrPort(address)
		d.feed(PeerReceived{d.stamp(), "b", PeerMessage{Heartbeat: &Heartbeat{Identity: Identity{"b", "b-1", "A"}, Operators: parsed}}})
		return d.Status().Instances[1].Operators
	}
	for _, address := range []string{"0.0.0.0:8081", "10.0.0.5:0", "[fe80::1%" + strings.Repeat("z", 300) + "]:8081", ""} {
		g.Expect(tell(address).IsValid()).To(BeFalse(), address)
	}
	want := netip.MustParseAddrPort("10.0.0.5:8081")
	g.Expect(tell("10.0.0.5:8081")).To(Equal(want))
	g.Expect(tell("")).To(Equal(want))
}
