package member

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// RoundInterval is the time between two datagrams to the same peer.
	RoundInterval = time.Second
	// SuspectAfter is the time without a datagram after which a peer is suspected.
	// A false suspicion takes the loss of three datagrams in a row.
	SuspectAfter = 3 * time.Second
	// deadProbeInterval is the time between two probes of a dead peer. The probes
	// let both sides of a healed partition find each other.
	deadProbeInterval = 5 * time.Second
	// forgetAfter is how long a dead or departed peer is kept. A daemon that comes
	// back later is found through the seeds.
	forgetAfter = 10 * time.Minute
	// syncInterval is the time between two anti-entropy exchanges.
	syncInterval = 5 * time.Second
	// flushInterval is the minimum time between two datagrams that are sent before
	// the next round because of urgent changes.
	flushInterval = 50 * time.Millisecond
	// repeatRounds is the number of rounds that send a change, so that the loss of
	// a single datagram does not require a pull.
	repeatRounds = 2
	// orderMismatchGrace is how long two peers may disagree on the order of the
	// heard bitmap before they exchange it.
	orderMismatchGrace = 2 * time.Second
	// seedEvery is the number of anti-entropy exchanges out of which one goes to a seed.
	seedEvery = 6
	// pauseThreshold is the time between two ticks from which this process counts
	// as having been paused.
	pauseThreshold = time.Second
)

// Options configure a node.
type Options struct {
	Self Identity
	// Seeds are the addresses of the daemons through which this daemon joins.
	Seeds    []string
	Registry *Registry
	// Random is the source of randomness.
	Random *rand.Rand
	// PriceClass ranks an endpoint's price for summaries; nil means 0 for
	// reclaimable endpoints and 1 for the others.
	PriceClass func(*Endpoint) uint8
}

// Node is the membership protocol of one daemon. It is safe for concurrent use.
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
	// replacedAt maps earlier instances of daemons to the time of their replacement.
	replacedAt    map[uint64]time.Time
	generation    uint64
	sourceContact sourceContact
	payloads      payloads

	// order is the sorted list of known instances and orderHash its hash.
	order     []uint64
	orderHash uint32

	lastTick    time.Time
	nextRound   time.Time
	nextSync    time.Time
	nextSummary time.Time
	lastFlush   time.Time
	syncCount   int
	round       int
	// sentVersions are the registry versions that the last rounds sent, oldest first.
	sentVersions   [repeatRounds]uint64
	flushedVersion uint64
	urgent         bool
	summaryRound   int

	out   Output
	stats Stats
}

// Stats are the counters of a node.
type Stats struct {
	Rounds, Received, Invalid, Stale, Refutations, Pulls, Syncs uint64
}

// Packet is a datagram to send.
type Packet struct {
	Address string
	Data    []byte
}

// Pull is a request to a daemon for the records of one host.
type Pull struct {
	Address string
	Request []byte
}

// Output is the work for the I/O layer. The node does not reuse its slices.
type Output struct {
	Packets []Packet
	// Syncs are the addresses of daemons to exchange digests with.
	Syncs  []string
	Pulls  []Pull
	Events []Event
	// Expired are the IDs of the endpoints whose lease or departure deadline ended.
	Expired []string
}

// New returns a node that knows no other daemon.
func New(options Options, now time.Time) *Node {
	n := &Node{
		options:    options,
		self:       options.Self,
		registry:   options.Registry,
		random:     options.Random,
		peers:      make(map[uint64]*peer),
		byName:     make(map[string]*peer),
		domains:    make(map[string]*domain),
		replacedAt: make(map[uint64]time.Time),
		lastTick:   now,
	}
	n.payloads.init()
	n.registry.SetSelf(n.self.Instance)
	n.nextRound = now.Add(time.Duration(n.random.Int64N(int64(RoundInterval))))
	n.nextSync = now
	n.nextSummary = now.Add(summaryInterval)
	n.rebuildOrder()
	return n
}

// Self returns the identity of this daemon with its current incarnation.
func (n *Node) Self() Identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// SetGeneration sets the configuration generation that this daemon has in
// force. It ignores a number that is not higher than the current one.
func (n *Node) SetGeneration(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if number > n.generation {
		n.generation = number
		n.urgent = true
	}
}

