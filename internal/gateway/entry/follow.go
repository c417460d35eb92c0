package entry

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// failedTime is how long a replica that did not answer is followed only
	// where no other is left.
	failedTime = 3 * time.Second
	// leaderlessTime is how long the word of a replica that it knows no leader counts.
	leaderlessTime = time.Second
	// replicaMemory is how long a replica that no other names may be followed.
	replicaMemory = 10 * time.Second
)

// candidate is a replica that an entry may follow.
type candidate struct {
	// named is when another replica or the settings last named it.
	named time.Time
	// failed is when it last did not answer.
	failed time.Time
	// leaderless is when it last said that it knows no leader.
	leaderless time.Time
	followed   bool
}

// followPlan chooses the replicas that an entry follows: the leader, which
// knows the sums over all entries, and a few more, so that the loss of some
// does not delay any news. It does no I/O and is not safe for concurrent use.
type followPlan struct {
	// name of the entry spreads entries over replicas.
	name string
	// limit is the number of replicas to follow while there is a leader.
	limit  int
	seeds  []string
	known  map[string]*candidate
	leader string
}

func newFollowPlan(name string, limit int, seeds []string) *followPlan {
	p := &followPlan{name: name, limit: limit, known: make(map[string]*candidate)}
	p.setSeeds(seeds)
	return p
}

// setSeeds takes the seeds of new settings.
func (p *followPlan) setSeeds(seeds []string) {
	p.seeds = seeds
	for _, address := range seeds {
		if p.known[address] == nil {
			p.known[address] = &candidate{}
		}
	}
}

// named notes which replicas there are.
func (p *followPlan) named(addresses []string, now time.Time) {
	for _, address := range addresses {
		if p.known[address] == nil {
			p.known[address] = &candidate{}
		}
		p.known[address].named = now
	}
}

// answered notes what a replica said of the leader; "" where it knows none.
func (p *followPlan) answered(address, leader string, now time.Time) {
	one := p.known[address]
	if one == nil {
		return
	}
	one.failed = time.Time{}
	one.leaderless = time.Time{}
	if leader == "" {
		one.leaderless = now
		return
	}
	p.leader = leader
}

func (p *followPlan) failed(address string, now time.Time) {
	if one := p.known[address]; one != nil {
		one.failed = now
	}
}

// leaderless counts the replicas that lately said that they know no leader.
func (p *followPlan) leaderless(now time.Time) int {
	count := 0
	for _, one := range p.known {
		if !one.leaderless.IsZero() && now.Sub(one.leaderless) < leaderlessTime {
			count++
		}
	}
	return count
}

// change returns the replicas to follow from now on and those to leave.
// Without a leader all are followed: only what a majority says counts then.
func (p *followPlan) change(now time.Time) (follow, leave []string) {
	leave = p.forget(now)
	limit := p.limit
	if p.leaderless(now) > 0 {
		limit = len(p.known)
	}
	for at, address := range p.order(now) {
		one := p.known[address]
		wanted := at < limit
		switch {
		case wanted && !one.followed:
			follow = append(follow, address)
		case !wanted && one.followed:
			leave = append(leave, address)
		}
		one.followed = wanted
	}
	return follow, leave
}

// forget drops replicas that are no longer named. The seeds are always kept.
func (p *followPlan) forget(now time.Time) (leave []string) {
	for address, one := range p.known {
		if now.Sub(one.named) < replicaMemory || slices.Contains(p.seeds, address) {
			continue
		}
		// One that answers is part of the system, or says soon that it is not.
		if one.followed && one.failed.IsZero() {
			continue
		}
		if one.followed {
			leave = append(leave, address)
		}
		delete(p.known, address)
	}
	return leave
}

// order sorts the replicas: the leader, those that answer, those that are
// followed already, and the rest in an order of this entry's own.
func (p *followPlan) order(now time.Time) []string {
	list := make([]string, 0, len(p.known))
	for address := range p.known {
		list = append(list, address)
	}
	rank := func(address string) int {
		one := p.known[address]
		rank := 0
		if !one.failed.IsZero() && now.Sub(one.failed) < failedTime {
			rank += 4
		}
		if address != p.leader {
			rank += 2
		}
		if !one.followed {
			rank++
		}
		return rank
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(p.spread(a), p.spread(b)), cmp.Compare(a, b))
	})
	return list
}

func (p *followPlan) spread(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.name + "\x00" + address))
	return h.Sum64()
}
