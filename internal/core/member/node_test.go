package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/api/endpoint"
)

// settleTime is how long the network runs without faults before all views must be
// equal. It covers the probe of a dead daemon (5 s), an anti-entropy cycle and a
// lease.
const settleTime = 25 * time.Second

// Guards against dead incarnations that become alive again, leaving endpoints that
// are listed as ready, and views that still differ after network faults have ended.
func TestConvergesWithNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"))
		count := rapid.IntRange(2, 5).Draw(t, "daemons")
		for i := range count {
			s.start(fmt.Sprintf("d%d", i), "d0", "d1")
		}
		for i := range 4 {
			id := fmt.Sprintf("e%d", i)
			s.endpoints[id] = &simEndpoint{id: id, host: fmt.Sprintf("d%d", i%count), incarnation: 1, state: endpoint.StateReady, up: true}
		}
		s.run(3 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			injectFault(t, s, count)
			s.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "steps")) * simStep)
		}
		s.heal()
		s.run(settleTime)
		if list := s.differences(); len(list) > 0 {
			t.Fatalf("after heal: %v", list)
		}
		if len(s.faults) > 0 {
			t.Fatalf("faults: %v", s.faults)
		}
	})
}

func injectFault(t *rapid.T, s *simNet, count int) {
	a := fmt.Sprintf("d%d", rapid.IntRange(0, count-1).Draw(t, "a"))
	b := fmt.Sprintf("d%d", rapid.IntRange(0, count-1).Draw(t, "b"))
	e := s.endpoints[fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "e"))]
	switch rapid.SampledFrom([]string{"noise", "oneway", "split", "restart", "silent", "wake", "leave", "stop", "reborn", "move"}).Draw(t, "fault") {
	case "noise":
		s.loss, s.duplication, s.delay = 30, 30, 30
	case "oneway":
		s.blocked[[2]string{a, b}] = true
	case "split":
		for _, name := range s.names() {
			s.blocked[[2]string{a, name}] = true
			s.blocked[[2]string{name, a}] = true
		}
	case "restart":
		s.start(a, "d0", "d1")
	case "silent":
		s.nodes[a].paused = true
	case "wake":
		s.nodes[a].paused = false
	case "leave":
		if e.up {
			e.state = endpoint.StateLeaving
		}
	case "stop":
		e.up = false
		// Any daemon accepts a withdrawal, even one that does not know the endpoint.
		s.nodes[b].registry.Withdraw(endpoint.Withdrawal{ID: e.id, Incarnation: e.incarnation})
	case "reborn":
		e.up, e.state, e.seq = true, endpoint.StateReady, 0
		e.incarnation++
		e.host = a
	case "move":
		e.host = b
	}
}

// Guards against a live peer that is declared dead when the path from it is broken
// in one direction. The daemon that receives nothing from the peer must learn from
// the others that the peer is alive, and must keep the peer's endpoints.
func TestOneWayLossIsIndirect(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSim(1)
	for i := range 3 {
		s.start(fmt.Sprintf("d%d", i), "d0")
	}
	s.endpoints["e"] = &simEndpoint{id: "e", host: "d0", incarnation: 1, state: endpoint.StateReady, up: true}
	s.run(5 * time.Second)
	s.blocked[[2]string{"d0", "d1"}] = true
	s.run(30 * time.Second)
	g.Expect(peerAt(s, "d1", "d0").Status).To(gomega.Equal(Indirect))
	g.Expect(peerAt(s, "d0", "d1").Status).To(gomega.Equal(Alive))
	g.Expect(peerAt(s, "d0", "d1").ReceivesFromSelf).To(gomega.BeFalse())
	g.Expect(peerAt(s, "d2", "d0").Status).To(gomega.Equal(Alive))
	g.Expect(s.nodes["d1"].registry.Find("e")).NotTo(gomega.BeNil())
	g.Expect(s.faults).To(gomega.BeEmpty())
}

func peerAt(s *simNet, at, of string) Peer {
	for _, p := range s.nodes[at].Peers() {
		if p.Name == of {
			return p
		}
	}
	return Peer{}
}

// Guards against endpoints that are removed when their host dies although they move
// to another host, and against endpoints that are never removed when no daemon
// takes them over.
func TestEndpointsSurviveLossOfTheirHost(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSim(2)
	for i := range 3 {
		s.start(fmt.Sprintf("d%d", i), "d0")
	}
	s.endpoints["moves"] = &simEndpoint{id: "moves", host: "d2", incarnation: 1, state: endpoint.StateReady, up: true}
	s.endpoints["dies"] = &simEndpoint{id: "dies", host: "d2", incarnation: 1, state: endpoint.StateReady, up: true}
	s.run(5 * time.Second)
	s.nodes["d2"].paused = true
	s.endpoints["dies"].up = false
	for range 100 {
		s.run(simStep * 2)
		g.Expect(s.nodes["d0"].registry.Find("moves")).NotTo(gomega.BeNil(), "at %v", s.now)
	}
	g.Expect(peerAt(s, "d0", "d2").Status).To(gomega.Equal(Dead))
	g.Expect(s.nodes["d0"].registry.Find("dies")).To(gomega.BeNil())
	g.Expect(s.faults).To(gomega.BeEmpty())
}

// Guards against a departure that peers detect only by a timeout.
func TestGracefulLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSim(3)
	s.start("d0")
	s.start("d1", "d0")
	s.run(3 * time.Second)
	s.nodes["d1"].Leave()
	s.run(2 * simStep)
	g.Expect(peerAt(s, "d0", "d1").Status).To(gomega.Equal(Left))
	g.Expect(s.nodes["d0"].Relays()).To(gomega.HaveLen(1))
}

// Guards against payloads that are lost with a datagram or exceed their size limit.
func TestPayloads(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSim(4)
	s.start("d0")
	s.start("d1", "d0")
	s.loss = 30
	s.run(5 * time.Second)
	g.Expect(s.nodes["d1"].SetPayload("usage", []byte("w1=5"))).To(gomega.Succeed())
	g.Expect(s.nodes["d1"].SetPayload("usage", make([]byte, MaxPayload))).NotTo(gomega.Succeed())
	s.run(10 * time.Second)
	// With two daemons, a loss of 30% also causes false suspicions, which must end
	// when the loss ends.
	s.heal()
	s.run(12 * time.Second)
	found := s.nodes["d0"].Payloads("usage")
	g.Expect(found).To(gomega.HaveLen(1))
	g.Expect(found[0].Data).To(gomega.Equal([]byte("w1=5")))
}

// Guards against a decoder that panics on malformed input.
func FuzzDecode(f *testing.F) {
	s := newSim(5)
	s.start("d0")
	s.start("d1", "d0")
	s.endpoints["e"] = &simEndpoint{id: "e", host: "d0", incarnation: 1, state: endpoint.StateReady, up: true}
	_ = s.nodes["d0"].SetPayload("usage", []byte("x"))
	s.delay = 40
	s.run(3 * time.Second)
	for i, p := range s.inFlight {
		if i < 20 {
			f.Add(p.data)
		}
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decode(data)
		var m syncMessage
		_ = unpack("sync", data, &m)
		sim := newSim(6)
		sim.start("d0")
		_, _ = sim.nodes["d0"].Receive(sim.now, "x", data)
	})
}
