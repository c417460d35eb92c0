// Package demand measures the demand at an entry and divides common limits among
// the entries by it. It does no I/O.
package demand

import "time"

const (
	// evenShare is the part of a limit that is divided evenly; the rest is divided by
	// demand. An entry without recent demand thus admits its first requests.
	evenShare = 0.25
	// meterWindow is the time over which demand is averaged.
	meterWindow = 4 * time.Second
	// minEntries is the number of entries that is assumed while fewer are known, since
	// the first reports may count only those entries that were faster.
	minEntries = 16
	// totalTTL is how long a report of the demand of all entries is used.
	totalTTL = 5 * time.Second
)

// Total is the demand of all entries, as a replica reports it.
type Total struct {
	// Entries is the number of entries, and Rank the position of this entry among them.
	Entries, Rank int
	// PerS is the demand per second by subject, such as a workspace.
	PerS map[string]float64
}

// Division computes the share of one entry. It is not safe for concurrent use.
type Division struct {
	total   Total
	totalAt time.Time
	// own is the demand of this entry that is included in total.
	own map[string]float64
}

// SetTotal sets the demand of all entries, and the demand of this entry that is
// included in it.
func (d *Division) SetTotal(total Total, own map[string]float64, now time.Time) {
	d.total, d.own, d.totalAt = total, own, now
}

// Entries returns the number of entries, or an assumed one before the first report.
func (d *Division) Entries() int {
	if d.totalAt.IsZero() {
		return minEntries
	}
	return max(d.total.Entries, 1)
}

// Rank returns the position of this entry among all, or -1 if it is not known.
func (d *Division) Rank() int {
	if d.totalAt.IsZero() {
		return -1
	}
	return d.total.Rank
}

// Share returns the part of a divided limit that this entry may use. It relates the
// total demand to the demand of this entry that is included in it, and not to its
// current demand: while demand grows, the shares would otherwise add up to more
// than 1.
func (d *Division) Share(subject string, now time.Time) float64 {
	even := 1 / float64(d.Entries())
	if now.Sub(d.totalAt) > totalTTL {
		return even
	}
	return ShareOf(even, d.own[subject], d.total.PerS[subject])
}

// ShareOf returns the share of an entry whose demand is own, of that of all entries. even is
// the share if all had the same demand.
func ShareOf(even, own, all float64) float64 {
	all = max(all, own)
	if all <= 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*own/all
}

// Meter averages a rate over about meterWindow.
type Meter struct {
	rate      float64
	updatedAt time.Time
}

// Add records an amount.
func (m *Meter) Add(amount float64, now time.Time) {
	m.rate = m.PerS(now) + amount/meterWindow.Seconds()
	m.updatedAt = now
}

// PerS returns the rate per second.
func (m *Meter) PerS(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	weight := 1 - now.Sub(m.updatedAt).Seconds()/meterWindow.Seconds()
	return m.rate * max(weight, 0)
}
