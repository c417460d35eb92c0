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

// defaultCase is measured when BORAGELEAD_MEASURE is not set. It is the size of the
// present deployment.
const defaultCase = "8:12"

// BenchmarkCluster prints the overhead of the control traffic in one or more failure domains.
// BORAGELEAD_MEASURE holds "DAEMONS:ENDPOINTS", or "DOMAINSxDAEMONS:ENDPOINTS"
// with counts per domain, separated by commas:
//
//	BORAGELEAD_MEASURE=8:12,31:192,12x5:10 go test -run xxx -bench Cluster -benchtime 1x ./internal/cluster
func BenchmarkCluster(b *testing.B) {
	cases := os.Getenv("BORAGELEAD_MEASURE")
	if cases == "" {
		cases = defaultCase
	}
	for _, text := range strings.Split(cases, ",") {
		daemons, endpoints, _ := strings.Cut(text, ":")
		domains := 1
		if before, after, found := strings.Cut(daemons, "x"); found {
			domains, _ = strconv.Atoi(before)
			daemons = after
		}
		n, _ := strconv.Atoi(daemons)
		m, _ := strconv.Atoi(endpoints)
		b.Run(text, func(b *testing.B) {
			for b.Loop() {
				measure(b, domains, n, m)
			}
		})
	}
}

func measure(t testing.TB, domains, daemons, endpoints int) {
	before := heapBytes()
	src := newSource()
	var groups [][]*daemon
	var all []*daemon
	for i := range domains {
		var seeds []string
		daemonSource := src
		if i > 0 {
			seeds, daemonSource = []string{groups[0][0].address}, nil
		}
		group := startDomain(t, daemons, fmt.Sprintf("m%02d", i), asSource(daemonSource), seeds...)
		groups = append(groups, group)
		all = append(all, group...)
	}
	joinTook := waitFor(t, 2*time.Minute, "join", func() bool {
		return !slices.ContainsFunc(groups, func(group []*daemon) bool { return !allConnected(group) })
	})
	domainsTook := waitFor(t, 2*time.Minute, "domains known", func() bool {
		return !slices.ContainsFunc(all, func(d *daemon) bool { return len(d.Node().Domains(time.Now())) < domains-1 })
	})
	stop := make(chan struct{})
	defer close(stop)
	for _, group := range groups {
		go announceAll(group, endpoints, stop)
	}
	for _, group := range groups {
		waitFor(t, 2*time.Minute, "endpoints known", func() bool { return allKnowEndpoints(group, endpoints) })
	}
	src.promote(1, []byte("first"))
	waitFor(t, time.Minute, "first generation", allHaveGeneration(all, 1))
	// The exchanges of the join must end before the steady state is measured.
	time.Sleep(8 * time.Second)

	const window = 20 * time.Second
	from, cpu0 := traffic(all), cpuTime()
	time.Sleep(window)
	cpuUsed, to := cpuTime()-cpu0, traffic(all)
	memory := float64(heapBytes()-before) / float64(len(all)) / (1 << 20)
	t.Logf("domains=%d daemons=%d endpoints=%d (per domain) join=%v then all domains known=%v",
		domains, daemons, endpoints, joinTook.Round(time.Millisecond), domainsTook.Round(time.Millisecond))
	logTraffic(t, from, to, window)
	t.Logf("CPU per daemon: %.2f%% of a core; heap per daemon: %.2f MB",
		100*cpuUsed.Seconds()/window.Seconds()/float64(len(all)), memory)
	measurePropagation(t, groups[0])
	measureConfig(t, all, src)
}

// asSource converts a nil *source to a nil Source. A direct conversion would give a
// Source that is not nil.
func asSource(src *source) Source {
	if src == nil {
		return nil
	}
	return src
}

// trafficVolume is the number of bytes that one daemon sent and received. Datagrams
// include the IP and UDP headers, RPC excludes the TCP and IP headers.
type trafficVolume struct{ sent, received, rpc uint64 }

