package limit

import "github.com/cespare/xxhash/v2"

const (
	// minEvenRate is the rate per entry, in requests per second, below which only some
	// entries share a limit. Many entries that each send a request now and then would
	// at times send far more together than the limit allows.
	minEvenRate = 0.25
	// holderRate is the least rate of each entry that shares such a limit.
	holderRate = 0.5
)

// Sharer is an entry among those that share the limits of endpoints.
type Sharer struct {
	// Rank is the position of the entry among all, or -1 if it is not known.
	Rank int
	// Entries is the number of entries.
	Entries int
	// DemandShare is the part of the demand for the endpoint's service that the limits
	// are divided by; those of all entries add up to 1.
	DemandShare float64
}

// RateShare returns the part of an endpoint's request rate that an entry may use, in
// requests per second. A limit that is small for the number of entries is divided
// evenly among a few of them, which differ from endpoint to endpoint, so that each
// entry has a share of some endpoints.
func RateShare(endpoint string, perS float64, e Sharer) float64 {
	entries := max(e.Entries, 1)
	if perS >= minEvenRate*float64(entries) {
		return perS * e.DemandShare
	}
	holders := min(max(int(perS/holderRate), 1), entries)
	offset := int(xxhash.Sum64String(endpoint) % uint64(entries))
	if e.Rank < 0 || (e.Rank+offset)%entries >= holders {
		return 0
	}
	return perS / float64(holders)
}
