// Package peers chooses the entry to which another one forwards a request. It does no I/O.
package peers

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// refusalTTL is how long a peer that refused the requests for a service gets no others
	// for it. Replicas tell within that time whether it is cut off as well.
	refusalTTL = 500 * time.Millisecond
	// peerSlots is the number of requests at which the load of a peer weighs as much as that
	// of an endpoint whose slots are all in use.
	peerSlots = 64
	// boardService is the name under which peers are on their board.
	boardService = "entries"
)

// Directory holds the peers that replicas name and what this entry observed of them. It is
// safe for concurrent use.
type Directory struct {
	domain string
	board  *pick.Board

	mu sync.Mutex
	// lists holds the peers by the replica that named them, and peers all of them by name.
	lists map[string][]link.Peer
	peers map[string]link.Peer
	// refusals holds when a peer last refused a service.
	refusals map[refusal]time.Time
}

type refusal struct{ peer, service string }

// Chosen is a chosen peer. The caller must call Choice.End when the attempt has ended.
type Chosen struct {
	Choice *pick.Choice
	// Key is the secret that a forwarded request must carry.
	Key string
}

// NoPeerError reports that no other entry can take the requests for a service.
type NoPeerError struct {
	Service string
	// Known is the number of known peers, CutOff how many of them are cut off from the
	// service themselves, and Refusing how many refused a request for it just now.
	Known, CutOff, Refusing int
}

// Error implements error.
func (e *NoPeerError) Error() string {
	return fmt.Sprintf("endpoints of service %s not reached, and no other entry takes the request: %d known, %d cut off, %d refuse", e.Service, e.Known, e.CutOff, e.Refusing)
}

// New returns a directory without peers for an entry in a failure domain.
func New(domain string, random func() float64) *Directory {
	return &Directory{
		domain: domain, board: pick.NewBoard(random), lists: make(map[string][]link.Peer),
		peers: make(map[string]link.Peer), refusals: make(map[refusal]time.Time),
	}
}

// Update replaces the peers that a replica named, and returns the addresses that are no
// longer used.
func (d *Directory) Update(replica string, list []link.Peer) (unused []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lists[replica] = list
	return d.merge()
}

// Forget drops the peers that only a replica named that is no longer polled. The last list
// is kept: it is all that is known.
func (d *Directory) Forget(replica string) (unused []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.lists) < 2 {
		return nil
	}
	delete(d.lists, replica)
	return d.merge()
}

// merge updates the board from all lists. The caller must hold mu.
func (d *Directory) merge() (unused []string) {
	d.peers = make(map[string]link.Peer)
	for _, list := range d.lists {
		for _, peer := range list {
			d.peers[peer.Name] = peer
		}
	}
	endpoints := make([]registry.Endpoint, 0, len(d.peers))
	for _, peer := range d.peers {
		endpoints = append(endpoints, registry.Endpoint{
			ID: peer.Name, Service: boardService, Address: peer.Address, Domain: peer.Domain,
			Slots: peerSlots, State: registry.Ready, Born: incarnation(peer.Key),
		})
	}
	return d.board.Update(endpoints)
}

// incarnation derives from the key, which each process of an entry has anew, what tells its
// runs apart.
func incarnation(key string) int64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return int64(h.Sum64())
}

// Choose picks the peer that a request for a service is forwarded to, other than the avoided
// ones. The error is a *NoPeerError.
func (d *Directory) Choose(service string, avoid []string, now time.Time) (*Chosen, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	none := &NoPeerError{Service: service, Known: len(d.peers)}
	excluded := slices.Clone(avoid)
	for name, peer := range d.peers {
		switch {
		case slices.Contains(peer.CutOff, service):
			none.CutOff++
			excluded = append(excluded, name)
		case now.Sub(d.refusals[refusal{name, service}]) < refusalTTL:
			none.Refusing++
			excluded = append(excluded, name)
		}
	}
	choice, err := d.board.Choose(&pick.Request{Service: boardService, Domain: d.domain, Avoid: excluded, Now: now})
	if err != nil {
		return nil, none
	}
	return &Chosen{Choice: choice, Key: d.peers[choice.Endpoint.ID].Key}, nil
}

// Sample returns up to n peers at random.
func (d *Directory) Sample(n int) []registry.Endpoint {
	return d.board.Sample(boardService, d.domain, n)
}

// RecordRefusal records that a peer does not take the requests for a service.
func (d *Directory) RecordRefusal(peer, service string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, at := range d.refusals {
		if now.Sub(at) >= refusalTTL {
			delete(d.refusals, key)
		}
	}
	d.refusals[refusal{peer, service}] = now
}
