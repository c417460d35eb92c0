package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// evaluate derives each peer's status from what was heard here and elsewhere.
func (n *Node) evaluate(now time.Time) {
	n.forgetReplaced(now)
	for _, p := range n.peers {
		switch {
		case !p.present():
			if now.Sub(p.diedAt) > forgetAfter {
				n.forget(p)
			}
			continue
		case now.Sub(p.LastHeard) < SuspectAfter:
			n.setStatus(p, Alive, now)
		case n.vouched(p, now) || now.Sub(p.evidence) < SuspectAfter:
			n.setStatus(p, Indirect, now)
		default:
			n.setStatus(p, Dead, now)
			n.urgent = true
		}
		if p.present() {
			n.registry.TouchHost(p.Instance, now)
		}
	}
}

// forgetReplaced drops the host state of earlier lives of daemons. Until then
// their endpoints' leases count from the last sign of life.
func (n *Node) forgetReplaced(now time.Time) {
	for instance, at := range n.replaced {
		if now.Sub(at) > forgetAfter {
			delete(n.replaced, instance)
			n.registry.ForgetHost(instance)
		}
	}
}

// vouched reports whether a peer that is heard here says that it hears p.
func (n *Node) vouched(p *peer, now time.Time) bool {
	for _, q := range n.peers {
		if q != p && q.present() && now.Sub(q.LastHeard) < SuspectAfter && q.hears(p.Instance) {
			return true
		}
	}
	return false
}

// hears reports whether the peer's newest bitmap lists an instance as heard.
func (p *peer) hears(instance uint64) bool {
	if p.viewHash != p.heardHash {
		return false
	}
	i, found := slices.BinarySearch(p.view, instance)
	return found && i/8 < len(p.heard) && p.heard[i/8]&(1<<(i%8)) != 0
}

func (n *Node) setStatus(p *peer, status Status, now time.Time) {
	if p.Status == status {
		return
	}
	p.Status = status
	if !p.present() {
		p.diedAt = now
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
	n.reorder()
}

// learn adds a daemon of this domain, or replaces an older life of its name.
// It returns nil when a life with the same or a higher incarnation is known.
func (n *Node) learn(id *Identity, now time.Time) *peer {
	if id.Name == n.self.Name {
		n.refute(id.Incarnation)
		return nil
	}
	if old := n.byName[id.Name]; old != nil {
		if old.Incarnation >= id.Incarnation {
			return nil
		}
		if old.present() {
			n.setStatus(old, Dead, now)
		}
		delete(n.peers, old.Instance)
		n.replaced[old.Instance] = now
	}
	p := &peer{Peer: Peer{Identity: *id, LastHeard: now}}
	n.peers[id.Instance] = p
	n.byName[id.Name] = p
	n.setStatus(p, Alive, now)
	n.reorder()
	n.urgent = true
	return p
}

// refute takes an incarnation above one that is dead elsewhere or belongs to
// another life of this daemon's name.
func (n *Node) refute(incarnation uint32) {
	if n.leaving || incarnation < n.self.Incarnation {
		return
	}
	n.self.Incarnation = incarnation + 1
	n.stats.Refutations++
	n.urgent = true
}

// reorder rebuilds the order of the bitmap.
func (n *Node) reorder() {
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

// heardBitmap has one bit for each known daemon in the order of instances.
func (n *Node) heardBitmap() []byte {
	bits := make([]byte, min(maxHeard, (len(n.order)+7)/8))
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

// Relays is how many daemons speak for a failure domain, so that the loss of
// one does not cut the domain off.
const Relays = 2

// relays returns the lowest names among the live daemons of this domain.
func (n *Node) relays() []Relay {
	list := make([]Relay, 0, len(n.peers)+1)
	if !n.leaving {
		list = append(list, Relay{Name: n.self.Name, Instance: n.self.Instance, Address: n.self.Address})
	}
	for _, p := range n.peers {
		if p.present() {
			list = append(list, Relay{Name: p.Name, Instance: p.Instance, Address: p.Address})
		}
	}
	slices.SortFunc(list, func(a, b Relay) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list[:min(len(list), Relays)]
}

// Relays returns the daemons that speak for this failure domain.
func (n *Node) Relays() []Relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays()
}

// rank returns the position of this daemon among the relays, or -1.
func (n *Node) rank() int {
	return slices.IndexFunc(n.relays(), func(r Relay) bool { return r.Instance == n.self.Instance })
}
