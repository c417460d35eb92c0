package cluster

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/gossipudp"
	"github.com/boragelead/boragelead/internal/adapter/peerrpc"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
)

// daemon is one daemon of a test, on loopback.
type daemon struct {
	*Cluster
	rpc      *peerrpc.Node
	registry *member.Registry
	address  string
	// cut refuses traffic to the listed addresses.
	cut *cutList

	mu        sync.Mutex
	installed map[uint64]time.Time
	highest   uint64
	lowered   bool
}

func (d *daemon) install(g port.Generation) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lowered = d.lowered || g.Number <= d.highest
	d.highest = g.Number
	d.installed[g.Number] = time.Now()
	return nil
}

func (d *daemon) installedAt(number uint64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.installed[number]
}

// cutList is a network partition in one direction, over TCP and UDP.
type cutList struct {
	addresses atomic.Pointer[map[string]bool]
}

func (c *cutList) set(list []*daemon) {
	addresses := make(map[string]bool)
	for _, d := range list {
		addresses[d.address] = true
	}
	c.addresses.Store(&addresses)
}

func (c *cutList) has(address string) bool {
	list := c.addresses.Load()
	return list != nil && (*list)[address]
}

type cutRPC struct {
	*peerrpc.Node
	cut *cutList
}

// Call implements port.PeerCaller.
func (c cutRPC) Call(ctx context.Context, address, method string, params []byte) ([]byte, error) {
	if c.cut.has(address) {
		return nil, &peerrpc.UnreachableError{Address: address}
	}
	return c.Node.Call(ctx, address, method, params)
}

type cutSocket struct {
	*gossipudp.Socket
	cut *cutList
}

// Send implements Datagrams.
func (c cutSocket) Send(address string, data []byte) error {
	if c.cut.has(address) {
		return nil
	}
	return c.Socket.Send(address, data)
}

// bind finds a port that is free over TCP and UDP.
func bind(t testing.TB) net.Listener {
	t.Helper()
	for range 20 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		probe, err := net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			_ = probe.Close()
			return listener
		}
		_ = listener.Close()
	}
	t.Fatal("no free port")
	return nil
}

// startDaemon starts a daemon that joins by the given seeds.
func startDaemon(t testing.TB, name, domain string, source Source, seeds ...string) *daemon {
	t.Helper()
	listener := bind(t)
	d := &daemon{
		rpc: peerrpc.New(peerrpc.Options{}), registry: member.NewRegistry(),
		address: listener.Addr().String(), installed: make(map[uint64]time.Time), cut: &cutList{},
	}
	socket, err := gossipudp.Listen(d.address, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	d.Cluster, err = New(Options{
		Self:     member.Identity{Name: name, Domain: domain, Address: d.address},
		Seeds:    seeds,
		Registry: d.registry, RPC: cutRPC{d.rpc, d.cut}, Datagrams: cutSocket{socket, d.cut}, Install: d.install, Source: source,
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = d.rpc.Serve(listener) }()
	d.Start()
	t.Cleanup(func() {
		d.Kill()
		d.rpc.Close()
	})
	return d
}

// startDomain starts daemons of one domain; the first one is the seed and has the source.
func startDomain(t testing.TB, count int, domain string, source Source, seeds ...string) []*daemon {
	t.Helper()
	var list []*daemon
	for i := range count {
		use := source
		if i > 0 {
			use = nil
			seeds = []string{list[0].address}
		}
		list = append(list, startDaemon(t, fmt.Sprintf("%s-%03d", domain, i), domain, use, seeds...))
	}
	return list
}

// joined reports whether every daemon hears every other one, both ways.
func joined(list []*daemon) bool {
	for _, d := range list {
		heard := 0
		for _, p := range d.Node().Peers() {
			if p.Status == member.Alive && p.HearsMe {
				heard++
			}
		}
		if heard != len(list)-1 {
			return false
		}
	}
	return true
}

// waitFor polls a condition and returns how long it took.
func waitFor(t testing.TB, limit time.Duration, what string, done func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !done() {
		if time.Since(began) > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(began)
}

// source is a replicated state that holds what the test puts in.
type source struct {
	mu      sync.Mutex
	current port.Generation
	changed chan struct{}
}

func newSource() *source { return &source{changed: make(chan struct{})} }

func (s *source) promote(number uint64, document []byte) {
	sum := sha256.Sum256(document)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = port.Generation{Number: number, Document: document, Digest: hex.EncodeToString(sum[:])}
	close(s.changed)
	s.changed = make(chan struct{})
}

// WatchGeneration implements Source.
func (s *source) WatchGeneration(ctx context.Context, after uint64) (port.Generation, error) {
	for {
		s.mu.Lock()
		current, changed := s.current, s.changed
		s.mu.Unlock()
		if current.Number > after {
			return current, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return port.Generation{}, ctx.Err()
		}
	}
}

func announcement(id string, incarnation, seq uint64, state endpoint.State) endpoint.Announcement {
	return endpoint.Announcement{
		ID: id, Incarnation: incarnation, BaseURL: "http://10.20.30.40:8000", FailureDomain: "a",
		Kind: endpoint.KindEngine, VM: "vm-" + id, Class: "gpu-large", Role: endpoint.RoleBoth,
		Models: []endpoint.LoadedModel{{Name: "draft-large", Version: "2026-11"}},
		State:  state, Slots: 16, KVCapacityTokens: 200000, Reclaimable: true, LeaseMS: 6000,
		Load: endpoint.Load{Seq: seq, Running: int(seq % 16), Waiting: int(seq % 5), KVTokens: int(seq) * 64},
	}
}
