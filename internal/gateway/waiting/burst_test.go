package waiting

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// plainSite is a plain service of 36 slots behind the entries of a large deployment. The load at
// rest uses 0.69 of the slots.
func plainSite() simSite {
	return simSite{
		entries: 86, endpoints: 6, slots: 6, places: 24, perS: 190, burst: 1.7, burstFrom: 5 * time.Second, burstTo: 8 * time.Second,
		end: 14 * time.Second, work: 130 * time.Millisecond, target: 300 * time.Millisecond, deadline: 4 * time.Second,
		ranks: []float64{0.27, 0.47, 0.26}, sumsEvery: 400 * time.Millisecond, sumsAge: 400 * time.Millisecond, workspaces: 16,
	}
}

func (r *simResult) String() string {
	text := fmt.Sprintf("%d offered, on time %.3f, served %.3f, %d sends, %d rejected, %d refused at once, %d expired, idle %.1f s; on time and served by rank", r.offered,
		share(r.onTime, r.offered), share(r.served, r.offered), r.sends, r.rejections, r.refused, r.expired, r.idle)
	for rank, n := range r.byRank {
		if n[0] > 0 {
			text += fmt.Sprintf(" %d: %.3f/%.3f", rank, share(n[1], n[0]), share(n[2], n[0]))
		}
	}
	return text
}

// add adds the figures of another play.
func (r *simResult) add(x *simResult) {
	r.offered, r.onTime, r.served = r.offered+x.offered, r.onTime+x.onTime, r.served+x.served
	r.sends, r.rejections, r.idle, r.credit = r.sends+x.sends, r.rejections+x.rejections, r.idle+x.idle, r.credit+x.credit
	r.refused, r.expired = r.refused+x.refused, r.expired+x.expired
	for rank := range x.byRank {
		for i, n := range x.byRank[rank] {
			r.byRank[rank][i] += n
		}
	}
	for quarter := range x.byQuarter {
		for i, n := range x.byQuarter[quarter] {
			r.byQuarter[quarter][i] += n
		}
	}
	for w, n := range x.byWorkspace {
		if r.byWorkspace[w] == nil {
			r.byWorkspace[w] = &[2]int{}
		}
		r.byWorkspace[w][0] += n[0]
		r.byWorkspace[w][1] += n[1]
	}
	r.estimated, r.waited = r.estimated+x.estimated, r.waited+x.waited
}

// plays is the number of seeds of a simulation.
const plays = 8

// playAll plays a site with several seeds.
func playAll(site simSite, plays uint64) *simResult {
	sum := &simResult{byWorkspace: map[int]*[2]int{}}
	for seed := range plays {
		sum.add(playSim(site, seed))
	}
	return sum
}

func share(part, of int) float64 { return float64(part) / float64(max(of, 1)) }

// compare plays a site with the queue and with polling, and logs both.
func compare(t *testing.T, site simSite, plays uint64) (queue, polling *simResult) {
	queue = playAll(site, plays)
	site.polling = true
	polling = playAll(site, plays)
	t.Logf("%d entries, queue:   %s", site.entries, queue)
	t.Logf("%d entries, polling: %s", site.entries, polling)
	return queue, polling
}

// Guards against a queue that serves fewer callers on time in a burst than polling did, that
// starves a rank, or that rejects as many requests at full endpoints.
func TestBurst(t *testing.T) {
	for _, c := range []struct {
		entries int
		// gain is the least gain of the share of requests on time, and idle the most slot
		// time that may be free while requests wait, as a part of all slot time.
		gain, idle float64
		// order is by how much more of rank 0 than of rank 2 is on time. Entries with little
		// to order have no order, up to the noise.
		order float64
	}{{1, 0.2, 0, 0.25}, {10, 0.06, 0.01, 0.15}, {26, 0.02, 0.02, 0.05}, {86, 0, 0.02, -0.02}} {
		site := plainSite()
		site.entries = c.entries
		queue, polling := compare(t, site, plays)
		g := NewWithT(t)
		g.Expect(share(queue.onTime, queue.offered)).To(BeNumerically(">", share(polling.onTime, polling.offered)+c.gain))
		g.Expect(share(queue.served, queue.offered)).To(BeNumerically(">", 0.99))
		g.Expect(queue.rejections).To(BeNumerically("<=", polling.rejections/2))
		g.Expect(queue.idle).To(BeNumerically("<=", c.idle*plays*36*site.end.Seconds()))
		for rank := range site.ranks {
			g.Expect(share(queue.byRank[rank][2], queue.byRank[rank][0])).To(BeNumerically(">", 0.98), "rank %d", rank)
		}
		first, last := queue.byRank[0], queue.byRank[2]
		g.Expect(share(first[1], first[0])).To(BeNumerically(">", share(last[1], last[0])+c.order))
	}
}

