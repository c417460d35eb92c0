package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/demand"
)

const (
	// LeaseTTL is how long an entry may use the shares of a lease, counted from the poll to
	// which the lease was the answer. It outlasts one lost poll.
	LeaseTTL = 2 * time.Second
	// evenTTL is how long an entry that reaches no leader may use an even share. The leader
	// keeps that share back for a silent entry as long.
	evenTTL = 20 * time.Second
	// lateShare is the part of an even share that an entry may use after evenTTL. Nothing is
	// kept back for it any more; the margin of the limits covers it.
	lateShare = 0.25
	// expireInterval is how often leases of silent entries are reduced.
	expireInterval = 100 * time.Millisecond
)

// Lease is the part of each limit that one entry may use. Shares are fractions of the
// divided part.
type Lease struct {
	// ID identifies the lease in the next poll of the entry.
	ID uint64 `msgpack:"i"`
	// Even is the share of each workspace that Shares does not list.
	Even   float64            `msgpack:"e"`
	Shares map[string]float32 `msgpack:"s,omitempty"`
}

// share returns the share of a workspace.
func (l *Lease) share(workspace string) float64 {
	if share, ok := l.Shares[workspace]; ok {
		return float64(share)
	}
	return l.Even
}

// SelfLease returns the lease of an entry whose leader grants none: the smaller of an even
// share and the entry's part of the demand.
func SelfLease(total demand.Total, own map[string]float64) *Lease {
	lease := &Lease{Even: 1 / float64(max(total.Entries, 1)), Shares: make(map[string]float32)}
	for workspace := range total.PerS {
		lease.Shares[workspace] = float32(min(demand.ShareOf(lease.Even, own[workspace], total.PerS[workspace]), lease.Even))
	}
	return lease
}

// LeaseRequest is what an entry reports when it asks for a lease.
type LeaseRequest struct {
	Entry string
	// LastID is that of the newest lease that the entry has. An entry of a build without
	// leases divides the limits by itself.
	LastID        uint64
	WithoutLeases bool
	// Demand is the demand of the entry by workspace, which Total includes.
	Demand map[string]float64
	Total  demand.Total
	// Workspaces are those that have a limit.
	Workspaces []string
}

// Leases divides the divided parts of the limits among the entries. The shares that all
// entries may use at a time never add up to more than 1: a share grows only by what others
// are known to have given up, or no longer may use. It is safe for concurrent use.
type Leases struct {
	mu      sync.Mutex
	holders map[string]*holder
	// sums holds, by workspace, the sum of what all holders may use.
	sums      map[string]float64
	expiredAt time.Time
}

// holder is an entry that has a lease.
type holder struct {
	lease *Lease
	// usable holds, by workspace, the share that the entry may use: the largest of the
	// leases that it may have.
	usable map[string]float64
	// even is the even share that the entry may use once it reaches no leader: the largest of
	// those leases.
	even     float64
	leasedAt time.Time
	reduced  bool
}

// Seen is what a replica knows of an entry from its last poll.
type Seen struct {
	PolledAt time.Time
	// Even is that of the lease that the entry had; 0 without one.
	Even float64
}

// NewLeases returns a division without entries.
func NewLeases() *Leases {
	return &Leases{holders: make(map[string]*holder), sums: make(map[string]float64)}
}

// Reset starts the division of a new leader, which grants the first lease only after LeaseTTL:
// then the entries use no more than even shares of the leases of the former leader. The even
// shares of entries that are silent are kept back.
func (l *Leases) Reset(seen map[string]Seen, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders, l.sums = make(map[string]*holder), make(map[string]float64)
	for entry, last := range seen {
		if now.Sub(last.PolledAt) > evenTTL {
			continue
		}
		l.holders[entry] = &holder{
			lease: &Lease{Even: last.Even}, even: last.Even, leasedAt: last.PolledAt, reduced: true, usable: make(map[string]float64),
		}
	}
}

// Grant returns the next lease of an entry.
func (l *Leases) Grant(r *LeaseRequest, now time.Time) *Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.expiredAt) >= expireInterval {
		l.expire(now)
	}
	h := l.holders[r.Entry]
	if h == nil {
		h = &holder{usable: make(map[string]float64)}
		l.holders[r.Entry] = h
	}
	if h.lease != nil && (r.WithoutLeases || r.LastID == h.lease.ID) {
		// The entry no longer uses an earlier lease.
		h.even = h.lease.Even
		for workspace := range h.usable {
			l.setUsable(h, workspace, h.lease.share(workspace))
		}
	}
	// IDs of different leaders must differ.
	lease := &Lease{ID: rand.Uint64() | 1, Even: 1 / float64(max(r.Total.Entries, len(l.holders))), Shares: make(map[string]float32)}
	for _, workspace := range r.Workspaces {
		l.addWorkspace(workspace)
		share := float32(l.nextShare(h, workspace, lease.Even, r))
		if float64(share) != float64(float32(lease.Even)) {
			lease.Shares[workspace] = share
		}
		l.setUsable(h, workspace, max(h.usable[workspace], lease.share(workspace)))
	}
	h.lease, h.even, h.leasedAt, h.reduced = lease, max(h.even, lease.Even), now, false
	return lease
}

// nextShare returns the share of an entry by its part of the demand, as far as the others
// leave it.
func (l *Leases) nextShare(h *holder, workspace string, even float64, r *LeaseRequest) float64 {
	share := demand.ShareOf(even, r.Demand[workspace], r.Total.PerS[workspace])
	if r.WithoutLeases {
		return share
	}
	left := 1 - (l.sums[workspace] - h.usable[workspace])
	return max(min(share, left), 0)
}

// addWorkspace adds a workspace that no document had before: holders of a lease use an even
// share of it.
func (l *Leases) addWorkspace(workspace string) {
	if _, known := l.sums[workspace]; known {
		return
	}
	l.sums[workspace] = 0
	for _, h := range l.holders {
		if h.lease != nil {
			l.setUsable(h, workspace, h.even)
		}
	}
}

func (l *Leases) setUsable(h *holder, workspace string, share float64) {
	l.sums[workspace] += share - h.usable[workspace]
	h.usable[workspace] = share
}

// expire reduces the shares of entries that have been silent for longer than their leases,
// and recomputes the sums. The caller must hold mu.
func (l *Leases) expire(now time.Time) {
	l.expiredAt = now
	for workspace := range l.sums {
		l.sums[workspace] = 0
	}
	for name, h := range l.holders {
		silent := now.Sub(h.leasedAt)
		if silent > evenTTL {
			delete(l.holders, name)
			continue
		}
		if silent > LeaseTTL && !h.reduced {
			h.reduced = true
			for workspace, share := range h.usable {
				h.usable[workspace] = min(share, h.even)
			}
		}
		for workspace, share := range h.usable {
			l.sums[workspace] += share
		}
	}
}
