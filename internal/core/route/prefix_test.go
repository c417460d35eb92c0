package route

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/api/endpoint"
)

func addEvents(id string, first uint64, blocks ...uint64) *endpoint.CacheEvents {
	batch := &endpoint.CacheEvents{ID: id}
	for i, b := range blocks {
		batch.Events = append(batch.Events, endpoint.CacheEvent{Seq: first + uint64(i), Kind: endpoint.CacheAdd, Block: b})
	}
	return batch
}

var _ = Describe("PrefixIndex", func() {
	// Guards against full confidence in cache hits after lost removal events.
	It("discounts hits after a gap until a reset", func() {
		r := testRouter()
		list := testCandidates(1, 1)
		req := testRequest()
		req.PrefixHashes = []uint64{10, 11}
		cached := func() int {
			d, err := r.Route(req, r.Snapshot(list), epoch, seeded(1))
			Expect(err).NotTo(HaveOccurred())
			return d.CachedTokens
		}
		Expect(r.CacheEvents(addEvents(list[0].ID, 1, 10, 11))).To(BeFalse())
		Expect(cached()).To(Equal(2 * tokensPerBlock))
		Expect(r.CacheEvents(addEvents(list[0].ID, 5, 12))).To(BeTrue())
		Expect(cached()).To(Equal(tokensPerBlock))
		reset := &endpoint.CacheEvents{ID: list[0].ID, Events: []endpoint.CacheEvent{{Seq: 6, Kind: endpoint.CacheReset}}}
		Expect(r.CacheEvents(reset)).To(BeFalse())
		Expect(cached()).To(BeZero())
		Expect(r.CacheEvents(addEvents(list[0].ID, 7, 10))).To(BeFalse())
		Expect(cached()).To(Equal(tokensPerBlock))
	})

	// Guards against undetected loss of the last events: no later event reveals the gap.
	It("asks for a reset when announced events do not arrive", func() {
		index := NewPrefixIndex(100)
		index.Apply(addEvents("e", 1, 10))
		Expect(index.ObserveNewest("e", 0, 3)).To(BeFalse())
		Expect(index.ObserveNewest("e", 0, 3)).To(BeTrue())
	})

	// Guards against unbounded memory and against a lack of free slots after many
	// restarts.
	It("stays bounded over many blocks and incarnations", func() {
		index := NewPrefixIndex(6400)
		for i := range uint64(20000) {
			batch := addEvents(fmt.Sprint("e", i%50), 1, i*7919, i*7919+1)
			batch.Incarnation = i
			index.Apply(batch)
		}
		Expect(index.Len()).To(BeNumerically("<=", 6400))
		Expect(len(index.freeSlots)).To(BeNumerically(">", maxSlots/2))
	})
})

// Compares the index with a reference implementation that keeps one set of blocks
// per endpoint.
func TestPrefixIndexAgainstSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewPrefixIndex(1 << 16)
		reference := map[string]map[uint64]bool{}
		seqs := map[string]uint64{}
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			id := fmt.Sprint("e", rapid.IntRange(0, 39).Draw(t, "endpoint"))
			kind := rapid.SampledFrom([]endpoint.CacheEventKind{"add", "add", "add", "add", "add", "remove", "reset"}).Draw(t, "kind")
			block := rapid.Uint64Range(0, 5).Draw(t, "block")
			seqs[id]++
			index.Apply(&endpoint.CacheEvents{ID: id, Events: []endpoint.CacheEvent{{Seq: seqs[id], Kind: kind, Block: block}}})
			if reference[id] == nil || kind == endpoint.CacheReset {
				reference[id] = map[uint64]bool{}
			}
			if kind != endpoint.CacheReset {
				reference[id][block] = kind == endpoint.CacheAdd
			}
		}
		depth := make([]uint16, maxSlots)
		hashes := []uint64{0, 1, 2, 3, 4, 5}
		index.match(hashes, depth, 0)
		for id, set := range reference {
			want := 0
			for want < len(hashes) && set[hashes[want]] {
				want++
			}
			if got := int(depth[index.slotOf(id, 0)]); got != want {
				t.Fatalf("%s: depth %d, want %d", id, got, want)
			}
		}
	})
}

var _ = Describe("Lengths", func() {
	// Guards against an expected length that depends on another workspace or
	// exceeds the maximum of the caller.
	It("learns per workspace and model", func() {
		l := NewLengths()
		Expect(l.Expect("w", "m", 1000)).To(Equal(defaultLength))
		for range 200 {
			l.Observe("w", "m", 400)
			l.Observe("v", "m", 20)
		}
		Expect(l.Expect("w", "m", 1000)).To(BeNumerically("~", 400, 5))
		Expect(l.Expect("v", "m", 1000)).To(BeNumerically("~", 20, 2))
		Expect(l.Expect("w", "m", 50)).To(Equal(50))
	})
})
