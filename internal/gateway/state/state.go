package state

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/gateway/entry"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/meter"
	"github.com/boragelead/boragelead/internal/gateway/prompts"
	"github.com/boragelead/boragelead/internal/gateway/quota"
	"github.com/boragelead/boragelead/internal/gateway/ratelimit"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/internal/gateway/streams"
	"github.com/boragelead/boragelead/internal/gateway/walltime"
	"github.com/boragelead/boragelead/internal/guard"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/replica"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// missedHeartbeats is the lease of an endpoint, in heartbeat intervals.
	// Announcements may be delayed by seconds, and entries detect a dead endpoint
	// earlier than the lease ends.
	missedHeartbeats = 5
	// expireInterval is how often leases of endpoints are checked.
	expireInterval = 500 * time.Millisecond
	// statusInterval is how often the leader and the members are read from the
	// local consensus node.
	statusInterval = 200 * time.Millisecond
	// confirmInterval is how often a leader asks a majority whether it is still
	// the leader. confirmationTTL is how long the answer is valid. An election
	// takes 350 ms or more, so that two leaders overlap by 100 ms at most.
	confirmInterval = 150 * time.Millisecond
	confirmationTTL = 450 * time.Millisecond
	// leaderDiscoveryTime is the time that entries may need to find a new leader.
	leaderDiscoveryTime = 2 * time.Second
	// leaseHandover is how long a new leader grants no leases of quotas: until those of the
	// former one, which may have granted until its last confirmation lapsed, have ended.
	leaseHandover = quota.LeaseTTL + confirmationTTL
	// maxVoters is the number of voters up to which replicas are promoted; further ones are
	// learners, unless more losses have to be borne.
	maxVoters = 5
	// snapshotBytes is the size of the log at which a snapshot is taken. The disk
	// of a small VM has 128 MB, and the old snapshot is kept while the new one is
	// written.
	snapshotBytes = 8 << 20
	// electionTicks is the least number of 50 ms ticks without a leader after
	// which a replica starts an election; the actual number is randomized up to
	// twice as many. The network latency between replicas is a few milliseconds.
	electionTicks = 7
	// keptLogEntries is the number of log entries kept in memory for replicas that
	// lag slightly behind.
	keptLogEntries = 500
)

// Options configure a state replica.
type Options struct {
	Settings *settings.Gateway
	Decode   entry.Decoder
	Duties   port.Duties
	RPC      RPC
	Log      *zap.Logger
	Metrics  *telemetry.Registry
	// OnStop is called when the replica stops on an error, for example after a
	// failed sync.
	OnStop func(error)
}

// RPC calls other daemons and serves them.
type RPC interface {
	port.PeerCaller
	port.PeerServer
}

// State is a running state replica.
type State struct {
	options Options
	log     *zap.Logger
	address string
	runID   uint64
	started time.Time
	// recordedSince is the time since which the registry holds the software versions
	// of all endpoints.
	recordedSince time.Time
	replica       *replica.Replica
	registry      *registry.Registry
	usage         *meter.Ledger
	entries       *entries
	commonQuota   *quota.Common
	leases        *quota.Leases
	coverage      *coverage
	clock         *walltime.Clock
	// suspects holds the requests that crashed endpoints, as observed by all
	// entries.
	suspects  *suspect.Tracker
	crashNews *crashNews
	// prompts holds the long prompts that entries have sent to endpoints.
	prompts *prompts.Feed
	// rateLimits holds the request rates to which endpoints limit all entries.
	rateLimits *ratelimit.Table
	// origins holds the software versions at which streams began.
	origins *streams.Table
	// rollouts holds what entries reported of roll-outs, and judges compares the versions of
	// those that run, by ID. Only stepRollouts uses judges and unclearSteps.
	rollouts       *rollout.Ledger
	judges         map[uint64]*rollout.Judge
	unclearSteps   map[uint64]unclearStep
	rolloutCache   rolloutCache
	documentCache  documentCache
	documentSource documentSource
	// health is what was last reported of the group. Only refreshStatus uses it.
	health groupHealth
	// savedVersion is the registry version that was last written to disk.
	savedVersion uint64

	mu     sync.Mutex
	status *replica.Status
	// confirmedAt is when the last leadership check that a majority confirmed was
	// started; 0 means never.
	confirmedAt bootclock.Instant
	// leaderChanged is closed when status names another leader.
	leaderChanged chan struct{}
	// leaderSince is when this replica became the leader.
	leaderSince bootclock.Instant

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Start opens the data folder and registers the RPC methods of the replica. The
// RPC node must not be serving yet.
func Start(options Options) (*State, error) {
	s := options.Settings
	files, err := wal.NewFS(s.DataFolder)
	if err != nil {
		return nil, eris.Wrap(err, "open data folder")
	}
	st := &State{
		options: options, log: telemetry.Log(options.Log, telemetry.ComponentState),
		address:  net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)),
		runID:    rand.Uint64() | 1,
		started:  time.Now(),
		registry: registry.New(missedHeartbeats * settings.Millis(s.Bounds.HeartbeatMS)),
		usage:    meter.NewLedger(),
		entries:  newEntries(),
		clock:    walltime.New(time.Now(), bootclock.Now()),
		suspects: suspect.NewTracker(entry.Quarantine), crashNews: newCrashNews(), prompts: prompts.NewFeed(), rateLimits: ratelimit.NewTable(), origins: streams.NewTable(),
		commonQuota: quota.NewCommon(quota.Tolerance{
			Window: settings.Seconds(s.Bounds.QuotaWindowS), Overshoot: s.Bounds.QuotaOvershoot, Tokens: s.Bounds.QuotaSlack,
		}, time.Now()),
		leases: quota.NewLeases(), rollouts: rollout.NewLedger(), judges: map[uint64]*rollout.Judge{}, unclearSteps: map[uint64]unclearStep{}, coverage: &coverage{}, leaderChanged: make(chan struct{}),
	}
	st.ctx, st.cancel = context.WithCancel(context.Background())
	seeds := entry.PeerAddresses(s.Seeds, s.PeerPort)
	others, founder := removeAddress(seeds, st.address)
	st.replica, err = replica.Start(replica.Options{
		Address: st.address, FS: files, Caller: options.RPC, Server: options.RPC,
		Peers: others, Bootstrap: s.Bootstrap && founder, Voters: maxVoters, Losses: s.Bounds.Losses,
		SnapshotBytes: snapshotBytes, KeepEntries: keptLogEntries, ElectionTicks: electionTicks, Log: options.Log, OnStop: options.OnStop,
	})
	if err != nil {
		return nil, eris.Wrap(err, "start state replica")
	}
	st.recordedSince = st.started
	st.restoreEndpoints()
	options.RPC.Handle(link.MethodPoll, st.handlePoll)
	options.RPC.Handle(link.MethodOrigins, st.handleOrigins)
	options.RPC.Handle(link.MethodOrigin, st.handleOrigin)
	options.RPC.Handle(link.MethodDocument, st.handleDocument)
	options.RPC.Handle(link.MethodShare, st.handleShare)
	options.RPC.Handle(link.MethodDeparture, st.handleDeparture)
	options.RPC.Handle(link.MethodSpend, st.handleSpend)
	options.RPC.Handle(link.MethodPartProbe, st.handlePartProbe)
	options.RPC.Handle(link.MethodCrashes, st.handleCrashes)
	options.RPC.Handle(link.MethodPromptsNotice, st.handlePromptsNotice)
	options.RPC.Handle(link.MethodPrompts, st.handlePrompts)
	options.RPC.Handle(link.MethodRollout, st.handleRollout)
	return st, nil
}

