package route

import "math/rand/v2"

// globalSource uses the global generator of math/rand/v2, which is safe for
// concurrent use.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// SharedRandom is the random source for routing requests. It is safe for
// concurrent use. Tests use a seeded source instead.
var SharedRandom = rand.New(globalSource{})
