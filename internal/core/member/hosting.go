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
	// changeLogLength is the number of changes that a host keeps at least. A peer
	// that is further behind gets all records.
	changeLogLength = 512
)

// hosting is the state of the endpoints that announce themselves to this daemon,
// and of the hosts of the other endpoints.
type hosting struct {
	instance atomic.Uint64

	mu sync.Mutex
	// version counts the changes of the hosted endpoints. Changes of load do not count.
	version uint64
	// changes holds the endpoint ID that each of the newest versions changed. The
	// last entry belongs to version.
	changes []string
	// numbers maps the numbers of hosted endpoints to their IDs. lastNumber is the
	// number that was assigned last.
	numbers    map[uint16]string
	lastNumber uint16
	// changedLoads holds the hosted endpoints whose load changed since the last round.
	changedLoads map[string]struct{}
	hosts        map[uint64]*host
}

// host is what this daemon knows of another daemon's hosted endpoints.
type host struct {
	// lastHeard is the local time at which the host was last known to be alive.
	lastHeard time.Time
	// applied is the version up to which all records were applied.
	applied uint64
	// newest is the highest version that was reported for the host.
	newest uint64
	// behindSince is when newest first exceeded applied.
	behindSince time.Time
	// numbers maps the host's endpoint numbers to endpoint IDs.
	numbers map[uint16]string
}

func (h *hosting) init() {
	h.numbers = make(map[uint16]string)
	h.changedLoads = make(map[string]struct{})
	h.hosts = make(map[uint64]*host)
}

func (h *hosting) self() uint64 { return h.instance.Load() }

// adopt makes this daemon the host of next, which replaces known. Any change
// other than a change of load creates a new version.
func (h *hosting) adopt(next, known *Endpoint) {
	self := h.self()
	h.mu.Lock()
	defer h.mu.Unlock()
	hosted := known != nil && known.Host == self && known.Removed == NotRemoved
	next.Host = self
	switch {
	case hosted:
		next.Number = known.Number
	case next.Removed == NotRemoved:
		next.Number = h.assignNumber(next.ID)
	}
	if next.Removed != NotRemoved {
		delete(h.numbers, next.Number)
		delete(h.changedLoads, next.ID)
	}
	if hosted && next.Removed == NotRemoved && sameDescription(&next.Announcement, &known.Announcement) {
		if next.Load != known.Load {
			h.changedLoads[next.ID] = struct{}{}
		}
		return
	}
	h.recordChange(next.ID)
}

// assignNumber assigns the next unused number in cyclic order, so that a number
// is reused as late as possible.
func (h *hosting) assignNumber(id string) uint16 {
	for range maxNumber + 1 {
		h.lastNumber = (h.lastNumber + 1) & maxNumber
		if _, used := h.numbers[h.lastNumber]; !used {
			break
		}
	}
	h.numbers[h.lastNumber] = id
	return h.lastNumber
}

func (h *hosting) recordChange(id string) {
	h.version++
	h.changes = append(h.changes, id)
	if len(h.changes) > 2*changeLogLength {
		h.changes = append([]string(nil), h.changes[len(h.changes)-changeLogLength:]...)
	}
}

// release gives up an endpoint that another daemon hosts now, and records a
// change. Without the change, a peer that missed the other daemon's record would
// keep the old one and renew its lease for as long as this daemon is alive.
func (h *hosting) release(known, next *Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known.Host != h.self() || next.Host == known.Host {
		return
	}
	if h.numbers[known.Number] == known.ID {
		delete(h.numbers, known.Number)
		delete(h.changedLoads, known.ID)
	}
	h.recordChange(known.ID)
}

// changedSince returns the IDs that changed after a version, and the current
// version. It returns false if the log does not reach back that far.
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

// popChangedLoads returns the hosted endpoints whose load changed and clears the set.
func (h *hosting) popChangedLoads() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.changedLoads) == 0 {
		return nil
	}
	ids := make([]string, 0, len(h.changedLoads))
	for id := range h.changedLoads {
		ids = append(ids, id)
	}
	clear(h.changedLoads)
	return ids
}

// host returns the state of a host and creates it if it does not exist.
func (h *hosting) host(instance uint64) *host {
	found := h.hosts[instance]
	if found == nil {
		found = &host{numbers: make(map[uint16]string)}
		h.hosts[instance] = found
	}
	return found
}

func (h *hosting) lastHeard(instance uint64) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if found := h.hosts[instance]; found != nil {
		return found.lastHeard
	}
	return time.Time{}
}
