// Package quota keeps each workspace within its limit over all entries. A part
// of every limit is divided among the entries and holds without any contact;
// the rest is kept at one replica, from which entries take what their part
// cannot cover, such as large requests. The parts add up to the limit. The
// package does no I/O.
package quota

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/rules"
)

const (
	// commonPart of a limit is kept at one replica.
	commonPart = 0.6
	// commonTokens and dividedTokens are the parts of the tolerated tokens that
	// each side may spend beyond its part. What is left covers shares that are
	// a few hundred milliseconds old.
	commonTokens  = 0.4
	dividedTokens = 0.35
	// commonOvershoot is the part of the tolerated overshoot for the common part.
	commonOvershoot = 0.5
	// evenPart of the divided limit is divided evenly, the rest by demand: an
	// entry without recent demand must admit its first requests.
	evenPart = 0.25
	// demandWindow is the time over which demand is averaged.
	demandWindow = 4 * time.Second
	// unknownEntries is the number of entries that is assumed before any replica
	// named one.
	unknownEntries = 16
	// peerMemory is how long the demand of all entries counts without news.
	peerMemory = 5 * time.Second
)

// Tolerance is what may be sent beyond a limit within any window, over all entries.
type Tolerance struct {
	Window time.Duration
	// Overshoot is a part of what the limit allows within the window.
	Overshoot float64
	// Tokens is granted to limits that count tokens.
	Tokens float64
}

// Demand is the total over all entries, as a replica reports it.
type Demand struct {
	// Entries is the number of entries.
	Entries int
	// PerS is the demand of all entries by workspace, in units of the limit per second.
	PerS map[string]float64
}

// bucket holds what may be spent now.
type bucket struct {
	level  float64
	filled time.Time
}

// take spends the cost if the level covers it, or a full bucket does.
func (b *bucket) take(cost, rate, capacity float64, now time.Time) (wait time.Duration, ok bool) {
	b.level = min(b.level+now.Sub(b.filled).Seconds()*rate, capacity)
	b.filled = now
	needed := min(cost, capacity)
	if b.level >= needed {
		b.level -= cost
		return 0, true
	}
	return time.Duration((needed - b.level) / rate * float64(time.Second)), false
}

// limits are the limits of one workspace.
type limits struct {
	rate, burst float64
	// tokens is what is tolerated beyond, 0 for limits that count requests.
	tokens float64
}

func limitsOf(w *rules.Workspace, t Tolerance) limits {
	l := limits{rate: w.RatePerS, burst: w.Burst}
	if w.CountTokens {
		l.tokens = t.Tokens
	}
	return l
}

// Common keeps the parts of the limits that are not divided. It is safe for concurrent use.
type Common struct {
	tolerance Tolerance

	mu      sync.Mutex
	buckets map[string]*bucket
	// since is when the former holder was lost.
	since time.Time
}

// NewCommon returns empty buckets: what an earlier holder granted is not known.
func NewCommon(tolerance Tolerance, now time.Time) *Common {
	return &Common{tolerance: tolerance, since: now, buckets: make(map[string]*bucket)}
}

// Take spends the cost of a request, or returns how long until it could.
func (c *Common) Take(w *rules.Workspace, cost float64, now time.Time) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.buckets[w.Name]
	if b == nil {
		b = &bucket{filled: c.since}
		c.buckets[w.Name] = b
	}
	l := limitsOf(w, c.tolerance)
	overshoot := c.tolerance.Overshoot * commonOvershoot * (l.rate*c.tolerance.Window.Seconds() + l.burst)
	return b.take(cost, l.rate*commonPart, l.burst*commonPart+overshoot+l.tokens*commonTokens, now)
}

// Reset empties the buckets, as when the replica begins to hold them. What
// they would have gained since the former holder was lost is kept.
func (c *Common) Reset(lost time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = lost
	clear(c.buckets)
}

