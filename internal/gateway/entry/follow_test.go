package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func replicas(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.0.%d:1", i))
	}
	return list
}

func followedAddresses(p *followPlan) []string {
	var list []string
	for address, c := range p.candidates {
		if c.followed {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// Guards against two faults: an entry polls every replica of a large group, or
// does not poll the leader. Without its poll the sums of the leader are too small.
func TestLeaderIsAlwaysFollowed(t *testing.T) {
	g := NewWithT(t)
	all := replicas(20)
	p := newFollowPlan("e", 4, all[:3])
	follow, leave := p.update(noon)
	g.Expect(follow).To(ConsistOf(all[:3]))
	g.Expect(leave).To(BeEmpty())
	p.noteNamed(all, noon)
	p.noteAnswer(all[0], all[17], noon)
	p.update(noon)
	g.Expect(followedAddresses(p)).To(And(HaveLen(4), ContainElement(all[17])))
	p.noteAnswer(all[17], all[9], noon.Add(time.Second))
	p.update(noon.Add(time.Second))
	g.Expect(followedAddresses(p)).To(And(HaveLen(4), ContainElement(all[9])))
}

// Guards against an entry that stays with its replicas when all of them fail at
// once: others must take their place.
func TestFailedReplicasAreReplaced(t *testing.T) {
	g := NewWithT(t)
	all := replicas(8)
	p := newFollowPlan("e", 4, all[:3])
	p.noteNamed(all, noon)
	p.noteAnswer(all[0], all[0], noon)
	p.update(noon)
	before := followedAddresses(p)
	for _, address := range before {
		p.noteFailure(address, noon)
	}
	follow, leave := p.update(noon)
	g.Expect(follow).To(HaveLen(4))
	g.Expect(leave).To(ConsistOf(before))
}

// Guards against a minority without a leader that is taken for a majority: while a
// replica knows no leader, every replica must be polled.
func TestAllReplicasAreFollowedWithoutLeader(t *testing.T) {
	g := NewWithT(t)
	all := replicas(8)
	p := newFollowPlan("e", 4, all[:3])
	p.noteNamed(all, noon)
	p.noteAnswer(all[0], "", noon)
	p.update(noon)
	g.Expect(followedAddresses(p)).To(HaveLen(8))
	g.Expect(p.countLeaderless(noon)).To(Equal(1))
	later := noon.Add(leaderlessReportTTL)
	p.noteAnswer(all[1], all[1], later)
	p.update(later)
	g.Expect(followedAddresses(p)).To(And(HaveLen(4), ContainElement(all[1])))
}

// Guards against polling a replaced replica forever, and against dropping the seeds
// while no replica can be reached.
func TestUnnamedReplicasAreDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := replicas(9)
		p := newFollowPlan("e", 4, all[:3])
		now := noon
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			address := all[rapid.IntRange(0, 8).Draw(t, "replica")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				p.noteNamed(all[:rapid.IntRange(1, 9).Draw(t, "named")], now)
			case 1:
				p.noteFailure(address, now)
			case 2:
				p.noteAnswer(address, all[rapid.IntRange(0, 8).Draw(t, "leader")], now)
			case 3:
				p.noteAnswer(address, "", now)
			}
			p.update(now)
			if n := len(followedAddresses(p)); n < min(4, len(p.candidates)) || p.countLeaderless(now) == 0 && n > 4 {
				t.Fatalf("%d of %d replicas followed", n, len(p.candidates))
			}
		}
		for _, address := range all {
			p.noteFailure(address, now)
		}
		p.update(now.Add(replicaTTL + time.Second))
		for _, seed := range all[:3] {
			if p.candidates[seed] == nil {
				t.Fatal("seed dropped while no replica answers")
			}
		}
		if len(p.candidates) != 3 {
			t.Fatalf("%d replicas known, want only the 3 seeds", len(p.candidates))
		}
	})
}

// Guards against origins of streams that all go to the same replicas, and against
// entries that look for them at other replicas than those that got them.
func TestOrderForSpreadsKeys(t *testing.T) {
	g := NewWithT(t)
	seeds := []string{"10.0.0.1:99", "10.0.0.2:99", "10.0.0.3:99", "10.0.0.4:99", "10.0.0.5:99"}
	first, second := newFollowPlan("a", 4, seeds), newFollowPlan("b", 4, seeds)
	counts := map[string]int{}
	const keys = 5000
	for i := range keys {
		key := fmt.Sprint(i)
		order := first.orderFor(key, noon)
		g.Expect(second.orderFor(key, noon)).To(Equal(order))
		counts[order[0]]++
		counts[order[1]]++
	}
	for _, seed := range seeds {
		g.Expect(counts[seed]).To(BeNumerically("~", 2*keys/len(seeds), keys/10))
	}
	first.noteFailure(seeds[0], noon)
	g.Expect(first.orderFor("key", noon)[4]).To(Equal(seeds[0]))
}