// Guards against the same where the burst needs 1.45 times what the endpoints bear: some requests
// cannot be served in time, whatever their order.
func TestBurstFarBeyondTheSlots(t *testing.T) {
	for _, entries := range []int{1, 10, 86} {
		site := plainSite()
		site.entries, site.work = entries, 160*time.Millisecond
		queue, polling := compare(t, site, plays)
		g := NewWithT(t)
		g.Expect(queue.onTime).To(BeNumerically(">", polling.onTime))
		g.Expect(share(queue.served, queue.offered)).To(BeNumerically(">", 0.9))
		g.Expect(queue.rejections).To(BeNumerically("<=", polling.rejections/4))
		t.Logf("waited %.2f of the estimate", queue.waited/queue.estimated)
		g.Expect(queue.waited / queue.estimated).To(BeNumerically("~", 1.05, 0.45))
		for rank, least := range []float64{0.99, 0.99, 0.6} {
			g.Expect(share(queue.byRank[rank][2], queue.byRank[rank][0])).To(BeNumerically(">", least), "rank %d", rank)
		}
	}
}

// Guards against a queue that delays requests while there is room.
func TestOrdinaryLoad(t *testing.T) {
	for _, entries := range []int{1, 10, 86} {
		for _, sumsEvery := range []time.Duration{0, 400 * time.Millisecond} {
			site := plainSite()
			site.entries, site.burst, site.sumsEvery = entries, 1, sumsEvery
			queue, polling := compare(t, site, plays)
			g := NewWithT(t)
			g.Expect(share(queue.onTime, queue.offered)).To(BeNumerically(">", share(polling.onTime, polling.offered)-0.01))
			g.Expect(queue.served).To(Equal(queue.offered))
			g.Expect(queue.idle).To(BeNumerically("<", 1))
		}
	}
}

// Guards against an entry that refuses requests which it could serve, or that sends as many
// rejected requests as before, while no replica tells it the sums of all entries.
func TestBurstWithoutSums(t *testing.T) {
	for _, entries := range []int{1, 86} {
		site := plainSite()
		site.entries, site.sumsEvery = entries, 0
		queue, polling := compare(t, site, plays)
		g := NewWithT(t)
		g.Expect(share(queue.onTime, queue.offered)).To(BeNumerically(">", share(polling.onTime, polling.offered)-0.02))
		g.Expect(share(queue.served, queue.offered)).To(BeNumerically(">", 0.99))
		g.Expect(queue.rejections).To(BeNumerically("<=", polling.rejections/2))
	}
}

// Guards against a workspace whose flood takes the places of the others.
func TestFlood(t *testing.T) {
	site := plainSite()
	site.entries, site.burst, site.flood, site.burstTo, site.end = 1, 1, 7.5, 11500*time.Millisecond, 16*time.Second
	queue, polling := compare(t, site, 2)
	g := NewWithT(t)
	flooder, others := byFlood(queue)
	_, before := byFlood(polling)
	t.Logf("on time: flooding workspace %.3f, others %.3f, with polling %.3f", flooder, others, before)
	g.Expect(others).To(BeNumerically(">", before+0.5))
	g.Expect(others).To(BeNumerically(">", flooder+0.2))
}

// byFlood returns the share on time of the flooding workspace and of the others.
func byFlood(r *simResult) (flooder, others float64) {
	var sum [2]int
	for w, n := range r.byWorkspace {
		if w > 0 {
			sum[0] += n[0]
			sum[1] += n[1]
		}
	}
	return share(r.byWorkspace[0][1], r.byWorkspace[0][0]), share(sum[1], sum[0])
}

// Guards against callers of one domain that are served later because those of another one have moved
// to a third, and against places that stay free because shares follow the former demand.
func TestCallersMoveBetweenDomains(t *testing.T) {
	for _, entries := range []int{12, 84} {
		site := plainSite()
		site.entries, site.moves = entries, true
		queue, polling := compare(t, site, plays)
		var onTime [4]float64
		for quarter, n := range queue.byQuarter {
			onTime[quarter] = share(n[1], n[0])
		}
		t.Logf("on time by quarter %.3f", onTime)
		g := NewWithT(t)
		g.Expect(queue.onTime).To(BeNumerically(">", polling.onTime))
		for _, quarter := range []int{0, 2, 3} {
			g.Expect(onTime[quarter]).To(BeNumerically(">", share(polling.onTime, polling.offered)))
		}
	}
}
