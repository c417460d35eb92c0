package member

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// RoundInterval is the time between two datagrams to the same peer.
	RoundInterval = time.Second
	// SuspectAfter is the silence after which a peer counts as not heard. Three
	// datagrams in a row must be lost for a false suspicion.
	SuspectAfter = 3 * time.Second
	// deadProbeInterval is how often a dead peer is still tried, so that both
	// sides of a healed partition find each other.
	deadProbeInterval = 5 * time.Second
	// forgetAfter is how long a dead or departed peer is kept. Seeds reach daemons that come back later.
	forgetAfter = 10 * time.Minute
	// syncInterval is the time between two anti-entropy exchanges.
	syncInterval = 5 * time.Second
	// flushInterval is the least time between two datagrams sent at once for changes of endpoints.
	flushInterval = 50 * time.Millisecond
	// repeatRounds is how many rounds repeat a change, so that a single lost
	// datagram costs no pull.
	repeatRounds = 2
	// viewGrace is how long two peers may disagree on the order of the bitmap before they exchange it.
	viewGrace = 2 * time.Second
	// seedEvery is the share of anti-entropy exchanges that go to a seed.
	seedEvery = 6
	// pauseGap is a time between two ticks that shows that this process did not run.
	pauseGap = time.Second
)

// Options configure a node.
type Options struct {
	Self Identity
	// Seeds are the addresses to join by.
	Seeds    []string
	Registry *Registry
	// Random is the source of choices.
	Random *rand.Rand
	// PriceClass ranks an endpoint's price for summaries; nil means 0 for
	// reclaimable endpoints and 1 for the others.
	PriceClass func(*Endpoint) uint8
}

// Node is the membership of one daemon. It is safe for concurrent use.
type Node struct {
	mu       sync.Mutex
	options  Options
	self     Identity
	registry *Registry
	random   *rand.Rand
	leaving  bool
	seq      uint32

	peers   map[uint64]*peer
	byName  map[string]*peer
	domains map[string]*domain
	// replaced holds earlier instances of daemons and when they were replaced.
	replaced   map[uint64]time.Time
	generation uint64
	contact    contact
	payloads   payloads

	// order is the sorted list of known instances and orderHash its hash.
	order     []uint64
	orderHash uint32

	lastTick    time.Time
	nextRound   time.Time
	nextSync    time.Time
	nextSummary time.Time
	lastFlush   time.Time
	syncs       int
	round       int
	// sentVersions are the registry versions sent by the newest rounds, the oldest first.
	sentVersions [repeatRounds]uint64
	flushed      uint64
	urgent       bool
	spread       int

	out   Output
	stats Stats
}

// Stats count what a node did.
type Stats struct {
	Rounds, Received, Invalid, Stale, Refutations, Pulls, Syncs uint64
}

// Packet is a datagram to send.
type Packet struct {
	Address string
	Data    []byte
}

// Pull asks a daemon for the records of one host.
type Pull struct {
	Address string
	Request []byte
}

// Output is what the I/O layer has to do. It is not reused.
type Output struct {
	Packets []Packet
	// Syncs are the addresses of daemons to exchange digests with.
	Syncs  []string
	Pulls  []Pull
	Events []Event
	// Expired are the endpoints whose lease ended.
	Expired []string
}

// New returns the membership of a daemon that knows only itself.
func New(options Options, now time.Time) *Node {
	n := &Node{
		options:  options,
		self:     options.Self,
		registry: options.Registry,
		random:   options.Random,
		peers:    make(map[uint64]*peer),
		byName:   make(map[string]*peer),
		domains:  make(map[string]*domain),
		replaced: make(map[uint64]time.Time),
		lastTick: now,
	}
	n.payloads.init()
	n.registry.SetSelf(n.self.Instance)
	n.nextRound = now.Add(time.Duration(n.random.Int64N(int64(RoundInterval))))
	n.nextSync = now
	n.nextSummary = now.Add(summaryInterval)
	n.reorder()
	return n
}

// Self returns the identity with the current incarnation.
func (n *Node) Self() Identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// SetGeneration sets the configuration generation that this daemon has in
// force. A lower one than before is ignored.
func (n *Node) SetGeneration(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if number > n.generation {
		n.generation = number
		n.urgent = true
	}
}

// Leave makes the next datagrams say that this daemon is leaving.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
	n.urgent = true
}

// Stats returns the counters.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stats
}

// Peers returns the other daemons of the failure domain.
func (n *Node) Peers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]Peer, 0, len(n.peers))
	for _, instance := range n.order {
		if p := n.peers[instance]; p != nil {
			list = append(list, p.Peer)
		}
	}
	return list
}

