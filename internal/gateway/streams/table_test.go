package streams

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// Guards against an origin that is lost before its time, that changes, or that is kept
// forever.
func TestOriginsAreKeptForTheirTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		table := NewTable()
		type entry struct {
			version string
			at      time.Time
		}
		added := map[Key]entry{}
		now := epoch
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(50*time.Second)).Draw(t, "pause")))
			key := NewKey("w", fmt.Sprint(i))
			version := rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version")
			g.Expect(table.Add([]Origins{{Version: version, Keys: []Key{key}}}, now)).To(BeZero())
			table.Add([]Origins{{Version: "other", Keys: []Key{key}}}, now)
			added[key] = entry{version, now}
			for key, want := range added {
				version, known := table.Version(key, now)
				switch age := now.Sub(want.at); {
				case age < rotation:
					g.Expect(known).To(BeTrue())
				case age > 2*rotation+50*time.Second:
					g.Expect(known).To(BeFalse())
				}
				if known {
					g.Expect(version).To(Equal(want.version))
				}
			}
		}
	})
}

// Guards against a table that grows without bound, and against a copy for another
// replica that is incomplete.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	keys := make([]Key, maxOrigins+10)
	for i := range keys {
		keys[i] = NewKey("w", fmt.Sprint(i))
	}
	g.Expect(table.Add([]Origins{{Version: "v1", Keys: keys}}, epoch)).To(Equal(10))
	copied := NewTable()
	for _, origins := range table.All(1000, epoch) {
		g.Expect(len(origins.Keys)).To(BeNumerically("<=", 1000))
		copied.Add([]Origins{origins}, epoch)
	}
	version, known := copied.Version(keys[maxOrigins-1], epoch)
	g.Expect(known).To(BeTrue())
	g.Expect(version).To(Equal("v1"))
}

// Guards against one workspace that names the stream of another.
func TestKeysAreThoseOfAWorkspace(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NewKey("a", "attempt")).NotTo(Equal(NewKey("b", "attempt")))
	g.Expect(NewKey("a", "b\x00c")).NotTo(Equal(NewKey("a", "b")))
}
