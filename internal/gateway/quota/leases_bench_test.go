package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/demand"
)

// BenchmarkGrant measures one lease at the target size: 370 entries and 16 workspaces, each
// entry polling 2.5 times a second.
func BenchmarkGrant(b *testing.B) {
	const entries, workspaces = 370, 16
	total := demand.Total{Entries: entries, PerS: make(map[string]float64)}
	own := make(map[string]float64)
	var names []string
	for n := range workspaces {
		name := fmt.Sprintf("workspace%02d", n)
		names = append(names, name)
		total.PerS[name], own[name] = entries*100, 100
	}
	leases, now := NewLeases(), time.Unix(0, 0)
	last := make([]uint64, entries)
	for i := 0; b.Loop(); i++ {
		entry := i % entries
		now = now.Add(400 * time.Millisecond / entries)
		lease := leases.Grant(&LeaseRequest{
			Entry: fmt.Sprint("entry-", entry), LastID: last[entry], Demand: own, Total: total, Workspaces: names,
		}, now)
		last[entry] = lease.ID
	}
}