// removeAddress returns the list without an address, and whether the list
// contained it.
func removeAddress(list []string, address string) (rest []string, found bool) {
	for _, candidate := range list {
		if candidate == address {
			found = true
			continue
		}
		rest = append(rest, candidate)
	}
	return rest, found
}

// SetSeeds replaces the seed addresses, after the settings were reloaded. A replica that has
// not joined the group yet joins through them.
func (s *State) SetSeeds(seeds []string) {
	others, _ := removeAddress(entry.PeerAddresses(seeds, s.options.Settings.PeerPort), s.address)
	s.replica.SetPeers(others)
}

// Run starts the background tasks. It must be called after the RPC node has
// started to serve.
func (s *State) Run() {
	s.background.Go(func() { s.runEvery(expireInterval, func(now time.Time) { s.expire(now) }) })
	s.background.Go(func() { s.runEvery(statusInterval, s.refreshStatus) })
	s.background.Go(func() { s.runEvery(confirmInterval, s.confirmLeadership) })
	s.background.Go(func() { s.runEvery(saveInterval, s.saveEndpoints) })
	s.background.Go(s.shareLoop)
	s.background.Go(s.dutyLoop)
	if s.options.Settings.Bounds.OffersRollouts() {
		s.background.Go(func() { s.runEvery(rolloutInterval, s.stepRollouts) })
	}
}

// Close transfers the leadership to another replica and stops.
func (s *State) Close() {
	s.replica.Resign()
	time.Sleep(resignTime)
	s.cancel()
	s.background.Wait()
	if err := s.replica.Close(); err != nil {
		s.log.Warn("State replica not closed.", zap.Error(err))
	}
}

// resignTime is how long Close waits for the transfer of leadership to reach the
// next leader.
const resignTime = 150 * time.Millisecond

// runEvery runs a task at an interval until the replica is closed, also after a run that
// panics.
func (s *State) runEvery(interval time.Duration, task func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if err := guard.Run(func() { task(now) }); err != nil {
				s.options.Metrics.Counter("state_panics").Inc()
				s.log.Error("Background task failed unexpectedly and runs again.", zap.Error(err))
			}
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *State) expire(now time.Time) {
	s.registry.Expire(now)
	s.suspects.Expire(now)
	s.rateLimits.Expire(now)
}

func (s *State) refreshStatus(time.Time) {
	ctx, cancel := context.WithTimeout(s.ctx, statusInterval)
	defer cancel()
	status, err := s.replica.LocalStatus(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	previous := s.status
	s.status = status
	if previous == nil || previous.Leader != status.Leader {
		close(s.leaderChanged)
		s.leaderChanged = make(chan struct{})
	}
	s.mu.Unlock()
	s.coverage.observe(status.Leader != "", bootclock.Now())
	s.reportGroupHealth(status)
	if previous == nil || previous.Leader != status.Leader || previous.Term != status.Term {
		s.log.Info("Leader of the state.", zap.String("leader", status.Leader), zap.Uint64("term", status.Term), zap.String("role", status.Role))
	}
}

// members returns the addresses of all replicas, including this one.
func (s *State) members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status == nil {
		return nil
	}
	var list []string
	for _, m := range s.status.Config.Members() {
		list = append(list, m.Address)
	}
	return list
}