// Keeper decides at an entry. It is safe for concurrent use.
type Keeper struct {
	tolerance Tolerance

	mu         sync.Mutex
	workspaces map[string]*workspace
	total      Demand
	heard      time.Time
	// own is the own demand that is part of the total.
	own map[string]float64
	// undivided is set while nobody holds the common part.
	undivided bool
}

type workspace struct {
	limits
	bucket
	demand meter
	// deniedUntil is when the common part may have something for deniedCost again.
	deniedUntil time.Time
	deniedCost  float64
}

// New returns a keeper without limits.
func New(tolerance Tolerance) *Keeper {
	return &Keeper{tolerance: tolerance, workspaces: make(map[string]*workspace)}
}

// Configure takes the limits of a document.
func (k *Keeper) Configure(list []rules.Workspace, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := make(map[string]bool, len(list))
	for i := range list {
		one := &list[i]
		known[one.Name] = true
		w := k.workspaces[one.Name]
		if w == nil {
			w = &workspace{bucket: bucket{filled: now}}
			k.workspaces[one.Name] = w
			// It starts full: an earlier run of this entry granted nothing while
			// the process started, and after the loss of all entries the first
			// second of requests would else be refused.
			w.limits = limitsOf(one, k.tolerance)
			w.level = k.capacity(one.Name, w, now)
		}
		w.limits = limitsOf(one, k.tolerance)
		w.level = min(w.level, k.capacity(one.Name, w, now))
		w.deniedUntil = time.Time{}
	}
	for name := range k.workspaces {
		if !known[name] {
			delete(k.workspaces, name)
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

// SetLeaderless tells whether the common part is lost: a majority of the
// replicas knows no leader, so that nobody can grant it. Its rate then goes to
// the entries as well. An entry that is merely cut off must not take it, since
// the leader grants it to others.
func (k *Keeper) SetLeaderless(lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.undivided = lost
}

// Decision is the answer of Take.
type Decision struct {
	Granted bool
	// AskCommon is set where the common part may cover the request.
	AskCommon bool
	// Wait is how long until the own part could cover it.
	Wait time.Duration
}

// Take spends the cost of a request from the own part.
func (k *Keeper) Take(name string, cost float64, now time.Time) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.workspaces[name]
	if w == nil || w.rate <= 0 {
		return Decision{Granted: true}
	}
	w.demand.add(cost, now)
	rate := w.rate * k.share(name, now)
	if !k.undivided {
		rate *= 1 - commonPart
	}
	wait, ok := w.take(cost, rate, k.capacity(name, w, now), now)
	if ok {
		return Decision{Granted: true}
	}
	return Decision{AskCommon: !now.Before(w.deniedUntil) || cost < w.deniedCost, Wait: wait}
}

// Denied notes that the common part had nothing for a cost until a time.
func (k *Keeper) Denied(name string, cost float64, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w := k.workspaces[name]; w != nil {
		w.deniedUntil, w.deniedCost = until, cost
	}
}

// Return gives back the cost of a request that was not sent on.
func (k *Keeper) Return(name string, cost float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w := k.workspaces[name]; w != nil {
		w.level += cost
	}
}

// Demand returns the own demand by workspace, in units of the limit per second.
func (k *Keeper) Demand(now time.Time) map[string]float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make(map[string]float64, len(k.workspaces))
	for name, w := range k.workspaces {
		if rate := w.demand.perS(now); rate > 0 {
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

// capacity is the most that this entry may spend of its own part at once.
func (k *Keeper) capacity(name string, w *workspace, now time.Time) float64 {
	return w.burst*(1-commonPart)*k.share(name, now) + w.tokens*dividedTokens/float64(k.entries())
}

// share returns the part of the divided limit that belongs to this entry. It
// compares the total with the own demand that is part of it, not with the
// present one: while demand grows, the shares would otherwise add up to more
// than one.
func (k *Keeper) share(name string, now time.Time) float64 {
	even := 1 / float64(k.entries())
	if now.Sub(k.heard) > peerMemory {
		return even
	}
	own := k.own[name]
	all := max(k.total.PerS[name], own)
	if all <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/all
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
