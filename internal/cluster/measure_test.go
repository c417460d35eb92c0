package cluster

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// udpHeader is the size of the IPv4 and UDP headers of a datagram.
const udpHeader = 28

// TestMeasure prints the control overhead of a domain. It runs only with
// BORAGELEAD_MEASURE set to "DAEMONS:ENDPOINTS" pairs separated by commas:
//
//	BORAGELEAD_MEASURE=8:12,31:192 go test -run TestMeasure -v ./internal/cluster
func TestMeasure(t *testing.T) {
	cases := os.Getenv("BORAGELEAD_MEASURE")
	if cases == "" {
		t.Skip("BORAGELEAD_MEASURE is not set")
	}
	for _, text := range strings.Split(cases, ",") {
		daemons, endpoints, _ := strings.Cut(text, ":")
		n, _ := strconv.Atoi(daemons)
		m, _ := strconv.Atoi(endpoints)
		t.Run(text, func(t *testing.T) { measure(t, n, m) })
	}
}

func measure(t *testing.T, daemons, endpoints int) {
	before := heap()
	src := newSource()
	list := startDomain(t, daemons, "a", src)
	joinTook := waitFor(t, time.Minute, "join", func() bool { return joined(list) })
	stop := make(chan struct{})
	go announceAll(list, endpoints, stop)
	defer close(stop)
	waitFor(t, time.Minute, "endpoints known", func() bool { return allKnow(list, endpoints) })
	// The exchanges of the join must end before the steady state is measured.
	time.Sleep(8 * time.Second)

	const window = 20 * time.Second
	sent0, received0, rpc0 := traffic(list)
	cpu0 := cpu()
	time.Sleep(window)
	cpuUsed := cpu() - cpu0
	sent1, received1, rpc1 := traffic(list)
	per := func(v uint64) float64 { return float64(v) / window.Seconds() / float64(daemons) / 1000 }
	memory := float64(heap()-before) / float64(daemons) / (1 << 20)
	t.Logf("daemons=%d endpoints=%d join=%v", daemons, endpoints, joinTook.Round(time.Millisecond))
	t.Logf("kB/s per daemon: sent=%.2f received=%.2f sum=%.2f (datagrams with IP headers, RPC without; RPC both ways=%.2f)",
		per(sent1-sent0), per(received1-received0), per(sent1-sent0+received1-received0), per(rpc1-rpc0))
	t.Logf("CPU per daemon: %.2f%% of a core; heap per daemon: %.2f MB",
		100*cpuUsed.Seconds()/window.Seconds()/float64(daemons), memory)
	measureSpread(t, list, endpoints)
	measureConfig(t, list, src)
}

// measureSpread measures how long a new, a leaving and a stopped endpoint take to be known everywhere.
func measureSpread(t *testing.T, list []*daemon, endpoints int) {
	const tries = 10
	var join, leave, gone []time.Duration
	for i := range tries {
		at := list[i%len(list)]
		id := fmt.Sprintf("fresh-%d", i)
		at.registry.Announce(announcement(id, 1, 1, endpoint.StateReady), time.Now())
		join = append(join, waitFor(t, 20*time.Second, "join of endpoint", func() bool { return every(list, id, endpoint.StateReady) }))
		at.registry.Withdraw(endpoint.Withdrawal{ID: id, Incarnation: 1, DeadlineMS: 30000})
		leave = append(leave, waitFor(t, 20*time.Second, "leave of endpoint", func() bool { return every(list, id, endpoint.StateLeaving) }))
		at.registry.Withdraw(endpoint.Withdrawal{ID: id, Incarnation: 1})
		gone = append(gone, waitFor(t, 20*time.Second, "stop of endpoint", func() bool { return every(list, id, "") }))
	}
	for name, took := range map[string][]time.Duration{"new": join, "leaving": leave, "stopped": gone} {
		slices.Sort(took)
		t.Logf("%s endpoint known on all %d daemons: median=%v max=%v", name, len(list),
			took[tries/2].Round(time.Millisecond), took[tries-1].Round(time.Millisecond))
	}
}

func measureConfig(t *testing.T, list []*daemon, src *source) {
	var took []time.Duration
	for number := uint64(1); number <= 5; number++ {
		document := []byte(strings.Repeat(fmt.Sprintf(`{"workspace":"w%d","weight":%d},`, number, rand.IntN(100)), 2000))
		src.promote(number, document)
		took = append(took, waitFor(t, 20*time.Second, "generation", func() bool {
			return !slices.ContainsFunc(list, func(d *daemon) bool { return d.installedAt(number).IsZero() })
		}))
	}
	slices.Sort(took)
	t.Logf("generation in force on %d daemons: median=%v max=%v", len(list),
		took[2].Round(time.Millisecond), took[4].Round(time.Millisecond))
}

// announceAll makes each endpoint announce itself to its daemon every 2 s with a changed load.
func announceAll(list []*daemon, endpoints int, stop chan struct{}) {
	const interval = 2 * time.Second
	if endpoints == 0 {
		return
	}
	ticker := time.NewTicker(interval / time.Duration(endpoints))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
			id := i % endpoints
			a := announcement(fmt.Sprintf("endpoint-%04d", id), 1, uint64(i/endpoints+1), endpoint.StateReady)
			list[id%len(list)].registry.Announce(a, time.Now())
		case <-stop:
			return
		}
	}
}

func allKnow(list []*daemon, endpoints int) bool {
	return !slices.ContainsFunc(list, func(d *daemon) bool { return len(d.registry.List()) < endpoints })
}

// every reports whether all daemons see an endpoint in a state, or not at all for an empty state.
func every(list []*daemon, id string, state endpoint.State) bool {
	return !slices.ContainsFunc(list, func(d *daemon) bool {
		e := d.registry.Find(id)
		return (e == nil) != (state == "") || (e != nil && e.State != state)
	})
}

func traffic(list []*daemon) (sent, received, rpc uint64) {
	for _, d := range list {
		udp, tcp := d.Traffic(), d.rpc.Stats()
		sent += udp.BytesSent + udp.Sent*udpHeader + tcp.BytesSent
		received += udp.BytesReceived + udp.Received*udpHeader + tcp.BytesReceived
		rpc += tcp.BytesSent + tcp.BytesReceived
	}
	return sent, received, rpc
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func cpu() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
