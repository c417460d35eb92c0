package entry

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/quota"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// pollWait is how long a replica holds a poll without news. It is also the
	// interval at which counts are sent: an entry that is killed loses those of
	// one interval.
	pollWait = 400 * time.Millisecond
	// pollTimeout ends a poll whose replica is silent.
	pollTimeout = 1200 * time.Millisecond
	// pollPause is the pause after a failed poll.
	pollPause = 100 * time.Millisecond
	// spendTimeout bounds the wait for the common quota. A refusal must not be
	// held back, and the answer takes two short delays.
	spendTimeout = 60 * time.Millisecond
	// spendPause is the time without a further question after one that failed.
	spendPause = 500 * time.Millisecond
	// maxDenied bounds the time for which an answer of the common quota counts.
	maxDenied = 300 * time.Millisecond
	// leaderlessTime is how long the word of a replica that it knows no leader counts.
	leaderlessTime = time.Second
	// replicaMemory is how long a replica that no other names is still asked.
	replicaMemory = 10 * time.Second
)

// links follows all state replicas.
type links struct {
	entry *Entry

	mu        sync.Mutex
	directory *registry.Directory
	// replicas holds the addresses that are followed and when each was last named.
	replicas map[string]time.Time
	// leaderless holds when each replica last said that it knows no leader.
	leaderless map[string]time.Time
	// leader is the replica that led when it answered last; "" before any did.
	leader atomic.Pointer[string]
	// count is the number of entries that the replicas named last.
	count atomic.Int64
}

// entries returns the number of entries, 0 before any replica answered.
func (l *links) entries() int { return int(l.count.Load()) }

func newLinks(e *Entry) *links {
	return &links{entry: e, directory: registry.NewDirectory(), replicas: make(map[string]time.Time), leaderless: make(map[string]time.Time)}
}

// PeerAddresses turns the addresses of seeds into those for calls between daemons.
func PeerAddresses(seeds []string, peerPort int) []string {
	list := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		list = append(list, net.JoinHostPort(host, strconv.Itoa(peerPort)))
	}
	return list
}

func (l *links) start() {
	s := l.entry.options.Settings
	l.follow(PeerAddresses(s.Seeds, s.PeerPort))
}

// follow starts to poll replicas that are new.
func (l *links) follow(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, address := range addresses {
		if _, known := l.replicas[address]; !known {
			l.entry.group.Go(func() { l.poll(address) })
		}
		l.replicas[address] = now
	}
}

// isStale reports whether a replica that does not answer is no longer named by
// others, and forgets it. The seeds are always kept.
func (l *links) isStale(address string) bool {
	s := l.entry.options.Settings
	if slices.Contains(PeerAddresses(s.Seeds, s.PeerPort), address) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.replicas[address]) < replicaMemory {
		return false
	}
	delete(l.replicas, address)
	l.directory.Forget(address)
	return true
}

// poll follows one replica until it is no longer part of the system.
func (l *links) poll(address string) {
	e := l.entry
	run, change := uint64(0), uint64(0)
	connected := false
	for e.ctx.Err() == nil {
		demand := e.quotas.Demand(time.Now())
		reply, err := l.ask(address, run, change, demand)
		if err != nil {
			if connected {
				e.log.Warn("State replica lost.", zap.String("replica", address), zap.Error(err))
			}
			connected = false
			if l.isStale(address) {
				return
			}
			l.pause()
			continue
		}
		if !connected {
			e.log.Info("State replica reached.", zap.String("replica", address))
		}
		connected = true
		l.take(address, reply, demand)
		run, change = reply.Run, reply.Change
	}
}

func (l *links) pause() {
	select {
	case <-time.After(pollPause):
	case <-l.entry.ctx.Done():
	}
}

