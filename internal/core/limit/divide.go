package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Demand is what one entry wants of an endpoint.
type Demand struct {
	Entry string
	// Wanted is the number of requests in flight and waiting that the entry
	// could have there.
	Wanted int
}

// Divide splits a limit between entries: first one slot for each as a floor,
// then the rest by demand, and what nobody demands equally. The parts sum to
// the limit exactly. Where the limit is smaller than the number of entries,
// the floors go to those with demand first, in an order that depends on the
// endpoint, so that each entry has slots at some endpoints. The result does
// not depend on the order of the demands; every entry computes the same.
func Divide(endpoint string, limit int, demands []Demand) map[string]int {
	parts := make(map[string]int, len(demands))
	order := rotated(endpoint, demands)
	left := limit
	for _, d := range order {
		parts[d.Entry] = 0
		if left > 0 {
			parts[d.Entry] = 1
			left--
		}
	}
	left -= proportional(order, left, parts)
	for i := 0; left > 0 && len(order) > 0; i++ {
		parts[order[i%len(order)].Entry]++
		left--
	}
	return parts
}

// rotated puts entries with demand first, each group in the order of a hash
// of endpoint and entry.
func rotated(endpoint string, demands []Demand) []Demand {
	order := slices.Clone(demands)
	key := func(d *Demand) uint64 { return xxhash.Sum64String(endpoint + "\x00" + d.Entry) }
	slices.SortFunc(order, func(a, b Demand) int {
		if (a.Wanted > 0) != (b.Wanted > 0) {
			if a.Wanted > 0 {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(key(&a), key(&b)), cmp.Compare(a.Entry, b.Entry))
	})
	return order
}

// proportional hands out up to left slots by unmet demand, with the largest
// remainders rounded up, and returns how many it gave.
func proportional(order []Demand, left int, parts map[string]int) int {
	total := 0
	for _, d := range order {
		total += max(d.Wanted-parts[d.Entry], 0)
	}
	give := min(left, total)
	if give <= 0 {
		return 0
	}
	type remainder struct {
		entry string
		rest  int
	}
	rests := make([]remainder, 0, len(order))
	given := 0
	for _, d := range order {
		unmet := max(d.Wanted-parts[d.Entry], 0)
		parts[d.Entry] += unmet * give / total
		given += unmet * give / total
		rests = append(rests, remainder{d.Entry, unmet * give % total})
	}
	slices.SortStableFunc(rests, func(a, b remainder) int { return b.rest - a.rest })
	for i := 0; given < give; i++ {
		parts[rests[i].entry]++
		given++
	}
	return give
}
