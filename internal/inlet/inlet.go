package inlet

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// evictedShare is the part of the places of a listener that is freed at once, so that a
	// flood of connections does not search all of them for each new one.
	evictedShare = 1.0 / 32
	// stallTime is the time without progress after which a connection may be closed for the
	// bytes that it holds, or for its place while its answer is being written. A client that
	// sends or reads at any pace makes progress far more often.
	stallTime = 500 * time.Millisecond
)

// Options configure an Inlet.
type Options struct {
	Size Size
	// Log and Metrics may be nil.
	Log     *zap.Logger
	Metrics *telemetry.Registry
}

// Inlet holds the limits that the listeners of a process share. It is safe for concurrent use.
type Inlet struct {
	size   Size
	budget *Budget
	events *events

	mu        sync.Mutex
	listeners []*Listener
}

// New returns an inlet without listeners.
func New(options Options) *Inlet {
	in := &Inlet{size: options.Size, budget: NewBudget(options.Size.Bytes), events: newEvents(options.Log, options.Metrics)}
	in.budget.onFull = in.CloseStalled
	return in
}

// Budget returns the budget of all connections.
func (in *Inlet) Budget() *Budget { return in.budget }

// all returns the listeners.
func (in *Inlet) all() []*Listener {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Clone(in.listeners)
}

// connections returns the number of open connections.
func (in *Inlet) connections() int {
	count := 0
	for _, l := range in.all() {
		l.mu.Lock()
		count += len(l.conns)
		l.mu.Unlock()
	}
	return count
}

// CloseStalled closes the connection in the middle of a request that has made no progress for
// the longest time, if that is stallTime or more. It reports whether it closed one.
func (in *Inlet) CloseStalled() bool {
	now := time.Now()
	var oldest *Conn
	for _, l := range in.all() {
		l.mu.Lock()
		for c := range l.conns {
			if c.stuck(now) && now.Sub(c.progressAt()) >= stallTime && (oldest == nil || c.progress.Load() < oldest.progress.Load()) {
				oldest = c
			}
		}
		l.mu.Unlock()
	}
	if oldest == nil {
		return false
	}
	oldest.evict(ReasonStalled)
	return true
}

// Listener accepts connections within the limits.
type Listener struct {
	net.Listener
	inlet  *Inlet
	name   string
	places int
	// http is set where connections carry HTTP, so that a refusal can say what it is.
	http bool
	// encrypted is set where the bytes of connections are those of TLS.
	encrypted bool
	// countAnswers is set where the answers that are being written are counted.
	countAnswers bool
	// boundBuffers is set where the kernel buffers of connections are bounded.
	boundBuffers bool
	limits       atomic.Pointer[Limits]
	// closing is set once CloseServer was called.
	closing atomic.Bool

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	addresses map[netip.Addr]int
}

// Listen bounds a listener, which gets a share of the places. The name is for metrics and log
// lines. Set http where connections carry HTTP.
func (in *Inlet) Listen(inner net.Listener, name string, share float64, http bool) *Listener {
	l := &Listener{
		Listener: inner, inlet: in, name: name, places: max(int(share*float64(in.size.Connections)), 1), http: http,
		conns: make(map[*Conn]struct{}), addresses: make(map[netip.Addr]int),
	}
	l.limits.Store(&Limits{})
	in.mu.Lock()
	defer in.mu.Unlock()
	in.listeners = append(in.listeners, l)
	return l
}

// BoundBuffers bounds the kernel buffers of connections that are accepted from now on. It must
// be called before the listener is served.
func (l *Listener) BoundBuffers() { l.boundBuffers = true }

// SetLimits puts the limits of a document in force, also for connections that are open.
func (l *Listener) SetLimits(limits Limits) { l.limits.Store(&limits) }

// Accept implements net.Listener. A connection for which there is no place is refused and
// closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.add(raw); c != nil {
			return c, nil
		}
		l.inlet.events.record(ReasonNoPlace, l.name, raw.RemoteAddr().String())
		if l.http && !l.encrypted {
			_ = raw.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = raw.Write([]byte(refusalUnavailable))
		}
		_ = raw.Close()
	}
}

// add gives a connection a place, which it may take from others. It returns nil if there is
// none.
func (l *Listener) add(raw net.Conn) *Conn {
	address := addressOf(raw)
	l.mu.Lock()
	var evicted []victim
	if len(l.conns) >= l.places {
		evicted = l.victims(address, time.Now())
	}
	for _, v := range evicted {
		l.forget(v.conn)
	}
	var c *Conn
	if len(l.conns) < l.places {
		c = newConn(l, raw, address)
		l.conns[c] = struct{}{}
		l.addresses[address]++
	}
	l.inlet.events.observe(l, len(l.conns))
	l.mu.Unlock()
	for _, v := range evicted {
		v.conn.evict(v.reason)
	}
	return c
}

// victim is a connection that is closed for the place of another.
type victim struct {
	conn   *Conn
	reason Reason
	// rank orders victims: lower ones are closed first. since is the time of the last progress.
	rank  int
	since int64
}

// Ranks of victims. An address that has more than an equal share of the places gives up its own
// first.
const (
	rankStuckOverShare = iota
	rankStuck
	rankIdleOverShare
	rankIdle
)

// victims returns the connections that give their places to a new one from an address. The
// caller must hold mu.
func (l *Listener) victims(address netip.Addr, now time.Time) []victim {
	share := l.places / max(len(l.addresses), 1)
	mayTakeIdle := l.addresses[address] < share || len(l.addresses) <= 1
	var list []victim
	for c := range l.conns {
		over := l.addresses[c.address] > share
		v := victim{conn: c, since: c.progress.Load()}
		switch {
		case c.stuck(now):
			v.reason, v.rank = ReasonStalled, rankStuck
		case c.idle() && (mayTakeIdle || over):
			v.reason, v.rank = ReasonIdle, rankIdle
		default:
			continue
		}
		if over {
			// Each rank of addresses over their share precedes that of the others.
			v.rank--
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.since, b.since))
	})
	list = list[:min(len(list), max(int(evictedShare*float64(l.places)), 1))]
	// Idle connections are ordinary, so only one is closed for each new connection.
	for i, v := range list {
		if i > 0 && v.reason == ReasonIdle {
			return list[:i]
		}
	}
	return list
}

// forget frees the place of a connection. The caller must hold mu.
func (l *Listener) forget(c *Conn) {
	if _, known := l.conns[c]; !known {
		return
	}
	delete(l.conns, c)
	if l.addresses[c.address]--; l.addresses[c.address] <= 0 {
		delete(l.addresses, c.address)
	}
	l.inlet.events.observe(l, len(l.conns))
}

// addressOf returns the IP address of a client.
func addressOf(conn net.Conn) netip.Addr {
	address, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	return address.Addr()
}
