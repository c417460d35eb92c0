// Package quota keeps each workspace within its limit over all entries. Every
// entry takes a share of the limit; the shares add up to one, so that the limit
// also holds while entries cannot reach each other. The package does no I/O.
package quota

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/rules"
)

const (
	// evenPart of a limit is divided evenly, the rest by demand: an entry
	// without recent demand must admit its first requests.
	evenPart = 0.25
	// demandWindow is the time over which demand is averaged.
	demandWindow = 4 * time.Second
	// slackPart of the agreed slack is handed out: the shares of entries are
	// divided by demand that is a few hundred milliseconds old.
	slackPart = 0.75
	// overshootPart of the agreed overshoot is handed out, for the same reason.
	overshootPart = 0.6
	// unknownEntries is the number of entries that is assumed before any replica
	// named one.
	unknownEntries = 16
	// peerMemory is how long the demand of all entries counts without news.
	peerMemory = 5 * time.Second
)

// Demand is the total over all entries, as a replica reports it.
type Demand struct {
	// Entries is the number of entries.
	Entries int
	// PerS is the demand of all entries by workspace, in units of the limit per second.
	PerS map[string]float64
}

// Tolerance is what may be sent beyond a limit within any window, over all
// entries. A large request fits into the share of one entry only with it.
type Tolerance struct {
	Window time.Duration
	// Overshoot is a part of what the limit allows within the window.
	Overshoot float64
	// Tokens is granted to limits that count tokens.
	Tokens float64
}

// Keeper decides on requests by workspace. It is safe for concurrent use.
type Keeper struct {
	tolerance Tolerance

	mu      sync.Mutex
	buckets map[string]*bucket
	total   Demand
	heard   time.Time
	// own is the own demand that is part of the total.
	own map[string]float64
}

type bucket struct {
	rate, burst, slack float64
	// level is what may be spent now.
	level  float64
	filled time.Time
	demand meter
}

// New returns a keeper without limits.
func New(tolerance Tolerance) *Keeper {
	return &Keeper{tolerance: tolerance, buckets: make(map[string]*bucket)}
}

// Configure takes the limits of a document.
func (k *Keeper) Configure(workspaces []rules.Workspace, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := make(map[string]bool, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		known[w.Name] = true
		b := k.buckets[w.Name]
		if b == nil {
			// It starts empty: what an earlier run of this entry spent is not known.
			b = &bucket{filled: now}
			k.buckets[w.Name] = b
		}
		b.rate, b.burst, b.slack = w.RatePerS, w.Burst, 0
		if w.CountTokens {
			b.slack = k.tolerance.Tokens * slackPart
		}
		b.level = min(b.level, k.capacity(w.Name, b, now))
	}
	for name := range k.buckets {
		if !known[name] {
			delete(k.buckets, name)
		}
	}
}

// SetTotal takes the demand of all entries, and the part of it that is the
// demand of this entry as it was told.
func (k *Keeper) SetTotal(d Demand, own map[string]float64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.total = d
	k.own = own
	k.heard = now
}

// Take spends the cost of a request, or returns how long until it could.
func (k *Keeper) Take(workspace string, cost float64, now time.Time) (wait time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.buckets[workspace]
	if b == nil || b.rate <= 0 {
		return 0, true
	}
	b.demand.add(cost, now)
	share := k.share(workspace, now)
	capacity := k.capacity(workspace, b, now)
	b.fill(share, capacity, now)
	if b.level >= min(cost, capacity) {
		b.level -= cost
		return 0, true
	}
	seconds := (min(cost, capacity) - b.level) / (b.rate * share)
	return time.Duration(seconds * float64(time.Second)), false
}

// Return gives back the cost of a request that was not sent on.
func (k *Keeper) Return(workspace string, cost float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b := k.buckets[workspace]; b != nil {
		b.level += cost
	}
}

// Demand returns the own demand by workspace, in units of the limit per second.
func (k *Keeper) Demand(now time.Time) map[string]float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make(map[string]float64, len(k.buckets))
	for name, b := range k.buckets {
		if rate := b.demand.perS(now); rate > 0 {
			list[name] = rate
		}
	}
	return list
}

func (k *Keeper) entries() int {
	if k.heard.IsZero() {
		return unknownEntries
	}
	return max(k.total.Entries, 1)
}

// capacity is the most that this entry may spend at once.
func (k *Keeper) capacity(workspace string, b *bucket, now time.Time) float64 {
	overshoot := k.tolerance.Overshoot * overshootPart * (b.rate*k.tolerance.Window.Seconds() + b.burst)
	return (b.burst+overshoot)*k.share(workspace, now) + b.slack/float64(k.entries())
}

// share returns the part of a limit that belongs to this entry. It compares
// the total with the own demand that is part of it, not with the present one:
// while demand grows, the shares would otherwise add up to more than one.
func (k *Keeper) share(workspace string, now time.Time) float64 {
	even := 1 / float64(k.entries())
	if now.Sub(k.heard) > peerMemory {
		return even
	}
	own := k.own[workspace]
	all := max(k.total.PerS[workspace], own)
	if all <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/all
}

func (b *bucket) fill(share, capacity float64, now time.Time) {
	passed := now.Sub(b.filled).Seconds()
	b.filled = now
	b.level = min(b.level+passed*b.rate*share, capacity)
}

// meter averages a rate over about demandWindow.
type meter struct {
	rate float64
	at   time.Time
}

func (m *meter) add(amount float64, now time.Time) {
	m.rate = m.perS(now) + amount/demandWindow.Seconds()
	m.at = now
}

func (m *meter) perS(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	left := 1 - now.Sub(m.at).Seconds()/demandWindow.Seconds()
	return m.rate * max(left, 0)
}