// Leave announces in the next datagrams that this daemon is leaving.
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

// Tick does the work that is due. The I/O layer calls it several times a second.
func (n *Node) Tick(now time.Time) Output {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.compensatePause(now)
	n.updateStatuses(now)
	n.out.Expired = n.registry.Expire(now)
	n.send(now)
	n.requestPulls(now)
	n.antiEntropy(now)
	n.sendSummaries(now)
	return n.takeOutput()
}

// takeOutput returns and clears the pending output, including events of
// exchanges since the last call.
func (n *Node) takeOutput() Output {
	out := n.out
	n.out = Output{}
	return out
}

// compensatePause detects that this process was paused. It shifts the times at
// which peers were last heard, and extends the leases, by the length of the pause.
func (n *Node) compensatePause(now time.Time) {
	gap := now.Sub(n.lastTick)
	n.lastTick = now
	if gap < pauseThreshold {
		return
	}
	for _, p := range n.peers {
		p.LastHeard = p.LastHeard.Add(gap)
		p.lastVouched = p.lastVouched.Add(gap)
	}
	n.registry.extendLeases(gap)
}

// send builds the datagrams of a round, or those of an urgent change between rounds.
func (n *Node) send(now time.Time) {
	regular := !now.Before(n.nextRound)
	version := n.registry.Version()
	changed := version != n.flushedVersion || n.urgent
	if !regular && (!changed || now.Sub(n.lastFlush) < flushInterval) {
		return
	}
	base := n.sentVersions[0]
	if !regular {
		base = n.flushedVersion
	}
	sharedSections := n.sharedSections(now, regular, base)
	for _, instance := range n.order {
		if p := n.peers[instance]; p != nil {
			n.sendTo(p, sharedSections, now)
		}
	}
	n.flushedVersion = version
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

// section is one tagged part of a datagram.
type section struct {
	tag  byte
	body []byte
}

// sharedSections returns the sections that are sent to all peers.
func (n *Node) sharedSections(now time.Time, regular bool, base uint64) []section {
	var list []section
	// If there are more than maxChanges changes, none is sent and the peers pull them.
	changes, _ := n.registry.Changes(base, maxChanges, now)
	for i := range changes {
		list = append(list, section{sectionChanges, pack(&changes[i])})
	}
	if !regular {
		return append(list, n.payloads.dueSections(n.round, false)...)
	}
	deltas := n.registry.Deltas(now)
	const perSection = (MaxDatagram - maxHeaderBytes) / deltaBytes / 2
	for len(deltas) > 0 {
		count := min(len(deltas), perSection)
		var b []byte
		for i := range deltas[:count] {
			b = appendDelta(b, &deltas[i])
		}
		list = append(list, section{sectionDeltas, b})
		deltas = deltas[count:]
	}
	list = append(list, n.payloads.dueSections(n.round, true)...)
	return append(list, n.forwardSummary(now)...)
}

// maxChanges bounds the endpoint changes in the datagrams to one peer.
const maxChanges = 12

// sendTo sends the sections in body to a peer. A dead peer gets a probe every
// deadProbeInterval instead.
func (n *Node) sendTo(p *peer, body []section, now time.Time) {
	b := &builder{header: n.header(), newSeq: n.nextSeq}
	if !p.live() {
		if p.Status == Left || now.Before(p.nextProbe) {
			return
		}
		p.nextProbe = now.Add(deadProbeInterval)
		b.add(sectionIdentity, pack(&n.self))
		b.add(sectionNotice, packNotice(Notice{Instance: p.Instance, Incarnation: p.Incarnation}))
		n.emit(p.Address, b)
		return
	}
	if !p.ReceivesFromSelf {
		b.add(sectionIdentity, pack(&n.self))
		body = append(body[:len(body):len(body)], n.payloads.allSections()...)
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

func (n *Node) header() datagram {
	return datagram{
		Leaving:     n.leaving,
		Instance:    n.self.Instance,
		Incarnation: n.self.Incarnation,
		Generation:  n.generation,
		Version:     n.registry.Version(),
		OrderHash:   n.orderHash,
		SourceAge:   n.sourceContact.age(n.lastTick),
		HeardBitmap: n.heardBitmap(),
	}
}
