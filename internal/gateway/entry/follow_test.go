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

func followedBy(p *followPlan) []string {
	var list []string
	for address, one := range p.known {
		if one.followed {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// Guards against entries that poll every replica of a large group, and against
// a leader that some entry does not poll: its sums would then be too small.
func TestLeaderIsFollowedAmongAFew(t *testing.T) {
	g := NewWithT(t)
	all := replicas(20)
	p := newFollowPlan("e", 4, all[:3])
	follow, leave := p.change(noon)
	g.Expect(follow).To(ConsistOf(all[:3]))
	g.Expect(leave).To(BeEmpty())
	p.named(all, noon)
	p.answered(all[0], all[17], noon)
	p.change(noon)
	g.Expect(followedBy(p)).To(And(HaveLen(4), ContainElement(all[17])))
	p.answered(all[17], all[9], noon.Add(time.Second))
	p.change(noon.Add(time.Second))
	g.Expect(followedBy(p)).To(And(HaveLen(4), ContainElement(all[9])))
}

// Guards against the loss of all polled replicas at once: others take their place.
func TestSilentReplicasAreReplaced(t *testing.T) {
	g := NewWithT(t)
	all := replicas(8)
	p := newFollowPlan("e", 4, all[:3])
	p.named(all, noon)
	p.answered(all[0], all[0], noon)
	p.change(noon)
	before := followedBy(p)
	for _, address := range before {
		p.failed(address, noon)
	}
	follow, leave := p.change(noon)
	g.Expect(follow).To(HaveLen(4))
	g.Expect(leave).To(ConsistOf(before))
}

// Guards against a minority that counts as a majority: without a leader every
// replica must be asked.
func TestAllAreFollowedWithoutALeader(t *testing.T) {
	g := NewWithT(t)
	all := replicas(8)
	p := newFollowPlan("e", 4, all[:3])
	p.named(all, noon)
	p.answered(all[0], "", noon)
	p.change(noon)
	g.Expect(followedBy(p)).To(HaveLen(8))
	g.Expect(p.leaderless(noon)).To(Equal(1))
	later := noon.Add(leaderlessTime)
	p.answered(all[1], all[1], later)
	p.change(later)
	g.Expect(followedBy(p)).To(And(HaveLen(4), ContainElement(all[1])))
}

// Guards against a replaced replica that is asked for ever, and against the
// seeds being forgotten while nobody can be reached.
func TestReplicasThatNobodyNamesAreForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := replicas(9)
		p := newFollowPlan("e", 4, all[:3])
		now := noon
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			address := all[rapid.IntRange(0, 8).Draw(t, "replica")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				p.named(all[:rapid.IntRange(1, 9).Draw(t, "named")], now)
			case 1:
				p.failed(address, now)
			case 2:
				p.answered(address, all[rapid.IntRange(0, 8).Draw(t, "leader")], now)
			case 3:
				p.answered(address, "", now)
			}
			p.change(now)
			if n := len(followedBy(p)); n < min(4, len(p.known)) || p.leaderless(now) == 0 && n > 4 {
				t.Fatalf("%d of %d replicas followed", n, len(p.known))
			}
		}
		for _, address := range all {
			p.failed(address, now)
		}
		p.change(now.Add(replicaMemory + time.Second))
		for _, seed := range all[:3] {
			if p.known[seed] == nil {
				t.Fatal("seed forgotten")
			}
		}
		if len(p.known) != 3 {
			t.Fatalf("%d replicas known, only the seeds are named", len(p.known))
		}
	})
}
