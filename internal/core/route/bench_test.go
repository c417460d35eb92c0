package route

import (
	"testing"

	"github.com/boragelead/boragelead/api/endpoint"
)

func benchmarkRoute(b *testing.B, endpoints, domains int) {
	r := testRouter()
	list := testCandidates(endpoints, domains)
	hashes := endpoint.PrefixHashes("m", "", string(make([]byte, 16*endpoint.PrefixBlockBytes)))
	for i, c := range list {
		events := &endpoint.CacheEvents{ID: c.ID}
		for j := range hashes[:i%16] {
			events.Events = append(events.Events, endpoint.CacheEvent{Seq: uint64(j + 1), Kind: endpoint.CacheAdd, Block: hashes[j]})
		}
		r.CacheEvents(events)
	}
	snapshot := r.Snapshot(list)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		req := testRequest()
		req.PrefixHashes = hashes
		for pb.Next() {
			d, err := r.Route(req, snapshot, epoch, SharedRandom)
			if err != nil {
				b.Fatal(err)
			}
			flight := d.Start(epoch)
			flight.Done(epoch)
		}
	})
}

func BenchmarkRoute192(b *testing.B)  { benchmarkRoute(b, 192, 1) }
func BenchmarkRoute2300(b *testing.B) { benchmarkRoute(b, 2300, 12) }
