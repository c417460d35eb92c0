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

// memberInfo is what the sender knows of a daemon.
type memberInfo struct {
	Identity Identity
	Status   Status
	// AgeMS is the time since the daemon was last known to be alive.
	AgeMS int64
}

// syncMessage is both the request and the answer of an anti-entropy exchange.
type syncMessage struct {
	From Identity
	// Hash is the hash of the sender's state of its domain.
	Hash uint64
	// HashOnly is set in a request that only asks whether the hashes are equal.
	HashOnly bool
	// HashesEqual is set in the answer if they are.
	HashesEqual bool
	Order       []uint64
	Members     []memberInfo
	Digests     []HostDigest
	Sets        []RecordSet
	Summaries   []Summary
}

type pullRequest struct {
	Host  uint64
	Since uint64
}

type fetchRequest struct {
	Model   string
	Service string
}

// BuildSync returns the request of an anti-entropy exchange. With hashOnly the
// exchange only compares hashes, which are equal in nearly all cases.
func (n *Node) BuildSync(now time.Time, hashOnly bool) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stats.Syncs++
	if hashOnly {
		return pack(&syncMessage{From: n.self, Hash: n.stateHash(), HashOnly: true})
	}
	return pack(n.syncMessage(now))
}

// stateHash returns a hash over the known daemons, each with its incarnation and
// whether it is live, and over the digests of all hosts.
func (n *Node) stateHash() uint64 {
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
		live := uint64(0)
		if p.live() {
			live = 1
		}
		add(p.Instance, uint64(p.Incarnation), live)
	}
	for _, d := range n.registry.Digests() {
		// Only the host itself lists a host that has no endpoints.
		if d.Sum == 0 {
			continue
		}
		add(d.Host, d.Version, uint64(d.Sum), 2)
	}
	return sum
}

func (n *Node) syncMessage(now time.Time) *syncMessage {
	m := &syncMessage{From: n.self, Hash: n.stateHash(), Order: n.order, Digests: n.registry.Digests(), Summaries: n.summaries(now)}
	m.Members = append(m.Members, memberInfo{Identity: n.self, Status: Alive})
	for _, p := range n.peers {
		if n.leaving {
			break
		}
		age := now.Sub(laterOf(p.LastHeard, p.lastVouched)).Milliseconds()
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
	if m.HashOnly && m.From.Domain == n.self.Domain {
		if m.Hash == n.stateHash() {
			return pack(&syncMessage{From: n.self, HashesEqual: true, Summaries: n.summaries(now)}), nil
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

// ApplySync applies the answer of an anti-entropy exchange. It reports whether a
// full exchange has to follow because the hashes still differ.
func (n *Node) ApplySync(now time.Time, reply []byte) (fullNeeded bool, err error) {
	var m syncMessage
	if err := unpack("sync reply", reply, &m); err != nil {
		return false, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applySync(&m, now)
	return !m.HashesEqual && m.From.Domain == n.self.Domain && m.Hash != n.stateHash(), nil
}

func (n *Node) applySync(m *syncMessage, now time.Time) {
	for i := range m.Summaries {
		n.mergeSummary(&m.Summaries[i], now)
	}
	if m.From.Domain != n.self.Domain {
		n.addProvisionalRelay(&m.From, now)
		return
	}
	for i := range m.Members {
		n.mergeMember(&m.Members[i], now)
	}
	if p := n.peers[m.From.Instance]; p != nil && len(m.Order) > 0 {
		p.bitmapOrder = m.Order
		p.bitmapOrderHash = hashOrder(m.Order)
		p.ReceivesFromSelf = p.receivesFrom(n.self.Instance)
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

// mergeMember merges what another daemon knows of a third one. If that daemon's
// incarnation is dead here, the report does not make it live again. The daemon has
// to refute its death with a higher incarnation.
func (n *Node) mergeMember(info *memberInfo, now time.Time) {
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
	recentlyLive := (info.Status == Alive || info.Status == Indirect) && info.AgeMS < SuspectAfter.Milliseconds()
	p := n.peers[id.Instance]
	if p == nil {
		if recentlyLive {
			n.addPeer(id, now)
		}
		return
	}
	if id.Incarnation < p.Incarnation || !recentlyLive {
		return
	}
	if p.live() {
		p.Incarnation = id.Incarnation
		p.lastVouched = laterOf(p.lastVouched, now.Add(-time.Duration(info.AgeMS)*time.Millisecond))
		return
	}
	if id.Incarnation > p.Incarnation {
		p.Incarnation = id.Incarnation
		p.lastVouched = now
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
	return pack(n.registry.AnswerPull(r.Host, r.Since, now)), nil
}

// ApplyPull applies the answer to a pull.
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

// requestPulls requests missing records from the host itself, or from a random
// peer if this daemon receives no datagrams from the host.
func (n *Node) requestPulls(now time.Time) {
	for _, p := range n.peers {
		if !p.live() {
			continue
		}
		since, needed := n.registry.NeedsPull(p.Instance, now)
		if !needed {
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

// advanceSync moves the next anti-entropy exchange forward to a random time within
// RoundInterval, so that not all daemons of a domain exchange at once.
func (n *Node) advanceSync(now time.Time) {
	next := now.Add(time.Duration(n.random.Int64N(int64(RoundInterval))))
	if next.Before(n.nextSync) {
		n.nextSync = next
	}
}

// antiEntropy selects the partner of the next exchange. It is a random live peer,
// or every seedEvery exchanges a seed, so that daemons that are no longer known are
// found again.
func (n *Node) antiEntropy(now time.Time) {
	if now.Before(n.nextSync) || n.leaving {
		return
	}
	n.syncCount++
	n.nextSync = now.Add(syncInterval)
	p := n.randomPeer()
	// A daemon that has peers contacts seeds only if it is a relay, so that a
	// seed's traffic grows with the number of domains and not of daemons.
	if p != nil && (n.syncCount%seedEvery != 0 || n.relayIndex() < 0) {
		n.out.Syncs = append(n.out.Syncs, p.Address)
		return
	}
	if p == nil {
		// Without any live peer, contact all join addresses at once and retry after
		// RoundInterval.
		n.nextSync = now.Add(RoundInterval)
		n.out.Syncs = append(n.out.Syncs, n.joinAddresses()...)
		return
	}
	if addresses := n.joinAddresses(); len(addresses) > 0 {
		n.out.Syncs = append(n.out.Syncs, addresses[n.random.IntN(len(addresses))])
	}
}

// joinAddresses returns the addresses of the seeds and of the known relays of
// this domain.
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
	var alive []*peer
	for _, instance := range n.order {
		if p := n.peers[instance]; p != nil && p.Status == Alive {
			alive = append(alive, p)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	return alive[n.random.IntN(len(alive))]
}
