// Package rapidtest runs the tests of a package that use rapid.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests with a fixed seed of rapid, so that each run checks the same
// cases, and prevents rapid from writing fail files. The flags of the command line
// take precedence.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
