package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
)

func announce(r *Registry, id string, seq uint64, now time.Time) {
	r.Announce(endpoint.Announcement{
		ID: id, Incarnation: 1, State: endpoint.StateReady, Slots: 8, LeaseMS: 6000,
		Models: []endpoint.LoadedModel{{Name: "m"}}, Load: endpoint.Load{Seq: seq, Running: int(seq % 8)},
	}, now)
}

// Guards against reads that allocate, because every request reads the registry.
func TestReadsDoNotAllocate(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRegistry()
	for i := range 2300 {
		announce(r, fmt.Sprintf("e%d", i), 1, time.Now())
	}
	g.Expect(r.Candidates("m")).To(gomega.HaveLen(2300))
	r.List()
	g.Expect(testing.AllocsPerRun(100, func() {
		_ = r.Candidates("m")
		_ = r.List()
	})).To(gomega.BeZero())
}

// Guards against a published slice that changes while a reader uses it.
func TestSnapshotIsStable(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewRegistry()
	now := time.Unix(0, 0)
	announce(r, "a", 1, now)
	announce(r, "b", 1, now)
	before := r.Candidates("m")
	announce(r, "a", 2, now)
	r.Withdraw(endpoint.Withdrawal{ID: "b", Incarnation: 1})
	g.Expect(before).To(gomega.HaveLen(2))
	g.Expect(before[0].Load.Seq).To(gomega.BeEquivalentTo(1))
	g.Expect(r.Candidates("m")).To(gomega.HaveLen(1))
	g.Expect(r.Announce(endpoint.Announcement{ID: "b", Incarnation: 1, LeaseMS: 6000}, now)).To(gomega.BeFalse())
	g.Expect(r.Announce(endpoint.Announcement{ID: "b", Incarnation: 2, LeaseMS: 6000}, now)).To(gomega.BeTrue())
	g.Expect(r.Expire(now.Add(7 * time.Second))).To(gomega.ConsistOf("a", "b"))
}

// Guards against a departure that is lost because it reached a daemon that does
// not know the endpoint yet.
func TestWithdrawalOfUnknownEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	host, other := NewRegistry(), NewRegistry()
	host.SetSelf(1)
	other.SetSelf(2)
	announce(host, "stops", 5, now)
	announce(host, "leaves", 5, now)
	g.Expect(other.Withdraw(endpoint.Withdrawal{ID: "stops", Incarnation: 1})).To(gomega.BeTrue())
	g.Expect(other.Withdraw(endpoint.Withdrawal{ID: "leaves", Incarnation: 1, DeadlineMS: 5000})).To(gomega.BeTrue())
	sets, ok := other.Changes(0, 10, now)
	g.Expect(ok).To(gomega.BeTrue())
	for i := range sets {
		host.Apply(&sets[i], now)
	}
	g.Expect(host.Find("stops")).To(gomega.BeNil())
	g.Expect(host.Find("leaves").State).To(gomega.Equal(endpoint.StateLeaving))
	announce(host, "leaves", 6, now)
	g.Expect(host.Find("leaves").State).To(gomega.Equal(endpoint.StateLeaving))
	host.Expire(now.Add(5500 * time.Millisecond))
	g.Expect(host.Find("leaves")).To(gomega.BeNil())
}

// BenchmarkCandidates reads all endpoints of a model and changes one of them every
// 1 or 100 reads.
func BenchmarkCandidates(b *testing.B) {
	for _, count := range []int{192, 2300} {
		for _, perChange := range []int{1, 100} {
			b.Run(fmt.Sprintf("endpoints=%d/reads-per-change=%d", count, perChange), func(b *testing.B) {
				r := NewRegistry()
				now := time.Now()
				for i := range count {
					announce(r, fmt.Sprintf("e%d", i), 1, now)
				}
				b.ReportAllocs()
				for i := range b.N {
					if i%perChange == 0 {
						announce(r, fmt.Sprintf("e%d", i%count), uint64(i+2), now)
					}
					_ = r.Candidates("m")
				}
			})
		}
	}
}
