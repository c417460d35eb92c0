package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Methods between daemons, served by the I/O layer.
const (
	MethodSync  = "member.sync"
	MethodPull  = "member.pull"
	MethodFetch = "member.fetch"
)

// memberInfo is a daemon as another one knows it.
type memberInfo struct {
	Identity Identity
	Status   Status
	// AgeMS is the time since the newest sign of life.
	AgeMS int64
}

// syncMessage is the request and the answer of the anti-entropy exchange.
type syncMessage struct {
	From Identity
	// Hash sums up what the sender knows of its domain.
	Hash uint64
	// Brief is set on a request that only asks whether the hashes are equal.
	Brief bool
	// Same is set on the answer when they are.
	Same      bool
	Order     []uint64
	Members   []memberInfo
	Digests   []HostDigest
	Sets      []RecordSet
	Summaries []Summary
}

type pullRequest struct {
	Host  uint64
	Since uint64
}

type fetchRequest struct {
	Model   string
	Service string
}

// BuildSync makes the request of an anti-entropy exchange. A brief one only
// compares hashes, which is enough nearly always.
func (n *Node) BuildSync(now time.Time, brief bool) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stats.Syncs++
	if brief {
		return pack(&syncMessage{From: n.self, Hash: n.hash(), Brief: true})
	}
	return pack(n.syncMessage(now))
}

// hash covers the daemons with incarnation and presence, and the digests of
// all hosts.
func (n *Node) hash() uint64 {
	var sum uint64
	add := func(words ...uint64) {
		b := make([]byte, 0, 32)
		for _, word := range words {
			b = binary.LittleEndian.AppendUint64(b, word)
		}
		sum += xxhash.Sum64(b)
	}
	add(n.self.Instance, uint64(n.self.Incarnation), 1)
	for _, p := range n.peers {
		present := uint64(0)
		if p.present() {
			present = 1
		}
		add(p.Instance, uint64(p.Incarnation), present)
	}
	for _, d := range n.registry.Digests() {
		// A host without endpoints is listed only by itself.
		if d.Sum == 0 {
			continue
		}
		add(d.Host, d.Version, uint64(d.Sum), 2)
	}
	return sum
}