// Tick advances the time. The I/O layer calls it several times a second.
func (n *Node) Tick(now time.Time) Output {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notePause(now)
	n.evaluate(now)
	n.out.Expired = n.registry.Expire(now)
	n.send(now)
	n.pull(now)
	n.antiEntropy(now)
	n.summarize(now)
	return n.takeOutput()
}

// takeOutput hands over what is due, including events of exchanges since the last call.
func (n *Node) takeOutput() Output {
	out := n.out
	n.out = Output{}
	return out
}

// notePause excludes the time in which this process did not run from the
// silence of the others.
func (n *Node) notePause(now time.Time) {
	gap := now.Sub(n.lastTick)
	n.lastTick = now
	if gap < pauseGap {
		return
	}
	for _, p := range n.peers {
		p.LastHeard = p.LastHeard.Add(gap)
		p.evidence = p.evidence.Add(gap)
	}
	n.registry.postpone(gap)
}

// send makes the datagrams of a round, or those of an urgent change.
func (n *Node) send(now time.Time) {
	regular := !now.Before(n.nextRound)
	version := n.registry.Version()
	changed := version != n.flushed || n.urgent
	if !regular && (!changed || now.Sub(n.lastFlush) < flushInterval) {
		return
	}
	base := n.sentVersions[0]
	if !regular {
		base = n.flushed
	}
	body := n.body(now, regular, base)
	for _, instance := range n.order {
		if p := n.peers[instance]; p != nil {
			n.sendTo(p, body, now)
		}
	}
	n.flushed = version
	n.lastFlush = now
	n.urgent = false
	if regular {
		n.nextRound = n.nextRound.Add(RoundInterval)
		if n.nextRound.Before(now) {
			n.nextRound = now.Add(RoundInterval)
		}
		copy(n.sentVersions[:], n.sentVersions[1:])
		n.sentVersions[repeatRounds-1] = version
		n.round++
		n.stats.Rounds++
	}
}

type section struct {
	tag  byte
	body []byte
}

// body makes the sections that all peers get.
func (n *Node) body(now time.Time, regular bool, base uint64) []section {
	var list []section
	// A peer that misses more than maxChanges pulls them.
	changes, _ := n.registry.Changes(base, maxChanges, now)
	for i := range changes {
		list = append(list, section{sectionChanges, pack(&changes[i])})
	}
	if !regular {
		return append(list, n.payloads.sections(n.round, false)...)
	}
	deltas := n.registry.Deltas(now)
	const perSection = (MaxDatagram - headerMax) / deltaBytes / 2
	for len(deltas) > 0 {
		count := min(len(deltas), perSection)
		var b []byte
		for i := range deltas[:count] {
			b = appendDelta(b, &deltas[i])
		}
		list = append(list, section{sectionDeltas, b})
		deltas = deltas[count:]
	}
	list = append(list, n.payloads.sections(n.round, true)...)
	return append(list, n.foreignSummary(now)...)
}

// maxChanges bounds the changes of endpoints in the datagrams to one peer.
const maxChanges = 12

// sendTo sends the body to a peer, or a probe now and then if it is dead.
func (n *Node) sendTo(p *peer, body []section, now time.Time) {
	b := &builder{head: n.head(), next: n.nextSeq}
	if !p.present() {
		if p.Status == Left || now.Before(p.nextProbe) {
			return
		}
		p.nextProbe = now.Add(deadProbeInterval)
		b.add(sectionIdentity, pack(&n.self))
		b.add(sectionNotice, packNotice(Notice{Instance: p.Instance, Incarnation: p.Incarnation}))
		n.emit(p.Address, b)
		return
	}
	if !p.HearsMe {
		b.add(sectionIdentity, pack(&n.self))
		body = append(body[:len(body):len(body)], n.payloads.all()...)
	}
	for _, s := range body {
		b.add(s.tag, s.body)
	}
	n.emit(p.Address, b)
}

func (n *Node) emit(address string, b *builder) {
	for _, data := range b.finish() {
		n.out.Packets = append(n.out.Packets, Packet{Address: address, Data: data})
	}
}

func (n *Node) nextSeq() uint32 {
	n.seq++
	return n.seq
}

func (n *Node) head() datagram {
	return datagram{
		Leaving:     n.leaving,
		Instance:    n.self.Instance,
		Incarnation: n.self.Incarnation,
		Generation:  n.generation,
		Version:     n.registry.Version(),
		View:        n.orderHash,
		SourceAge:   n.contact.age(n.lastTick),
		Heard:       n.heardBitmap(),
	}
}
