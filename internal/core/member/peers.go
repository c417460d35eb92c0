package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// updateStatuses derives the status of each peer from the datagrams that this
// daemon and others received from it.
func (n *Node) updateStatuses(now time.Time) {
	n.forgetReplaced(now)
	for _, p := range n.peers {
		switch {
		case !p.live():
			if now.Sub(p.absentSince) > forgetAfter {
				n.forget(p)
			}
			continue
		case now.Sub(p.LastHeard) < SuspectAfter:
			n.setStatus(p, Alive, now)
		case n.heardByPeer(p, now) || now.Sub(p.lastVouched) < SuspectAfter:
			n.setStatus(p, Indirect, now)
		default:
			n.setStatus(p, Dead, now)
			n.urgent = true
		}
		if p.live() {
			n.registry.TouchHost(p.Instance, now)
		}
	}
}

// forgetReplaced deletes the host state of earlier runs of daemons once forgetAfter
// has passed. Until then the leases of their endpoints count from the last time
// the earlier run was known to be alive.
func (n *Node) forgetReplaced(now time.Time) {
	for instance, at := range n.replacedAt {
		if now.Sub(at) > forgetAfter {
			delete(n.replacedAt, instance)
			n.registry.ForgetHost(instance)
		}
	}
}

// heardByPeer reports whether another peer, from which this daemon receives
// datagrams, reports that it receives datagrams from p.
func (n *Node) heardByPeer(p *peer, now time.Time) bool {
	for _, q := range n.peers {
		if q != p && q.live() && now.Sub(q.LastHeard) < SuspectAfter && q.receivesFrom(p.Instance) {
			return true
		}
	}
	return false
}

// receivesFrom reports whether the peer receives datagrams from an instance,
// according to the peer's newest heard bitmap.
func (p *peer) receivesFrom(instance uint64) bool {
	if p.bitmapOrderHash != p.heardOrderHash {
		return false
	}
	i, found := slices.BinarySearch(p.bitmapOrder, instance)
	return found && i/8 < len(p.heardBitmap) && p.heardBitmap[i/8]&(1<<(i%8)) != 0
}

func (n *Node) setStatus(p *peer, status Status, now time.Time) {
	if p.Status == status {
		return
	}
	p.Status = status
	if !p.live() {
		p.absentSince = now
		p.nextProbe = now.Add(deadProbeInterval)
		p.payloads = nil
	}
	n.out.Events = append(n.out.Events, Event{Peer: p.Identity, Status: status})
}

func (n *Node) forget(p *peer) {
	delete(n.peers, p.Instance)
	if n.byName[p.Name] == p {
		delete(n.byName, p.Name)
	}
	n.registry.ForgetHost(p.Instance)
	n.rebuildOrder()
}

// addPeer adds a daemon of this domain, or replaces an earlier run under the same
// name. It returns nil if a run with the same or a higher incarnation is known.
func (n *Node) addPeer(id *Identity, now time.Time) *peer {
	if id.Name == n.self.Name {
		n.refute(id.Incarnation)
		return nil
	}
	if old := n.byName[id.Name]; old != nil {
		if old.Incarnation >= id.Incarnation {
			return nil
		}
		if old.live() {
			n.setStatus(old, Dead, now)
		}
		delete(n.peers, old.Instance)
		n.replacedAt[old.Instance] = now
	}
	p := &peer{Peer: Peer{Identity: *id, LastHeard: now}}
	n.peers[id.Instance] = p
	n.byName[id.Name] = p
	n.setStatus(p, Alive, now)
	n.rebuildOrder()
	n.urgent = true
	return p
}

// refute raises this daemon's incarnation above one that others consider dead or
// that belongs to another run under this daemon's name.
func (n *Node) refute(incarnation uint32) {
	if n.leaving || incarnation < n.self.Incarnation {
		return
	}
	n.self.Incarnation = incarnation + 1
	n.stats.Refutations++
	n.urgent = true
}

// rebuildOrder rebuilds the order of the daemons in the heard bitmap.
func (n *Node) rebuildOrder() {
	n.order = append(n.order[:0], n.self.Instance)
	for instance := range n.peers {
		n.order = append(n.order, instance)
	}
	slices.Sort(n.order)
	n.orderHash = hashOrder(n.order)
}

func hashOrder(order []uint64) uint32 {
	b := make([]byte, 0, 8*len(order))
	for _, instance := range order {
		b = binary.LittleEndian.AppendUint64(b, instance)
	}
	return uint32(xxhash.Sum64(b))
}

// heardBitmap returns a bitmap with one bit for each known daemon, in the order
// of instances. A bit is set for this daemon and for each peer that is alive.
func (n *Node) heardBitmap() []byte {
	bits := make([]byte, min(maxBitmapBytes, (len(n.order)+7)/8))
	for i, instance := range n.order {
		if i/8 >= len(bits) {
			break
		}
		if p := n.peers[instance]; p == nil || p.Status == Alive {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// RelaysPerDomain is the number of relays of a failure domain. With two of them,
// the loss of one does not disconnect the domain.
const RelaysPerDomain = 2

// relays returns the live daemons of this domain with the lowest names.
func (n *Node) relays() []Relay {
	list := make([]Relay, 0, len(n.peers)+1)
	if !n.leaving {
		list = append(list, Relay{Name: n.self.Name, Instance: n.self.Instance, Address: n.self.Address})
	}
	for _, p := range n.peers {
		if p.live() {
			list = append(list, Relay{Name: p.Name, Instance: p.Instance, Address: p.Address})
		}
	}
	slices.SortFunc(list, func(a, b Relay) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list[:min(len(list), RelaysPerDomain)]
}

// Relays returns the relays of this failure domain.
func (n *Node) Relays() []Relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays()
}

// relayIndex returns the position of this daemon among the relays, or -1 if it is not one.
func (n *Node) relayIndex() int {
	return slices.IndexFunc(n.relays(), func(r Relay) bool { return r.Instance == n.self.Instance })
}
