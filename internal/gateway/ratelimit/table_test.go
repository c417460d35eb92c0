package ratelimit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

var epoch = time.Unix(1000, 0)

func named(perS float64) Limit { return Limit{Named: true, PerS: perS} }

// Guards against a limit that outlives its end, its endpoint's incarnation or the
// answers of the endpoint, and against one that stops an endpoint for good.
func TestLimitHoldsAsLongAsItIsNamed(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	g.Expect(table.Observe("e", 1, Limit{}, epoch)).To(BeFalse())
	g.Expect(table.Observe("e", 1, named(3), epoch)).To(BeTrue())
	g.Expect(table.Limits(epoch)).To(Equal(map[string]EndpointLimit{"e": {Born: 1, PerS: 3}}))
	g.Expect(table.Observe("e", 1, Limit{}, epoch.Add(-time.Second))).To(BeFalse())
	g.Expect(table.Limits(epoch)).To(HaveLen(1))
	g.Expect(table.Observe("e", 1, Limit{}, epoch.Add(time.Second))).To(BeTrue())
	g.Expect(table.Limits(epoch)).To(BeEmpty())
	table.Observe("e", 1, named(0), epoch.Add(2*time.Second))
	g.Expect(table.Limits(epoch.Add(2 * time.Second))["e"].PerS).To(Equal(minPerS))
	g.Expect(table.Limits(epoch.Add(3*time.Second + limitTTL))).To(BeEmpty())
	g.Expect(table.Observe("e", 2, Limit{}, epoch.Add(3*time.Second))).To(BeTrue())
	g.Expect(table.Observe("e", 1, named(3), epoch.Add(4*time.Second))).To(BeFalse())
	g.Expect(table.Limits(epoch.Add(4 * time.Second))).To(BeEmpty())
	table.Expire(epoch.Add(4*time.Second + limitTTL))
	g.Expect(table.records).To(BeEmpty())
}

// Guards against entries that learn of a limit or of its end only from their own
// answers, against an older answer that wins because it arrives later, and against
// reports that circulate endlessly.
func TestLimitsTravel(t *testing.T) {
	g := NewWithT(t)
	hub, now := NewTable(), epoch
	entries := []*Table{NewTable(), NewTable(), NewTable()}
	sent, received := make([]uint64, 3), make([]uint64, 3)
	exchange := func() (reports int) {
		for i, entry := range entries {
			list, next := entry.Changes(sent[i], true, now)
			sent[i], reports = next, reports+len(list)
			hub.Merge(list, now)
			list, next = hub.Changes(received[i], false, now)
			received[i], reports = next, reports+len(list)
			entry.Merge(list, now)
		}
		return reports
	}
	entries[0].Observe("e", 1, named(3), now)
	now = now.Add(100 * time.Millisecond)
	entries[2].Observe("e", 1, named(5), now)
	for range 3 {
		exchange()
	}
	for _, entry := range entries {
		g.Expect(entry.Limits(now)["e"].PerS).To(Equal(5.0))
	}
	g.Expect(exchange()).To(BeZero())
	for range 10 {
		now = now.Add(time.Second)
		entries[0].Observe("e", 1, named(5), now)
		g.Expect(exchange()).To(BeZero())
	}
	now = now.Add(time.Second)
	entries[1].Observe("e", 1, Limit{}, now)
	for range 2 {
		exchange()
	}
	for _, entry := range entries {
		g.Expect(entry.Limits(now)).To(BeEmpty())
	}
	fresh := NewTable()
	entries[1].Observe("f", 1, named(1), now)
	exchange()
	list, _ := hub.Changes(0, false, now)
	fresh.Merge(list, now)
	g.Expect(fresh.Limits(now)).To(HaveKey("f"))
}

// Guards against memory and messages that grow with the number of endpoints.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	for i := range maxRecords + 10 {
		table.Observe(fmt.Sprint("e", i), 1, named(1), epoch)
	}
	g.Expect(table.records).To(HaveLen(maxRecords))
	total, version := 0, uint64(0)
	for {
		list, next := table.Changes(version, true, epoch)
		if len(list) == 0 {
			break
		}
		g.Expect(len(list)).To(BeNumerically("<=", maxReports))
		total, version = total+len(list), next
	}
	g.Expect(total).To(Equal(maxRecords))
}

// Guards against reports that take more than the 9 KB/s of an entry while as many
// endpoints as there are daemons limit their rate.
func TestReportSize(t *testing.T) {
	const limited, polledReplicas, budgetPerS = 370, 4, 9000
	g := NewWithT(t)
	report := Report{Endpoint: "i-884db85018", Born: 1789865635215, Limit: named(3.8), AgeMS: 1500}
	data, err := msgpack.Marshal(&report)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(float64(len(data)*limited*polledReplicas) / refreshInterval.Seconds()).To(BeNumerically("<", budgetPerS))
	t.Logf("a report takes %d bytes", len(data))
}
