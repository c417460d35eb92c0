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

// daemon is one daemon of a test. It uses loopback addresses.
type daemon struct {
	*Cluster
	rpc      *peerrpc.Node
	registry *member.Registry
	address  string
	// blocked contains the addresses to which no traffic is sent.
	blocked *addressBlocklist

	mu                  sync.Mutex
	installed           map[uint64]time.Time
	lastInstalled       uint64
	generationDecreased bool
	// panicsAt is a generation whose installation panics.
	panicsAt uint64
}

func (d *daemon) install(g port.Generation) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.panicsAt != 0 && g.Number == d.panicsAt {
		panic("generation with an unexpected content")
	}
	d.generationDecreased = d.generationDecreased || g.Number <= d.lastInstalled
	d.lastInstalled = g.Number
	d.installed[g.Number] = time.Now()
	return nil
}

func (d *daemon) installedAt(number uint64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.installed[number]
}

// addressBlocklist simulates a network partition in one direction, for TCP and UDP.
type addressBlocklist struct {
	addresses atomic.Pointer[map[string]bool]
}

func (b *addressBlocklist) set(list []*daemon) {
	addresses := make(map[string]bool)
	for _, d := range list {
		addresses[d.address] = true
	}
	b.addresses.Store(&addresses)
}

func (b *addressBlocklist) has(address string) bool {
	list := b.addresses.Load()
	return list != nil && (*list)[address]
}

type blockingRPC struct {
	*peerrpc.Node
	blocked *addressBlocklist
}

// Call implements port.PeerCaller.
func (b blockingRPC) Call(ctx context.Context, address, method string, params []byte) ([]byte, error) {
	if b.blocked.has(address) {
		return nil, &peerrpc.UnreachableError{Address: address}
	}
	return b.Node.Call(ctx, address, method, params)
}

type blockingSocket struct {
	*gossipudp.Socket
	blocked *addressBlocklist
}

// Send implements Datagrams.
func (b blockingSocket) Send(address string, data []byte) error {
	if b.blocked.has(address) {
		return nil
	}
	return b.Socket.Send(address, data)
}

// listenFreePort listens on a TCP port that is also free for UDP.
func listenFreePort(t testing.TB) net.Listener {
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

// startDaemon starts a daemon that joins through the given seeds.
func startDaemon(t testing.TB, name, domain string, source Source, seeds ...string) *daemon {
	t.Helper()
	listener := listenFreePort(t)
	d := &daemon{
		rpc: peerrpc.New(peerrpc.Options{}), registry: member.NewRegistry(),
		address: listener.Addr().String(), installed: make(map[uint64]time.Time), blocked: &addressBlocklist{},
	}
	socket, err := gossipudp.Listen(d.address, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	d.Cluster, err = New(Options{
		Self:     member.Identity{Name: name, Domain: domain, Address: d.address},
		Seeds:    seeds,
		Registry: d.registry, RPC: blockingRPC{d.rpc, d.blocked}, Datagrams: blockingSocket{socket, d.blocked}, Install: d.install, Source: source,
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { d.rpc.Serve(listener) }()
	d.Start()
	t.Cleanup(func() {
		d.Kill()
		d.rpc.Close()
	})
	return d
}

// startDomain starts the daemons of one failure domain. The first daemon is the seed of
// the others, and only the first has the source.
func startDomain(t testing.TB, count int, domain string, source Source, seeds ...string) []*daemon {
	t.Helper()
	var list []*daemon
	for i := range count {
		daemonSource := source
		if i > 0 {
			daemonSource = nil
			seeds = []string{list[0].address}
		}
		list = append(list, startDaemon(t, fmt.Sprintf("%s-%03d", domain, i), domain, daemonSource, seeds...))
	}
	return list
}

// allConnected reports whether all daemons receive messages from each other.
func allConnected(list []*daemon) bool {
	for _, d := range list {
		connected := 0
		for _, p := range d.Node().Peers() {
			if p.Status == member.Alive && p.ReceivesFromSelf {
				connected++
			}
		}
		if connected != len(list)-1 {
			return false
		}
	}
	return true
}

// waitFor polls a condition until it is true and returns how long that took.
func waitFor(t testing.TB, limit time.Duration, what string, done func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !done() {
		if time.Since(start) > limit {
			t.Fatalf("%s: condition not met within %v", what, limit)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(start)
}

// source implements Source with the generation that the test promotes.
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
