package member

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// numberBits is the width of a host's endpoint number in a load delta. All
	// 2,300 endpoints of the target size fit on one host.
	numberBits = 12
	// maxNumber is the largest endpoint number.
	maxNumber = 1<<numberBits - 1
	// changeLogLength bounds the changes a host remembers. A peer further
	// behind gets all records.
	changeLogLength = 512
)

// hosting is the state of the endpoints that announce to this daemon, and what
// is known of the hosts of the others.
type hosting struct {
	instance atomic.Uint64

	mu sync.Mutex
	// version counts the changes of the hosted endpoints, load excepted.
	version uint64
	// changes holds the IDs changed by the newest versions; the last entry belongs to version.
	changes []string
	numbers map[uint16]string
	next    uint16
	// loads holds the hosted endpoints with a new load since the last round.
	loads map[string]struct{}
	hosts map[uint64]*host
}

// host is what this daemon knows of another daemon's hosted endpoints.
type host struct {
	heard time.Time
	// applied is the version up to which all records are known.
	applied uint64
	// newest is the highest version heard of.
	newest uint64
	// behindSince is when newest first exceeded applied.
	behindSince time.Time
	numbers     map[uint16]string
}

func (h *hosting) init() {
	h.numbers = make(map[uint16]string)
	h.loads = make(map[string]struct{})
	h.hosts = make(map[uint64]*host)
}

func (h *hosting) self() uint64 { return h.instance.Load() }

// adopt makes this daemon the host of next, which replaces known. A change of
// more than the load becomes a new version.
func (h *hosting) adopt(next, known *Endpoint) {
	self := h.self()
	h.mu.Lock()
	defer h.mu.Unlock()
	held := known != nil && known.Host == self && known.Removed == NotRemoved
	next.Host = self
	switch {
	case held:
		next.Number = known.Number
	case next.Removed == NotRemoved:
		next.Number = h.assign(next.ID)
	}
	if next.Removed != NotRemoved {
		delete(h.numbers, next.Number)
		delete(h.loads, next.ID)
	}
	if held && next.Removed == NotRemoved && sameDescription(&next.Announcement, &known.Announcement) {
		if next.Load != known.Load {
			h.loads[next.ID] = struct{}{}
		}
		return
	}
	h.note(next.ID)
}

// assign picks the next number in a cycle, so that a number is reused as late as possible.
func (h *hosting) assign(id string) uint16 {
	for range maxNumber + 1 {
		h.next = (h.next + 1) & maxNumber
		if _, used := h.numbers[h.next]; !used {
			break
		}
	}
	h.numbers[h.next] = id
	return h.next
}

func (h *hosting) note(id string) {
	h.version++
	h.changes = append(h.changes, id)
	if len(h.changes) > 2*changeLogLength {
		h.changes = append([]string(nil), h.changes[len(h.changes)-changeLogLength:]...)
	}
}

// handOver releases an endpoint that another daemon hosts now. It is a change
// of this host: a peer that missed the other daemon's record would otherwise
// keep the old one, whose lease this daemon's life prolongs.
func (h *hosting) handOver(known, next *Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known.Host != h.self() || next.Host == known.Host {
		return
	}
	if h.numbers[known.Number] == known.ID {
		delete(h.numbers, known.Number)
		delete(h.loads, known.ID)
	}
	h.note(known.ID)
}

// changedSince returns the IDs changed after a version, and false when the log
// does not reach back that far.
func (h *hosting) changedSince(version uint64) ([]string, uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version > h.version || h.version-version > uint64(len(h.changes)) {
		return nil, h.version, false
	}
	ids := h.changes[len(h.changes)-int(h.version-version):]
	return append([]string(nil), ids...), h.version, true
}

func (h *hosting) currentVersion() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// takeLoads returns the hosted endpoints with a new load and resets the set.
func (h *hosting) takeLoads() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.loads) == 0 {
		return nil
	}
	ids := make([]string, 0, len(h.loads))
	for id := range h.loads {
		ids = append(ids, id)
	}
	clear(h.loads)
	return ids
}

func (h *hosting) host(instance uint64) *host {
	found := h.hosts[instance]
	if found == nil {
		found = &host{numbers: make(map[uint16]string)}
		h.hosts[instance] = found
	}
	return found
}

func (h *hosting) heard(instance uint64) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if found := h.hosts[instance]; found != nil {
		return found.heard
	}
	return time.Time{}
}
