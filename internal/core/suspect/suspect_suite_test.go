package suspect

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestMain fixes the seed of rapid, so that each run gives the same result, and
// prevents rapid from writing fail files.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestSuspect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "suspect")
}

var epoch = time.Unix(1000, 0)
