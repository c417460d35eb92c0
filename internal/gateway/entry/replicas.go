package entry

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// pollWait is how long a replica delays its answer to a poll while nothing
	// has changed. It is also the interval at which usage counts are sent: an
	// entry that is killed loses the counts of one interval.
	pollWait = 400 * time.Millisecond
	// partialPollWait replaces pollWait at a replica that not all entries poll.
	// It receives the counts only in case it becomes the next leader.
	partialPollWait = time.Second
	// pollTimeout limits a poll, including the time for which the replica delays it.
	pollTimeout = 1800 * time.Millisecond
	// pollRetryPause is the pause after a failed poll.
	pollRetryPause = 100 * time.Millisecond
	// leaderCallTimeout limits a call to the leader on which a request waits. It is
	// short because a refusal must not be delayed and the answer takes only one
	// round trip.
	leaderCallTimeout = 60 * time.Millisecond
	// spendRetryPause is how long no common quota is requested after a failed
	// request.
	spendRetryPause = 500 * time.Millisecond
	// maxVersionAge is how long ago a replica may have answered for the announced software
	// versions to be those that serve. The leader answers each pollWait. After a freeze or
	// a cut, an endpoint may have started again at another version meanwhile.
	maxVersionAge = 700 * time.Millisecond
	// maxDenialTime limits how long a denial of common quota is reused.
	maxDenialTime = 300 * time.Millisecond
)

// replicaClient polls state replicas and applies their answers.
type replicaClient struct {
	entry *Entry

	mu        sync.Mutex
	directory *registry.Directory
	plan      *followPlan
	// cancelPolls holds, by address, the function that stops the polls of a replica.
	cancelPolls map[string]context.CancelFunc
	// leader is the address of the replica that last answered as the leader; nil
	// before the first such answer.
	leader atomic.Pointer[string]
	// entryCount is the number of entries that the replicas reported last.
	entryCount atomic.Int64
}

// entries returns the number of entries, or 0 before the first report.
func (c *replicaClient) entries() int { return int(c.entryCount.Load()) }

func newReplicaClient(e *Entry) *replicaClient {
	config := e.options.Settings
	return &replicaClient{
		entry: e, directory: registry.NewDirectory(), cancelPolls: make(map[string]context.CancelFunc),
		plan: newFollowPlan(config.Name, link.MaxFollowed, PeerAddresses(config.Seeds, config.PeerPort)),
	}
}

// PeerAddresses replaces the ports of seed addresses by the port for calls between
// daemons.
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

func (c *replicaClient) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyPlan()
}

// SetSeeds replaces the seed addresses, after the settings were reloaded.
func (e *Entry) SetSeeds(seeds []string) {
	c := e.replicaClient
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan.setSeeds(PeerAddresses(seeds, e.options.Settings.PeerPort))
	c.applyPlan()
}

// applyPlan starts and stops polls according to the plan. The caller must hold mu.
func (c *replicaClient) applyPlan() {
	e := c.entry
	if e.ctx.Err() != nil {
		return
	}
	follow, unfollow := c.plan.update(time.Now())
	for _, address := range unfollow {
		c.cancelPolls[address]()
		delete(c.cancelPolls, address)
		c.directory.Forget(address)
		for _, unused := range e.peers.Forget(address) {
			e.peerClient.Forget(unused)
		}
	}
	for _, address := range follow {
		ctx, cancel := context.WithCancel(e.ctx)
		c.cancelPolls[address] = cancel
		e.goLoop("poll of "+address, func() { c.poll(ctx, address) })
	}
}

// preferredReplicas returns the known replicas, the leader first.
func (c *replicaClient) preferredReplicas() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan.preferenceOrder(time.Now())
}

// orderFor returns the known replicas in an order that depends on a key and is the same
// at all entries, but for replicas that failed lately: they come last.
func (c *replicaClient) orderFor(key string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan.orderFor(key, time.Now())
}

// soleVersion returns the software version of the endpoints of a service, if no other
// one serves or served lately.
func (c *replicaClient) soleVersion(service string) (version string, sole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.SoleVersion(service, time.Now())
}

// knowsVersions reports whether the announced software versions are those that serve now.
func (c *replicaClient) knowsVersions(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.directory.LastAnswer()) <= maxVersionAge
}

func (c *replicaClient) noteFailure(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan.noteFailure(address, time.Now())
	c.applyPlan()
}

// noteReplicas records which replicas and which leader a replica reported. The
// common quota counts as unavailable while a majority of the replicas knows no
// leader.
func (c *replicaClient) noteReplicas(address string, reply *link.PollReply) {
	if reply.IsLeader {
		c.leader.Store(&address)
	}
	now := time.Now()
	c.mu.Lock()
	c.plan.noteNamed(reply.Replicas, now)
	c.plan.noteAnswer(address, reply.Leader, now)
	leaderless := c.plan.countLeaderless(now)
	c.applyPlan()
	c.mu.Unlock()
	if reply.CommonInMS > 0 {
		c.entry.quotas.AwaitCommon(time.Duration(reply.CommonInMS)*time.Millisecond, now)
	}
	lost := len(reply.Replicas) > 0 && leaderless > len(reply.Replicas)/2
	if c.entry.quotas.SetLeaderless(lost, now) {
		c.entry.log.Info("Common quotas are divided among the entries, or no longer.", zap.Bool("divided", lost),
			zap.Int("leaderless", leaderless), zap.Int("replicas", len(reply.Replicas)), zap.String("replica", address))
	}
}
