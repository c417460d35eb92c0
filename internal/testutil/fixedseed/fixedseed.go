// Package fixedseed gives property tests that import it a fixed seed, so that
// a run has the same verdict each time. The flag -rapid.seed overrides it.
package fixedseed

import (
	"flag"

	// The flag is registered by the init function of rapid.
	_ "pgregory.net/rapid"
)

// seed is used when the command line names none.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