func (l *links) ask(address string, run, change uint64, demand map[string]float64) (*link.PollReply, error) {
	e := l.entry
	now := time.Now()
	request := &link.PollRequest{
		Entry: e.options.Settings.Name, Incarnation: e.incarnation, Run: run, Change: change,
		WaitMS: pollWait.Milliseconds(), Usage: e.counter.Report(e.clock.Now()), Demand: demand,
		Load: e.board.Load(), Crashes: e.crashes.payload(now),
	}
	if active := e.active.Load(); active != nil {
		request.Generation = active.generation
	}
	params, err := link.Encode(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(e.ctx, pollTimeout)
	defer cancel()
	data, err := e.options.Caller.Call(ctx, address, link.MethodPoll, params)
	if err != nil {
		return nil, err
	}
	reply := &link.PollReply{}
	return reply, link.Decode(data, reply)
}

// noteLeader notes what a replica says of the leader. The common quota counts
// as lost while a majority of the replicas knows none.
func (l *links) noteLeader(address string, reply *link.PollReply) {
	now := time.Now()
	if reply.Leads {
		l.leader.Store(&address)
	}
	l.mu.Lock()
	if reply.Leaderless {
		l.leaderless[address] = now
	} else {
		delete(l.leaderless, address)
	}
	count := 0
	for _, at := range l.leaderless {
		if now.Sub(at) < leaderlessTime {
			count++
		}
	}
	l.mu.Unlock()
	l.entry.quotas.SetLeaderless(len(reply.Replicas) > 0 && count > len(reply.Replicas)/2)
}

// spend asks the leader for what the own part of a quota cannot cover. Without
// an answer in time the request is not granted.
func (l *links) spend(ctx context.Context, workspace string, cost float64, own quota.Decision) quota.Decision {
	e := l.entry
	leader := l.leader.Load()
	if leader == nil {
		return own
	}
	params, err := link.Encode(&link.SpendRequest{Workspace: workspace, Cost: cost})
	if err != nil {
		return own
	}
	ctx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	data, err := e.options.Caller.Call(ctx, *leader, link.MethodSpend, params)
	reply := &link.SpendReply{}
	if err == nil {
		err = link.Decode(data, reply)
	}
	now := time.Now()
	if err != nil {
		e.log.Warn("Common quota not reached.", zap.String("workspace", workspace), zap.String("replica", *leader), zap.Error(err))
		e.quotas.Denied(workspace, 0, now.Add(spendPause))
		return own
	}
	if reply.Granted {
		return quota.Decision{Granted: true}
	}
	wait := time.Duration(reply.WaitMS) * time.Millisecond
	e.quotas.Denied(workspace, cost, now.Add(min(wait, maxDenied)))
	return quota.Decision{Wait: min(wait, own.Wait)}
}

// take applies the news of a replica.
func (l *links) take(address string, reply *link.PollReply, demand map[string]float64) {
	e := l.entry
	if reply.Generation > 0 {
		e.apply(reply.Generation, reply.Document)
	}
	e.clock.Observe(address, time.Unix(0, reply.TimeNS), bootclock.Now())
	e.quotas.SetTotal(quota.Demand{Entries: reply.Entries, PerS: reply.Demand}, demand, time.Now())
	e.setEntries(reply.Entries)
	e.crashes.merge(reply.Crashes)
	l.count.Store(int64(reply.Entries))
	l.noteLeader(address, reply)
	l.follow(reply.Replicas)
	if !reply.Whole && len(reply.Endpoints) == 0 {
		return
	}
	l.mu.Lock()
	l.directory.Apply(address, reply.Endpoints, reply.Whole)
	list := l.directory.Endpoints()
	unused := e.board.Update(list)
	l.mu.Unlock()
	for _, one := range unused {
		e.client.Forget(one)
	}
	for i := range reply.Endpoints {
		one := &reply.Endpoints[i]
		e.log.Info("Endpoint changed.", zap.String("endpoint", one.Endpoint.ID), zap.String("service", one.Endpoint.Service),
			zap.Uint8("state", uint8(one.Endpoint.State)), zap.Bool("expired", one.Expired), zap.Uint64("seq", one.Endpoint.Seq), zap.String("replica", address))
	}
}
