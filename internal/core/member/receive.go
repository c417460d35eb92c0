package member

import (
	"encoding/binary"
	"time"
)

func packNotice(notice Notice) []byte {
	b := binary.LittleEndian.AppendUint64(nil, notice.Instance)
	return binary.LittleEndian.AppendUint32(b, notice.Incarnation)
}

// Receive takes a datagram that came from an address. The error is a
// *DecodeError or a *VersionError.
func (n *Node) Receive(now time.Time, from string, data []byte) (Output, error) {
	d, err := decode(data)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.stats.Invalid++
		return Output{}, err
	}
	n.stats.Received++
	n.receive(now, from, d)
	return n.takeOutput(), nil
}

func (n *Node) receive(now time.Time, from string, d *datagram) {
	if d.Instance == n.self.Instance {
		return
	}
	n.takeNotices(now, from, d)
	for i := range d.Summaries {
		n.takeSummary(&d.Summaries[i], now)
	}
	if d.Identity != nil && d.Identity.Domain != n.self.Domain {
		return
	}
	p := n.sender(now, from, d)
	if p == nil {
		return
	}
	if d.Leaving {
		n.setStatus(p, Left, now)
		return
	}
	n.takeState(p, d, now)
	n.takeEndpoints(p, d, now)
}

// takeNotices answers a notice about this instance at once with the new
// incarnation, because the sender does not send to a dead peer.
func (n *Node) takeNotices(now time.Time, from string, d *datagram) {
	for _, notice := range d.Notices {
		if notice.Instance != n.self.Instance || n.leaving {
			continue
		}
		n.refute(notice.Incarnation)
		b := &builder{head: n.head(), next: n.nextSeq}
		b.add(sectionIdentity, pack(&n.self))
		n.emit(from, b)
	}
}

// sender finds the peer behind a datagram. It returns nil for a datagram of a
// dead, departed or replaced incarnation.
func (n *Node) sender(now time.Time, from string, d *datagram) *peer {
	p := n.peers[d.Instance]
	if p == nil {
		if d.Identity == nil {
			n.stats.Stale++
			return nil
		}
		id := *d.Identity
		id.Instance = d.Instance
		id.Incarnation = d.Incarnation
		if p = n.learn(&id, now); p == nil {
			n.stats.Stale++
			if old := n.byName[id.Name]; old != nil && !d.Leaving {
				n.notify(from, Notice{Instance: d.Instance, Incarnation: old.Incarnation})
			}
			return nil
		}
		n.syncSoon(now)
		return p
	}
	if d.Incarnation < p.Incarnation {
		n.stats.Stale++
		return nil
	}
	if !p.present() && d.Incarnation == p.Incarnation {
		n.stats.Stale++
		if p.Status == Dead && !d.Leaving {
			n.notify(from, Notice{Instance: p.Instance, Incarnation: p.Incarnation})
		}
		return nil
	}
	if d.Incarnation > p.Incarnation {
		n.renew(p, d.Incarnation, now)
	}
	return p
}

// renew takes a higher incarnation of the same instance.
func (n *Node) renew(p *peer, incarnation uint32, now time.Time) {
	p.Incarnation = incarnation
	if p.present() {
		return
	}
	p.LastHeard = now
	n.setStatus(p, Alive, now)
	n.syncSoon(now)
	n.urgent = true
}

func (n *Node) notify(address string, notice Notice) {
	b := &builder{head: n.head(), next: n.nextSeq}
	b.add(sectionNotice, packNotice(notice))
	n.emit(address, b)
}

// takeState takes what only the newest datagram of a peer may set.
func (n *Node) takeState(p *peer, d *datagram, now time.Time) {
	if p.lastSeq != 0 && int32(d.Seq-p.lastSeq) <= 0 {
		n.stats.Stale++
		return
	}
	p.lastSeq = d.Seq
	p.LastHeard = now
	n.setStatus(p, Alive, now)
	n.registry.TouchHost(p.Instance, now)
	p.Generation = max(p.Generation, d.Generation)
	n.contact.take(d.SourceAge, 0, now)
	n.takeBitmap(p, d, now)
	for i := range d.Payloads {
		p.storePayload(&d.Payloads[i], now)
	}
}

// takeBitmap stores whom the peer hears. A bitmap of an unknown order is kept
// until the order was exchanged.
func (n *Node) takeBitmap(p *peer, d *datagram, now time.Time) {
	p.heard = d.Heard
	p.heardHash = d.View
	if d.View == n.orderHash && p.viewHash != d.View {
		p.viewHash = d.View
		p.view = append([]uint64(nil), n.order...)
	}
	if p.viewHash == d.View {
		p.mismatchFrom = time.Time{}
		p.HearsMe = p.hears(n.self.Instance)
		return
	}
	p.HearsMe = false
	if p.mismatchFrom.IsZero() {
		p.mismatchFrom = now
	}
	if now.Sub(p.mismatchFrom) >= viewGrace {
		p.mismatchFrom = now
		n.out.Syncs = append(n.out.Syncs, p.Address)
	}
}

// takeEndpoints merges endpoint records. They carry their own order, so a
// reordered datagram counts as well.
func (n *Node) takeEndpoints(p *peer, d *datagram, now time.Time) {
	for _, changes := range d.Changes {
		changes.Host = p.Instance
		changes.Full = false
		n.registry.Apply(changes, now)
	}
	n.registry.NoteVersion(p.Instance, d.Version, now)
	n.registry.ApplyDeltas(p.Instance, d.Version, d.Deltas, now)
}
