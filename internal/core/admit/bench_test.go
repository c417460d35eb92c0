package admit

import (
	"strconv"
	"sync/atomic"
	"testing"
)

// BenchmarkAdmit measures one Offer and one Done while other work waits.
func BenchmarkAdmit(b *testing.B) {
	a := New(testDocument())
	a.SetCapacity(64, 64, epoch)
	var held atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		caller := strconv.Itoa(int(held.Add(1)))
		for pb.Next() {
			t, started, err := a.Offer(Request{Workspace: "w1", Caller: caller, Rank: 1, Tokens: 300}, epoch)
			if err == nil && started {
				a.Done(t, 280, epoch)
			}
		}
	})
}