func (n *Node) syncMessage(now time.Time) *syncMessage {
	m := &syncMessage{From: n.self, Hash: n.hash(), Order: n.order, Digests: n.registry.Digests(), Summaries: n.summaries(now)}
	m.Members = append(m.Members, memberInfo{Identity: n.self, Status: Alive})
	for _, p := range n.peers {
		if n.leaving {
			break
		}
		age := now.Sub(laterOf(p.LastHeard, p.evidence)).Milliseconds()
		if p.Status == Indirect {
			age = min(age, SuspectAfter.Milliseconds()/2)
		}
		m.Members = append(m.Members, memberInfo{Identity: p.Identity, Status: p.Status, AgeMS: age})
	}
	return m
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleSync answers an anti-entropy exchange.
func (n *Node) HandleSync(now time.Time, request []byte) ([]byte, error) {
	var m syncMessage
	if err := unpack("sync request", request, &m); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.Brief && m.From.Domain == n.self.Domain {
		if m.Hash == n.hash() {
			return pack(&syncMessage{From: n.self, Same: true, Summaries: n.summaries(now)}), nil
		}
		return pack(n.syncMessage(now)), nil
	}
	n.applySync(&m, now)
	reply := n.syncMessage(now)
	if m.From.Domain != n.self.Domain {
		reply.Members = nil
		reply.Digests = nil
		reply.Order = nil
		return pack(reply), nil
	}
	reply.Sets = n.registry.Missing(m.Digests, now)
	return pack(reply), nil
}

// ApplySync takes the answer of an anti-entropy exchange. After a brief one it
// reports whether a full exchange has to follow.
func (n *Node) ApplySync(now time.Time, reply []byte) (again bool, err error) {
	var m syncMessage
	if err := unpack("sync reply", reply, &m); err != nil {
		return false, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applySync(&m, now)
	return !m.Same && m.From.Domain == n.self.Domain && m.Hash != n.hash(), nil
}

func (n *Node) applySync(m *syncMessage, now time.Time) {
	for i := range m.Summaries {
		n.takeSummary(&m.Summaries[i], now)
	}
	if m.From.Domain != n.self.Domain {
		n.meetDomain(&m.From, now)
		return
	}
	for i := range m.Members {
		n.takeMember(&m.Members[i], now)
	}
	if p := n.peers[m.From.Instance]; p != nil && len(m.Order) > 0 {
		p.view = m.Order
		p.viewHash = hashOrder(m.Order)
		p.HearsMe = p.hears(n.self.Instance)
	}
	for i := range m.Sets {
		n.registry.Apply(&m.Sets[i], now)
	}
	for _, d := range m.Digests {
		if n.peers[d.Host] != nil {
			n.registry.NoteVersion(d.Host, d.Version, now)
		}
	}
}

// takeMember takes what another daemon knows of a third one. A report of the
// incarnation that is dead here does not bring it back; it has to refute.
func (n *Node) takeMember(info *memberInfo, now time.Time) {
	id := &info.Identity
	if id.Name == n.self.Name {
		if id.Instance != n.self.Instance || info.Status == Dead {
			n.refute(id.Incarnation)
		}
		return
	}
	if id.Domain != n.self.Domain {
		return
	}
	fresh := (info.Status == Alive || info.Status == Indirect) && info.AgeMS < SuspectAfter.Milliseconds()
	p := n.peers[id.Instance]
	if p == nil {
		if fresh {
			n.learn(id, now)
		}
		return
	}
	if id.Incarnation < p.Incarnation || !fresh {
		return
	}
	if p.present() {
		p.Incarnation = id.Incarnation
		p.evidence = laterOf(p.evidence, now.Add(-time.Duration(info.AgeMS)*time.Millisecond))
		return
	}
	if id.Incarnation > p.Incarnation {
		p.Incarnation = id.Incarnation
		p.evidence = now
		n.setStatus(p, Indirect, now)
		n.urgent = true
	}
}

// HandlePull answers a request for the records of one host.
func (n *Node) HandlePull(now time.Time, request []byte) ([]byte, error) {
	var r pullRequest
	if err := unpack("pull request", request, &r); err != nil {
		return nil, err
	}
	return pack(n.registry.Pulled(r.Host, r.Since, now)), nil
}

// ApplyPull takes the answer to a pull.
func (n *Node) ApplyPull(now time.Time, reply []byte) error {
	var sets []RecordSet
	if err := unpack("pull reply", reply, &sets); err != nil {
		return err
	}
	for i := range sets {
		n.registry.Apply(&sets[i], now)
	}
	return nil
}

// pull asks for missing records: the host itself, or any peer if it is not heard here.
func (n *Node) pull(now time.Time) {
	for _, p := range n.peers {
		if !p.present() {
			continue
		}
		since, behind := n.registry.Behind(p.Instance, now)
		if !behind {
			continue
		}
		n.stats.Pulls++
		address := p.Address
		if p.Status != Alive {
			if other := n.randomPeer(); other != nil {
				address = other.Address
			}
		}
		n.out.Pulls = append(n.out.Pulls, Pull{Address: address, Request: pack(&pullRequest{Host: p.Instance, Since: since})})
	}
}

// syncSoon brings the next anti-entropy exchange forward, at a random moment
// so that a whole domain does not do it at once.
func (n *Node) syncSoon(now time.Time) {
	soon := now.Add(time.Duration(n.random.Int64N(int64(RoundInterval))))
	if soon.Before(n.nextSync) {
		n.nextSync = soon
	}
}

// antiEntropy picks the partner of the next exchange: a random live peer, or
// now and then a seed, which finds daemons that are not known any more.
func (n *Node) antiEntropy(now time.Time) {
	if now.Before(n.nextSync) || n.leaving {
		return
	}
	n.syncs++
	n.nextSync = now.Add(syncInterval)
	p := n.randomPeer()
	// Only relays ask seeds while they have peers, so that a seed's traffic
	// grows with the domains and not with the daemons.
	if p != nil && (n.syncs%seedEvery != 0 || n.rank() < 0) {
		n.out.Syncs = append(n.out.Syncs, p.Address)
		return
	}
	if p == nil {
		// Alone: try everything at once and again soon.
		n.nextSync = now.Add(RoundInterval)
		n.out.Syncs = append(n.out.Syncs, n.joinAddresses()...)
		return
	}
	if addresses := n.joinAddresses(); len(addresses) > 0 {
		n.out.Syncs = append(n.out.Syncs, addresses[n.random.IntN(len(addresses))])
	}
}

// joinAddresses are the seeds and the known relays of this domain.
func (n *Node) joinAddresses() []string {
	seen := map[string]bool{n.self.Address: true}
	var list []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			list = append(list, address)
		}
	}
	for _, seed := range n.options.Seeds {
		add(seed)
	}
	if d := n.domains[n.self.Domain]; d != nil {
		for _, relay := range d.summary.Relays {
			add(relay.Address)
		}
	}
	return list
}

func (n *Node) randomPeer() *peer {
	var heard []*peer
	for _, instance := range n.order {
		if p := n.peers[instance]; p != nil && p.Status == Alive {
			heard = append(heard, p)
		}
	}
	if len(heard) == 0 {
		return nil
	}
	return heard[n.random.IntN(len(heard))]
}
