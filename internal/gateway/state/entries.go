package state

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/quota"
)

const (
	// entryTimeout is how long after its last poll an entry counts as active.
	entryTimeout = 5 * time.Second
	// usageMemory is how long after its last poll an entry may still bring the counts of a
	// window: one that is cut off for some seconds serves all the while.
	usageMemory = 20 * time.Second
	// totalsTTL is how long a sum over all entries is used. Each poll needs the sum, so
	// that without a limit the cost would grow with the square of the entries.
	totalsTTL = 25 * time.Millisecond
)

// entries holds what each entry reported in its last poll. It is safe for
// concurrent use.
type entries struct {
	mu      sync.Mutex
	byEntry map[string]*entryReport
	// lastPolls holds when each entry polled last, for usageMemory, and its lease.
	lastPolls map[string]quota.Seen
	// sum is the last result of totals, and sumAt its time.
	sum   totals
	sumAt time.Time
	// offersVersion grows with each change of an offer to take forwarded requests.
	// peerLists holds, by entry, the peers that were chosen for it.
	offersVersion uint64
	peerLists     map[string]*peerList
}

type entryReport struct {
	polledAt time.Time
	// nameHash is the hash of the entry's name, for rendezvous hashing.
	nameHash      uint64
	demand        map[string]float64
	serviceDemand map[string]float64
	load          map[string]int
	work          map[string]float64
	// offer is how other entries may forward requests to this one; nil while they may not.
	offer *link.Peer
}

func newEntries() *entries {
	return &entries{byEntry: make(map[string]*entryReport), lastPolls: make(map[string]quota.Seen), peerLists: make(map[string]*peerList)}
}

func (e *entries) record(r *link.PollRequest, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastPolls[r.Entry] = quota.Seen{PolledAt: now, Even: r.LeaseEven}
	former := e.byEntry[r.Entry]
	e.byEntry[r.Entry] = &entryReport{
		polledAt: now, demand: r.Demand, serviceDemand: r.ServiceDemand, load: r.Load, work: r.Work, offer: r.Offer,
		nameHash: xxhash.Sum64String(r.Entry),
	}
	if former == nil || !sameOffer(former.offer, r.Offer) {
		e.offersVersion++
	}
}

// totals is the sum of the reports of all active entries.
type totals struct {
	entries       int
	demand        map[string]float64
	serviceDemand map[string]float64
	load          map[string]int
	work          map[string]float64
}

// totals returns the sum of the reports of all active entries. The caller must not change
// it.
func (e *entries) totals(now time.Time) totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.sumAt) < totalsTTL {
		return e.sum
	}
	t := totals{
		demand: make(map[string]float64), serviceDemand: make(map[string]float64), load: make(map[string]int),
		work: make(map[string]float64),
	}
	for name, report := range e.byEntry {
		if now.Sub(report.polledAt) > entryTimeout {
			delete(e.byEntry, name)
			delete(e.peerLists, name)
			e.offersVersion++
			continue
		}
		t.entries++
		addUp(t.demand, report.demand)
		addUp(t.serviceDemand, report.serviceDemand)
		addUp(t.load, report.load)
		addUp(t.work, report.work)
	}
	e.sum, e.sumAt = t, now
	return t
}

func addUp[N int | float64](to, from map[string]N) {
	for name, n := range from {
		to[name] += n
	}
}

// demandFor returns the demand for a service by active entry, in requests per second.
func (e *entries) demandFor(service string, now time.Time) map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	perS := make(map[string]float64)
	for name, report := range e.byEntry {
		if now.Sub(report.polledAt) <= entryTimeout {
			perS[name] = report.serviceDemand[service]
		}
	}
	return perS
}

// rank returns the position of an entry among the active ones, sorted by name.
func (e *entries) rank(entry string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := 0
	for name := range e.byEntry {
		if name < entry {
			rank++
		}
	}
	return rank
}

// seen returns when each entry polled last, as far back as usageMemory, and its lease.
func (e *entries) seen() map[string]quota.Seen {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.lastPolls)
}

// allPolledWithin reports whether every entry has polled within the given time. Entries that
// have been silent for longer than usageMemory are taken for lost.
func (e *entries) allPolledWithin(within time.Duration, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, last := range e.lastPolls {
		silent := now.Sub(last.PolledAt)
		if silent > usageMemory {
			delete(e.lastPolls, name)
		} else if silent > within {
			return false
		}
	}
	return true
}
