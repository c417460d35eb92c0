// Package fixedseed sets a fixed seed for the property tests of the packages
// that import it, so that each run has the same result. The flag -rapid.seed
// overrides the seed.
package fixedseed

import (
	"flag"

	// The import is needed because the init function of rapid registers the flag.
	_ "pgregory.net/rapid"
)

// seed is used if the command line sets none.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
