// Package changes selects the changes that one daemon sends to another, by the
// versions that the other has acknowledged.
package changes

import (
	"cmp"
	"slices"
)

// Change is a value and the version at which it last changed.
type Change[T any] struct {
	Version uint64
	Value   T
}

// Oldest returns up to limit values in the order of their versions, and the version
// that they reach: the current one if none was left out.
func Oldest[T any](list []Change[T], limit int, current uint64) (values []T, reached uint64) {
	slices.SortFunc(list, func(a, b Change[T]) int { return cmp.Compare(a.Version, b.Version) })
	reached = current
	if len(list) > limit {
		list = list[:limit]
		reached = list[limit-1].Version
	}
	for i := range list {
		values = append(values, list[i].Value)
	}
	return values, reached
}
