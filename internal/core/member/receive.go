package member

import (
	"encoding/binary"
	"time"
)

func packNotice(notice Notice) []byte {
	b := binary.LittleEndian.AppendUint64(nil, notice.Instance)
	return binary.LittleEndian.AppendUint32(b, notice.Incarnation)
}

// Receive processes a datagram that came from an address. The error is a
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
	n.answerNotices(now, from, d)
	for i := range d.Summaries {
		n.mergeSummary(&d.Summaries[i], now)
	}
	if d.Identity != nil && d.Identity.Domain != n.self.Domain {
		return
	}
	p := n.resolveSender(now, from, d)
	if p == nil {
		return
	}
	if d.Leaving {
		n.setStatus(p, Left, now)
		return
	}
	n.applyState(p, d, now)
	n.applyEndpoints(p, d, now)
}

// answerNotices answers a notice about this instance at once with the new
// incarnation, because the sender sends no regular datagrams to a dead peer and
// would otherwise not learn of it.
func (n *Node) answerNotices(now time.Time, from string, d *datagram) {
	for _, notice := range d.Notices {
		if notice.Instance != n.self.Instance || n.leaving {
			continue
		}
		n.refute(notice.Incarnation)
		b := &builder{header: n.header(), newSeq: n.nextSeq}
		b.add(sectionIdentity, pack(&n.self))
		n.emit(from, b)
	}
}

// resolveSender returns the peer that sent a datagram, and adds it if it is new.
// It returns nil for a datagram of a dead, departed or replaced incarnation.
func (n *Node) resolveSender(now time.Time, from string, d *datagram) *peer {
	p := n.peers[d.Instance]
	if p == nil {
		if d.Identity == nil {
			n.stats.Stale++
			return nil
		}
		id := *d.Identity
		id.Instance = d.Instance
		id.Incarnation = d.Incarnation
		if p = n.addPeer(&id, now); p == nil {
			n.stats.Stale++
			if old := n.byName[id.Name]; old != nil && !d.Leaving {
				n.sendNotice(from, Notice{Instance: d.Instance, Incarnation: old.Incarnation})
			}
			return nil
		}
		n.advanceSync(now)
		return p
	}
	if d.Incarnation < p.Incarnation {
		n.stats.Stale++
		return nil
	}
	if !p.live() && d.Incarnation == p.Incarnation {
		n.stats.Stale++
		if p.Status == Dead && !d.Leaving {
			n.sendNotice(from, Notice{Instance: p.Instance, Incarnation: p.Incarnation})
		}
		return nil
	}
	if d.Incarnation > p.Incarnation {
		n.raiseIncarnation(p, d.Incarnation, now)
	}
	return p
}

// raiseIncarnation applies a higher incarnation of the same instance. A peer that
// was dead or had left becomes alive again.
func (n *Node) raiseIncarnation(p *peer, incarnation uint32, now time.Time) {
	p.Incarnation = incarnation
	if p.live() {
		return
	}
	p.LastHeard = now
	n.setStatus(p, Alive, now)
	n.advanceSync(now)
	n.urgent = true
}

func (n *Node) sendNotice(address string, notice Notice) {
	b := &builder{header: n.header(), newSeq: n.nextSeq}
	b.add(sectionNotice, packNotice(notice))
	n.emit(address, b)
}

// applyState applies the parts of a datagram that must not come from a datagram
// older than one already received from the peer.
func (n *Node) applyState(p *peer, d *datagram, now time.Time) {
	if p.lastSeq != 0 && int32(d.Seq-p.lastSeq) <= 0 {
		n.stats.Stale++
		return
	}
	p.lastSeq = d.Seq
	p.LastHeard = now
	n.setStatus(p, Alive, now)
	n.registry.TouchHost(p.Instance, now)
	p.Generation = max(p.Generation, d.Generation)
	n.sourceContact.merge(d.SourceAge, 0, now)
	n.applyBitmap(p, d, now)
	for i := range d.Payloads {
		p.storePayload(&d.Payloads[i], now)
	}
}

// applyBitmap stores the bitmap of the daemons from which the peer receives
// datagrams. A bitmap with an unknown order is kept until the order is exchanged.
func (n *Node) applyBitmap(p *peer, d *datagram, now time.Time) {
	p.heardBitmap = d.HeardBitmap
	p.heardOrderHash = d.OrderHash
	if d.OrderHash == n.orderHash && p.bitmapOrderHash != d.OrderHash {
		p.bitmapOrderHash = d.OrderHash
		p.bitmapOrder = append([]uint64(nil), n.order...)
	}
	if p.bitmapOrderHash == d.OrderHash {
		p.mismatchSince = time.Time{}
		p.ReceivesFromSelf = p.receivesFrom(n.self.Instance)
		return
	}
	p.ReceivesFromSelf = false
	if p.mismatchSince.IsZero() {
		p.mismatchSince = now
	}
	if now.Sub(p.mismatchSince) >= orderMismatchGrace {
		p.mismatchSince = now
		n.out.Syncs = append(n.out.Syncs, p.Address)
	}
}

// applyEndpoints merges endpoint records. The records have versions of their
// own, so records of a datagram that arrives out of order are merged as well.
func (n *Node) applyEndpoints(p *peer, d *datagram, now time.Time) {
	for _, changes := range d.Changes {
		changes.Host = p.Instance
		changes.Full = false
		n.registry.Apply(changes, now)
	}
	n.registry.NoteVersion(p.Instance, d.Version, now)
	n.registry.ApplyDeltas(p.Instance, d.Version, d.Deltas, now)
}
