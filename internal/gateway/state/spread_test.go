package state_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/boragelead/boragelead/internal/adapter/peerrpc"
	"github.com/boragelead/boragelead/internal/gateway/entry"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// slowLinkBytesPerS is the narrowest link of an entry, 7.5 Mbit/s.
	slowLinkBytesPerS = 7.5e6 / 8
	// linkSlice is how many bytes one answer takes before the others have their turn.
	linkSlice = 8 << 10
	// applyBound is the time in which an acknowledged document is in force, and an
	// acknowledged draining known, at all entries.
	applyBound = 2500 * time.Millisecond
	// bytesPerChange is what is left for a change of the document at 9 KB/s a daemon
	// and 2,900 changes a day, once the polls have taken two thirds.
	bytesPerChange = 9_000 * 86_400 / 2_900 / 3
)

// slowLink is a caller whose answers share one link of limited bandwidth. An answer
// whose caller has stopped waiting takes its part of the link all the same.
type slowLink struct {
	*peerrpc.Node
	turn  sync.Mutex
	bytes atomic.Int64
}

func (l *slowLink) Call(ctx context.Context, address, method string, params []byte) ([]byte, error) {
	data, err := l.Node.Call(ctx, address, method, params)
	if err != nil {
		return nil, err
	}
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		l.transfer(len(data) * 4 / 3) // the protocol carries base64
	}()
	select {
	case <-arrived:
		return data, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *slowLink) transfer(size int) {
	l.bytes.Add(int64(size))
	for size > 0 {
		slice := min(size, linkSlice)
		l.turn.Lock()
		time.Sleep(time.Duration(float64(slice) / slowLinkBytesPerS * float64(time.Second)))
		l.turn.Unlock()
		size -= slice
	}
}

// linkedEntry is an entry behind a slow link.
type linkedEntry struct {
	entry *entry.Entry
	link  *slowLink
	logs  *observer.ObservedLogs
}

func (gr *group) startEntry(name string) *linkedEntry {
	core, logs := observer.New(zapcore.InfoLevel)
	e := &linkedEntry{link: &slowLink{Node: peerrpc.New(peerrpc.Options{})}, logs: logs}
	e.entry = entry.New(entry.Options{
		Settings: &settings.Gateway{Name: name, Role: settings.RoleEntry, IP: "127.0.0.1", PeerPort: gr.port, Seeds: gr.seeds, Bounds: gr.bounds},
		Decode:   decode, Caller: e.link, Log: zap.New(core), Metrics: telemetry.NewRegistry(),
	})
	e.entry.Start()
	gr.t.Cleanup(func() {
		e.link.Close()
		e.entry.Close()
	})
	return e
}

// version returns the version of the document in force.
func (e *linkedEntry) version() uint64 {
	newest := uint64(0)
	for _, line := range e.logs.FilterMessage("Document in force.").All() {
		newest = max(newest, line.ContextMap()["version"].(uint64))
	}
	return newest
}

// knowsDraining reports whether the entry has learned that an endpoint drains.
func (e *linkedEntry) knowsDraining(endpoint string) bool {
	for _, line := range e.logs.FilterMessage("Endpoint changed.").All() {
		fields := line.ContextMap()
		if fields["endpoint"] == endpoint && fields["state"].(uint8) == uint8(registry.Draining) {
			return true
		}
	}
	return false
}

// routesText returns the text of a number of routes, each with a random name.
func routesText(count int, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, `{"name":"r-%08x","host":"h%d.example","pathPrefix":"/%08x/%04x/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":2000,`+
			`"priority":2,"weightedSplit":[{"service":"s%d","weight":90},{"service":"t","weight":10}],"maxAttempts":2,"anonymous":false,`+
			`"sticky":true,"spread":false,"resumable":true,"maxEventGapMs":400}`+"\n", random.Uint32(), i%40, random.Uint32(), random.Uint32()&0xffff, i%3)
	}
	return text.String()
}

// Guards against a document of 1,400 routes that fills the links of the entries until
// each poll times out, so that neither it nor a draining endpoint is known in time.
func TestLargeDocumentDoesNotDelayChanges(t *testing.T) {
	gr := newGroup(t)
	gr.eventuallyPut("127.0.0.1", document(1, "first"))
	gr.awaitVoters()
	e := readyEndpoint()
	gr.g.Expect(gr.nodes["127.0.0.1"].state.Announce(t.Context(), e)).To(Succeed())
	entries := gr.startEntries(8)

	gr.g.Expect(gr.put("127.0.0.2", document(2, routesText(1400, 1)))).To(Succeed())
	stored := time.Now()
	e.State, e.Seq = registry.Draining, 2
	gr.g.Expect(gr.nodes["127.0.0.3"].state.Announce(t.Context(), e)).To(Succeed())
	time.Sleep(time.Until(stored.Add(applyBound)))
	for i, linked := range entries {
		gr.g.Expect(linked.version()).To(BeEquivalentTo(2), "entry %d", i)
		gr.g.Expect(linked.knowsDraining("i")).To(BeTrue(), "entry %d", i)
	}
}

// Guards against a change of one route that costs every entry several copies of the
// whole document.
func TestBytesOfAChangeDoNotFollowTheDocument(t *testing.T) {
	gr := newGroup(t)
	routes := strings.Split(routesText(1400, 1), "\n")
	gr.eventuallyPut("127.0.0.1", document(1, strings.Join(routes, "\n")))
	gr.awaitVoters()
	entries := gr.startEntries(3)
	for version := uint64(2); version <= 4; version++ {
		before := make([]int64, len(entries))
		for i, linked := range entries {
			before[i] = linked.link.bytes.Load()
		}
		routes[len(routes)/int(version)] = routesText(1, version)
		gr.g.Expect(gr.put("127.0.0.2", document(version, strings.Join(routes, "\n")))).To(Succeed())
		time.Sleep(applyBound)
		for i, linked := range entries {
			gr.g.Expect(linked.version()).To(Equal(version), "entry %d", i)
			gr.g.Expect(linked.link.bytes.Load()-before[i]).To(BeNumerically("<", bytesPerChange), "entry %d", i)
		}
	}
}

// startEntries starts entries and waits until each has a document.
func (gr *group) startEntries(count int) []*linkedEntry {
	entries := make([]*linkedEntry, count)
	for i := range entries {
		entries[i] = gr.startEntry(fmt.Sprintf("entry-%d", i))
	}
	for _, linked := range entries {
		gr.g.Eventually(linked.version, "20s", "20ms").Should(BeNumerically(">", 0))
	}
	return entries
}
