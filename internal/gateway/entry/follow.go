package entry

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// failureBackoff is how long a replica that did not answer is followed only
	// if too few others are available.
	failureBackoff = 3 * time.Second
	// leaderlessReportTTL is how long a replica's report that it knows no leader is
	// valid.
	leaderlessReportTTL = time.Second
	// replicaTTL is how long a replica is kept after it was last named by another
	// replica.
	replicaTTL = 10 * time.Second
)

// candidate is a replica that an entry may follow.
type candidate struct {
	// lastNamed is when a replica last listed it; zero for seeds never listed.
	lastNamed time.Time
	// lastFailed is when it last failed to answer; zero once it answers.
	lastFailed time.Time
	// lastLeaderless is when it last reported that it knows no leader; zero once it
	// knows one.
	lastLeaderless time.Time
	followed       bool
}

func (c *candidate) failedLately(now time.Time) bool {
	return !c.lastFailed.IsZero() && now.Sub(c.lastFailed) < failureBackoff
}

// followPlan chooses the replicas that an entry polls: the leader, which knows the
// sums over all entries, and a few others, so that the loss of some replicas does
// not delay changes. It does no I/O and is not safe for concurrent use.
type followPlan struct {
	// name is that of the entry; it is hashed to spread entries over replicas.
	name string
	// limit is the number of replicas to follow while a leader is known.
	limit      int
	seeds      []string
	candidates map[string]*candidate
	leader     string
}

func newFollowPlan(name string, limit int, seeds []string) *followPlan {
	p := &followPlan{name: name, limit: limit, candidates: make(map[string]*candidate)}
	p.setSeeds(seeds)
	return p
}

// setSeeds replaces the seed addresses.
func (p *followPlan) setSeeds(seeds []string) {
	p.seeds = seeds
	for _, address := range seeds {
		if p.candidates[address] == nil {
			p.candidates[address] = &candidate{}
		}
	}
}

// noteNamed records the replicas that a replica listed.
func (p *followPlan) noteNamed(addresses []string, now time.Time) {
	for _, address := range addresses {
		if p.candidates[address] == nil {
			p.candidates[address] = &candidate{}
		}
		p.candidates[address].lastNamed = now
	}
}

// noteAnswer records an answer of a replica and the leader that it named; "" if it
// knows none.
func (p *followPlan) noteAnswer(address, leader string, now time.Time) {
	c := p.candidates[address]
	if c == nil {
		return
	}
	c.lastFailed = time.Time{}
	c.lastLeaderless = time.Time{}
	if leader == "" {
		c.lastLeaderless = now
		return
	}
	p.leader = leader
}

func (p *followPlan) noteFailure(address string, now time.Time) {
	if c := p.candidates[address]; c != nil {
		c.lastFailed = now
	}
}

// countLeaderless returns the number of replicas that reported within
// leaderlessReportTTL that they know no leader.
func (p *followPlan) countLeaderless(now time.Time) int {
	count := 0
	for _, c := range p.candidates {
		if !c.lastLeaderless.IsZero() && now.Sub(c.lastLeaderless) < leaderlessReportTTL {
			count++
		}
	}
	return count
}

// update returns the replicas to start and to stop following. While any replica
// reports that it knows no leader, all replicas are followed, since the answers of
// a majority are needed.
func (p *followPlan) update(now time.Time) (follow, unfollow []string) {
	unfollow = p.dropUnnamed(now)
	limit := p.limit
	if p.countLeaderless(now) > 0 {
		limit = len(p.candidates)
	}
	for i, address := range p.preferenceOrder(now) {
		c := p.candidates[address]
		wanted := i < limit
		switch {
		case wanted && !c.followed:
			follow = append(follow, address)
		case !wanted && c.followed:
			unfollow = append(unfollow, address)
		}
		c.followed = wanted
	}
	return follow, unfollow
}

// dropUnnamed drops replicas that were not named within replicaTTL. Seeds are
// always kept.
func (p *followPlan) dropUnnamed(now time.Time) (unfollow []string) {
	for address, c := range p.candidates {
		if now.Sub(c.lastNamed) < replicaTTL || slices.Contains(p.seeds, address) {
			continue
		}
		// A replica that still answers is kept: either it belongs to the group, or
		// it will soon report that it does not.
		if c.followed && c.lastFailed.IsZero() {
			continue
		}
		if c.followed {
			unfollow = append(unfollow, address)
		}
		delete(p.candidates, address)
	}
	return unfollow
}

// preferenceOrder sorts the replicas: those that failed recently come last, the
// leader precedes the others, and followed ones precede those that are not. Ties
// are broken by spreadHash.
func (p *followPlan) preferenceOrder(now time.Time) []string {
	list := slices.Collect(maps.Keys(p.candidates))
	rank := func(address string) int {
		c := p.candidates[address]
		rank := 0
		if c.failedLately(now) {
			rank += 4
		}
		if address != p.leader {
			rank += 2
		}
		if !c.followed {
			rank++
		}
		return rank
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(spreadHash(p.name, a), spreadHash(p.name, b)), cmp.Compare(a, b))
	})
	return list
}

// orderFor sorts the replicas by their hash with a key. Those that failed recently come
// last.
func (p *followPlan) orderFor(key string, now time.Time) []string {
	list := slices.Collect(maps.Keys(p.candidates))
	slices.SortFunc(list, func(a, b string) int {
		failedA, failedB := p.candidates[a].failedLately(now), p.candidates[b].failedLately(now)
		if failedA != failedB {
			if failedA {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(spreadHash(key, a), spreadHash(key, b)), cmp.Compare(a, b))
	})
	return list
}

// spreadHash returns a hash of a name, for example of an entry, and a replica, so that
// different names prefer different replicas.
func spreadHash(name, replica string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + replica))
	return h.Sum64()
}
