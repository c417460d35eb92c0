package entry

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/meter"
	"github.com/boragelead/boragelead/internal/gateway/quota"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// pollWait is how long a replica holds a poll without news. It is also the
	// interval at which counts are sent: an entry that is killed loses those of
	// one interval.
	pollWait = 400 * time.Millisecond
	// quietWait is the same at a replica that does not hear all entries: it gets
	// the counts only for the case that it leads next.
	quietWait = time.Second
	// pollTimeout ends a poll whose replica is silent.
	pollTimeout = 1800 * time.Millisecond
	// pollPause is the pause after a failed poll.
	pollPause = 100 * time.Millisecond
	// spendTimeout bounds the wait for the common quota. A refusal must not be
	// held back, and the answer takes two short delays.
	spendTimeout = 60 * time.Millisecond
	// spendPause is the time without a further question after one that failed.
	spendPause = 500 * time.Millisecond
	// maxDenied bounds the time for which an answer of the common quota counts.
	maxDenied = 300 * time.Millisecond
)

// links follows state replicas.
type links struct {
	entry *Entry

	mu        sync.Mutex
	directory *registry.Directory
	plan      *followPlan
	// followed holds how to end the polls of each replica.
	followed map[string]context.CancelFunc
	// leader is the replica that led when it answered last; "" before any did.
	leader atomic.Pointer[string]
	// count is the number of entries that the replicas named last.
	count atomic.Int64
}

// entries returns the number of entries, 0 before any replica answered.
func (l *links) entries() int { return int(l.count.Load()) }

func newLinks(e *Entry) *links {
	config := e.options.Settings
	return &links{
		entry: e, directory: registry.NewDirectory(), followed: make(map[string]context.CancelFunc),
		plan: newFollowPlan(config.Name, link.MaxFollowed, PeerAddresses(config.Seeds, config.PeerPort)),
	}
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
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust()
}

// SetSeeds takes the addresses of new settings.
func (e *Entry) SetSeeds(seeds []string) {
	l := e.links
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plan.setSeeds(PeerAddresses(seeds, e.options.Settings.PeerPort))
	l.adjust()
}

// adjust begins and ends polls as planned. It must be called with the lock held.
func (l *links) adjust() {
	e := l.entry
	if e.ctx.Err() != nil {
		return
	}
	follow, leave := l.plan.change(time.Now())
	for _, address := range leave {
		l.followed[address]()
		delete(l.followed, address)
		l.directory.Forget(address)
	}
	for _, address := range follow {
		ctx, cancel := context.WithCancel(e.ctx)
		l.followed[address] = cancel
		e.group.Go(func() { l.poll(ctx, address) })
	}
}

// poll follows one replica until the plan leaves it.
func (l *links) poll(ctx context.Context, address string) {
	e := l.entry
	known := &known{wait: pollWait}
	connected := false
	for ctx.Err() == nil {
		demand := e.quotas.Demand(time.Now())
		reply, err := l.ask(ctx, address, known, demand)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if connected {
				e.log.Warn("State replica lost.", zap.String("replica", address), zap.Error(err))
			}
			connected = false
			l.failed(address)
			pause(ctx)
			continue
		}
		if !connected {
			e.log.Info("State replica reached.", zap.String("replica", address))
		}
		connected = true
		l.take(address, reply, demand)
	}
}

func (l *links) failed(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plan.failed(address, time.Now())
	l.adjust()
}

func pause(ctx context.Context) {
	select {
	case <-time.After(pollPause):
	case <-ctx.Done():
	}
}

// known is how far an entry and a replica know each other.
type known struct {
	// run is the replica's; the rest belongs to it.
	run, change, marks uint64
	// told is the version of the own marks that the replica took.
	told uint64
	// counted holds the requests of each window that the replica was told.
	counted map[uint64]int
	// wait is how long the replica may hold the next poll.
	wait time.Duration
}

// fresh returns the windows whose counts the replica was not told yet, and what
// it will have been told.
func (k *known) fresh(list []meter.Counts) (news []meter.Counts, counted map[uint64]int) {
	counted = make(map[uint64]int, len(list))
	for _, one := range list {
		for _, n := range one.Counts {
			counted[one.Window] += n
		}
		if counted[one.Window] != k.counted[one.Window] {
			news = append(news, one)
		}
	}
	return news, counted
}

func (l *links) ask(ctx context.Context, address string, k *known, demand map[string]float64) (*link.PollReply, error) {
	e := l.entry
	request := &link.PollRequest{
		Entry: e.options.Settings.Name, Incarnation: e.incarnation, Run: k.run, Change: k.change, Marks: k.marks,
		WaitMS: k.wait.Milliseconds(), Demand: demand, Load: e.board.Load(),
	}
	var counted map[uint64]int
	request.Usage, counted = k.fresh(e.counter.Report(e.clock.Now()))
	var told uint64
	request.Crashes, told = e.crashes.observed(k.told)
	if active := e.active.Load(); active != nil {
		request.Generation = active.generation
	}
	params, err := link.Encode(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	data, err := e.options.Caller.Call(ctx, address, link.MethodPoll, params)
	if err != nil {
		return nil, err
	}
	reply := &link.PollReply{}
	if err := link.Decode(data, reply); err != nil {
		return nil, err
	}
	if k.run != 0 && k.run != reply.Run {
		// The replica restarted and forgot what it was told.
		told, counted = 0, nil
	}
	k.run, k.change, k.marks, k.told, k.counted = reply.Run, reply.Change, reply.Marks, told, counted
	k.wait = quietWait
	if reply.HearsAll {
		k.wait = pollWait
	}
	return reply, nil
}

// note takes what a replica says of the replicas and their leader. The common
// quota counts as lost while a majority of the replicas knows no leader.
func (l *links) note(address string, reply *link.PollReply) {
	if reply.Leads {
		l.leader.Store(&address)
	}
	now := time.Now()
	l.mu.Lock()
	l.plan.named(reply.Replicas, now)
	l.plan.answered(address, reply.Leader, now)
	leaderless := l.plan.leaderless(now)
	l.adjust()
	l.mu.Unlock()
	l.entry.quotas.SetLeaderless(len(reply.Replicas) > 0 && leaderless > len(reply.Replicas)/2)
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
	if reply.HearsAll {
		e.quotas.SetTotal(quota.Demand{Entries: reply.Entries, PerS: reply.Demand}, demand, time.Now())
		e.setEntries(reply.Entries)
		l.count.Store(int64(reply.Entries))
	}
	e.crashes.merge(reply.Crashes)
	l.note(address, reply)
	if !reply.Whole && len(reply.Endpoints) == 0 {
		return
	}
	l.mu.Lock()
	if l.followed[address] == nil {
		l.mu.Unlock()
		return
	}
	l.directory.Apply(address, reply.Endpoints, reply.Whole)
	list := l.directory.Endpoints()
	unused := e.board.Update(list)
	l.mu.Unlock()
	e.migrations.leaving(list)
	e.migrations.forget(list)
	for _, one := range unused {
		e.client.Forget(one)
	}
	for i := range reply.Endpoints {
		one := &reply.Endpoints[i]
		e.log.Info("Endpoint changed.", zap.String("endpoint", one.Endpoint.ID), zap.String("service", one.Endpoint.Service),
			zap.Uint8("state", uint8(one.Endpoint.State)), zap.Bool("expired", one.Expired), zap.Uint64("seq", one.Endpoint.Seq), zap.String("replica", address))
	}
}
