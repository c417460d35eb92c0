package state

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelead/boragelead/internal/gateway/link"
)

const (
	// maxPeers is the number of peers that an entry is told, and nearPeers how many of them
	// may be in its own failure domain: all entries of a domain may lose their links at once.
	maxPeers  = 8
	nearPeers = 4
)

// peerList holds the peers that were chosen for an entry, and the version of the offers
// from which they were chosen.
type peerList struct {
	list    []link.Peer
	id      uint64
	version uint64
}

func sameOffer(a, b *link.Peer) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Name == b.Name && a.Address == b.Address && a.Key == b.Key && a.Domain == b.Domain && slices.Equal(a.CutOff, b.CutOff)
}

// peersOf returns the peers of an entry: a few, so that what an entry is told does not grow
// with the deployment, and other ones for each entry, so that no peer gets the requests of
// all. Entries that reach all services come first.
func (e *entries) peersOf(name string) peerList {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.peerLists[name]
	if known != nil && known.version == e.offersVersion {
		return *known
	}
	domain := ""
	if report := e.byEntry[name]; report != nil && report.offer != nil {
		domain = report.offer.Domain
	}
	list := e.choosePeers(name, domain)
	chosen := &peerList{list: list, id: peersID(list), version: e.offersVersion}
	e.peerLists[name] = chosen
	return *chosen
}

// candidate is an offer with its place in the order of choice.
type candidate struct {
	offer *link.Peer
	// cutOff is the number of services that the peer does not reach, and weight its rendezvous
	// hash with the entry.
	cutOff int
	weight uint64
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.cutOff, other.cutOff), cmp.Compare(c.weight, other.weight))
}

// shortlist holds the first candidates of those added, in their order.
type shortlist struct {
	list []candidate
	size int
}

func (s *shortlist) add(c candidate) {
	at, _ := slices.BinarySearchFunc(s.list, c, candidate.compare)
	if at == s.size {
		return
	}
	s.list = slices.Insert(s.list, at, c)
	s.list = s.list[:min(len(s.list), s.size)]
}

// choosePeers chooses the peers of an entry by rendezvous hashing, so that few lists change
// with one offer. The caller must hold mu.
func (e *entries) choosePeers(name, domain string) []link.Peer {
	near := shortlist{size: nearPeers}
	all := shortlist{size: maxPeers}
	hash := xxhash.Sum64String(name)
	for other, report := range e.byEntry {
		if other == name || report.offer == nil {
			continue
		}
		c := candidate{offer: report.offer, cutOff: len(report.offer.CutOff), weight: mix(hash, report.nameHash)}
		if report.offer.Domain == domain {
			near.add(c)
		} else {
			all.add(c)
		}
	}
	for _, c := range near.list {
		all.add(c)
	}
	list := make([]link.Peer, 0, len(all.list))
	for _, c := range all.list {
		list = append(list, *c.offer)
	}
	return list
}

// mix combines the hashes of two names so that each bit depends on all bits of both.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// peersID identifies a list of peers; it is not 0.
func peersID(list []link.Peer) uint64 {
	h := fnv.New64a()
	for i := range list {
		for _, text := range append([]string{list[i].Name, list[i].Address, list[i].Key, list[i].Domain}, list[i].CutOff...) {
			_, _ = h.Write([]byte(text + "\x00"))
		}
		_, _ = h.Write([]byte{1})
	}
	return h.Sum64() | 1
}