func logTraffic(t testing.TB, from, to []trafficVolume, window time.Duration) {
	t.Helper()
	var sum, busiest trafficVolume
	for i := range from {
		v := trafficVolume{to[i].sent - from[i].sent, to[i].received - from[i].received, to[i].rpc - from[i].rpc}
		sum = trafficVolume{sum.sent + v.sent, sum.received + v.received, sum.rpc + v.rpc}
		if v.sent+v.received > busiest.sent+busiest.received {
			busiest = v
		}
	}
	rate := func(v uint64, count int) float64 { return float64(v) / window.Seconds() / float64(count) / 1000 }
	n := len(from)
	t.Logf("kB/s mean per daemon: sent=%.2f received=%.2f sum=%.2f, of which RPC %.2f",
		rate(sum.sent, n), rate(sum.received, n), rate(sum.sent+sum.received, n), rate(sum.rpc, n))
	t.Logf("kB/s of the busiest daemon: sent=%.2f received=%.2f sum=%.2f, of which RPC %.2f",
		rate(busiest.sent, 1), rate(busiest.received, 1), rate(busiest.sent+busiest.received, 1), rate(busiest.rpc, 1))
}

// measurePropagation measures how long it takes until all daemons know a new, a leaving
// and a stopped endpoint.
func measurePropagation(t testing.TB, list []*daemon) {
	const rounds = 10
	var join, leave, stopped []time.Duration
	for i := range rounds {
		host := list[i%len(list)]
		id := fmt.Sprintf("fresh-%d", i)
		host.registry.Announce(announcement(id, 1, 1, endpoint.StateReady), time.Now())
		join = append(join, waitFor(t, 20*time.Second, "join of endpoint", func() bool { return allSeeState(list, id, endpoint.StateReady) }))
		host.registry.Withdraw(endpoint.Withdrawal{ID: id, Incarnation: 1, DeadlineMS: 30000})
		leave = append(leave, waitFor(t, 20*time.Second, "leave of endpoint", func() bool { return allSeeState(list, id, endpoint.StateLeaving) }))
		host.registry.Withdraw(endpoint.Withdrawal{ID: id, Incarnation: 1})
		stopped = append(stopped, waitFor(t, 20*time.Second, "stop of endpoint", func() bool { return allSeeState(list, id, "") }))
	}
	for name, took := range map[string][]time.Duration{"new": join, "leaving": leave, "stopped": stopped} {
		slices.Sort(took)
		t.Logf("%s endpoint known on all %d daemons: median=%v max=%v", name, len(list),
			took[rounds/2].Round(time.Millisecond), took[rounds-1].Round(time.Millisecond))
	}
}

func measureConfig(t testing.TB, list []*daemon, src *source) {
	var took []time.Duration
	for number := uint64(2); number <= 6; number++ {
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

func allKnowEndpoints(list []*daemon, endpoints int) bool {
	return !slices.ContainsFunc(list, func(d *daemon) bool { return len(d.registry.List()) < endpoints })
}

// allSeeState reports whether the registries of all daemons have the endpoint in the
// given state or, for an empty state, do not have it.
func allSeeState(list []*daemon, id string, state endpoint.State) bool {
	return !slices.ContainsFunc(list, func(d *daemon) bool {
		e := d.registry.Find(id)
		return (e == nil) != (state == "") || (e != nil && e.State != state)
	})
}

func traffic(list []*daemon) []trafficVolume {
	volumes := make([]trafficVolume, len(list))
	for i, d := range list {
		udp, tcp := d.Traffic(), d.rpc.Stats()
		volumes[i] = trafficVolume{
			sent:     udp.BytesSent + udp.Sent*udpHeader + tcp.BytesSent,
			received: udp.BytesReceived + udp.Received*udpHeader + tcp.BytesReceived,
			rpc:      tcp.BytesSent + tcp.BytesReceived,
		}
	}
	return volumes
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
