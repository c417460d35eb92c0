package route

import "math/rand/v2"

// globalSource draws from the generator of the process, which is safe for
// concurrent use.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// SharedRandom is a random source for request paths. It is safe for concurrent
// use; tests pass a seeded source in its place.
var SharedRandom = rand.New(globalSource{})
