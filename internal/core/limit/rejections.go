package limit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// riskShare is the part of the bearable rejections that entries risk on purpose, to find
	// room beyond their seats.
	riskShare = 0.5
	// riskWindow is the time within which an entry whose turn it is may risk one rejection.
	riskWindow = time.Second
	// minRejectionPause is the least time without a request to an endpoint after it has
	// rejected one.
	minRejectionPause = time.Second
)

// Rejections limits how often one entry is rejected by an endpoint for want of room, where
// all entries together must not be rejected more than some times a second, or the endpoint
// fails. An entry has some of the endpoint's slots for itself, its seats, and in turn with
// the others it may risk a request beyond them. It is not safe for concurrent use.
type Rejections struct {
	endpoint string
	slots    int
	// perS is how many rejections a second the endpoint bears from all entries.
	perS   float64
	sharer Sharer
	seats  int
	// pausedUntil is the end of the pause after a rejection.
	pausedUntil time.Time
	// risked is the window in which a request beyond the seats was sent last.
	risked int64
}

// NewRejections returns the limit of an entry at an endpoint with a number of slots.
func NewRejections(endpoint string, slots int, perS float64, sharer Sharer) *Rejections {
	r := &Rejections{endpoint: endpoint}
	r.Set(slots, perS, sharer)
	return r
}

// Set changes what the limit follows from.
func (r *Rejections) Set(slots int, perS float64, sharer Sharer) {
	r.slots, r.perS, r.sharer = slots, perS, sharer
	r.seats = Seats(r.endpoint, slots, sharer)
}

// Seats returns how many of the slots of an endpoint an entry has for itself. Those of all
// entries add up to about the slots. Where there are fewer slots than entries, some entries
// have one, and others at the next endpoint.
func Seats(endpoint string, slots int, e Sharer) int {
	share := float64(slots) * e.DemandShare
	if e.Rank < 0 {
		return int(share)
	}
	// Multiples of the golden ratio spread evenly over 0 to 1, so that the sum over all
	// ranks is close to that of the shares.
	phase := float64(e.Rank)*math.Phi + float64(xxhash.Sum64String(endpoint)%1024)/1024
	return int(share + phase - math.Floor(phase))
}

// Admits reports whether a request may be sent while a number of requests of this entry run
// at the endpoint. The seats count only if it may be full. timeOfDay is the agreed time, by
// which entries take turns.
func (r *Rejections) Admits(running int, mayBeFull bool, now, timeOfDay time.Time) bool {
	if now.Before(r.pausedUntil) {
		return false
	}
	if !mayBeFull || running < r.seats {
		return true
	}
	window := riskWindowAt(timeOfDay)
	return r.risked != window && r.hasTurn(window)
}

// Sent records that a request is sent while a number of others of this entry run there.
func (r *Rejections) Sent(running int, timeOfDay time.Time) {
	if running >= r.seats {
		r.risked = riskWindowAt(timeOfDay)
	}
}

// Rejected records that the endpoint rejected a request. spread is a random number in [0, 1).
// The pause is as long as it takes until all entries, one after the other, may be rejected.
func (r *Rejections) Rejected(spread float64, now time.Time) {
	all := float64(max(r.sharer.Entries, 1)) / max(r.perS*riskShare, riskShare)
	pause := max(time.Duration(all*float64(time.Second)), minRejectionPause)
	r.pausedUntil = now.Add(pause + time.Duration(spread*float64(pause)))
}

func riskWindowAt(timeOfDay time.Time) int64 { return timeOfDay.UnixNano() / int64(riskWindow) }

// hasTurn reports whether the entry may risk a rejection in a window.
func (r *Rejections) hasTurn(window int64) bool {
	entries := int64(max(r.sharer.Entries, 1))
	if r.sharer.Rank < 0 {
		return false
	}
	turns := max(int64(r.perS*riskShare), 1)
	place := (int64(r.sharer.Rank) + int64(xxhash.Sum64String(r.endpoint)%uint64(entries)) + window*turns) % entries
	return place < turns
}
