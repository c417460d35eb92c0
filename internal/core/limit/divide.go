package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Demand is the demand of one entry for slots of an endpoint.
type Demand struct {
	Entry string
	// Wanted is the number of requests, in flight and waiting, that the entry
	// could send to the endpoint.
	Wanted int
}

// Divide splits a limit between entries. Each entry first gets one slot as a
// floor. The remaining slots are divided by demand, and slots without demand are
// divided equally. The parts sum to the limit exactly. If the limit is smaller
// than the number of entries, entries with demand get their floor first, in an
// order that depends on the endpoint, so that each entry has slots at some
// endpoints. The result does not depend on the order of the demands, so that
// every entry computes the same division.
func Divide(endpoint string, limit int, demands []Demand) map[string]int {
	parts := make(map[string]int, len(demands))
	order := sortForFloors(endpoint, demands)
	remaining := limit
	for _, d := range order {
		parts[d.Entry] = 0
		if remaining > 0 {
			parts[d.Entry] = 1
			remaining--
		}
	}
	remaining -= divideByDemand(order, remaining, parts)
	for i := 0; remaining > 0 && len(order) > 0; i++ {
		parts[order[i%len(order)].Entry]++
		remaining--
	}
	return parts
}

// sortForFloors sorts entries with demand before those without. Within each group
// it sorts by a hash of endpoint and entry.
func sortForFloors(endpoint string, demands []Demand) []Demand {
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

// divideByDemand assigns up to available slots in proportion to unmet demand, by
// the largest remainder method. It returns the number of assigned slots.
func divideByDemand(order []Demand, available int, parts map[string]int) int {
	total := 0
	for _, d := range order {
		total += max(d.Wanted-parts[d.Entry], 0)
	}
	toAssign := min(available, total)
	if toAssign <= 0 {
		return 0
	}
	type remainder struct {
		entry string
		value int
	}
	remainders := make([]remainder, 0, len(order))
	assigned := 0
	for _, d := range order {
		unmet := max(d.Wanted-parts[d.Entry], 0)
		parts[d.Entry] += unmet * toAssign / total
		assigned += unmet * toAssign / total
		remainders = append(remainders, remainder{d.Entry, unmet * toAssign % total})
	}
	slices.SortStableFunc(remainders, func(a, b remainder) int { return b.value - a.value })
	for i := 0; assigned < toAssign; i++ {
		parts[remainders[i].entry]++
		assigned++
	}
	return toAssign
}
