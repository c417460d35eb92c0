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
	"github.com/boragelead/boragelead/internal/gateway/quota"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/walltime"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/replica"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// missedHeartbeats end the lease of an endpoint. Announcements may be held
	// up for seconds, and entries notice a dead endpoint before.
	missedHeartbeats = 5
	// expireInterval is how often leases of endpoints are checked.
	expireInterval = 500 * time.Millisecond
	// statusInterval is how often the membership is read from the consensus.
	statusInterval = 200 * time.Millisecond
	// confirmInterval is how often a leader asks a majority whether it still
	// leads, and confirmedTime how long the answer counts: less than an election
	// takes, so that two replicas do not both hold the common quota.
	confirmInterval = 150 * time.Millisecond
	confirmedTime   = 450 * time.Millisecond
	// settleTime is how long entries may take to find a new leader.
	settleTime = 2 * time.Second
	// maxVoters bounds the voters; further replicas follow as learners.
	maxVoters = 5
	// snapshotBytes bounds the log: a disk of a small VM holds 128 MB, and a
	// snapshot is written beside the old one.
	snapshotBytes = 8 << 20
	// electionTicks of 50 ms without a leader start an election, at most twice as
	// many: replicas are within a few milliseconds of each other.
	electionTicks = 7
	// keepEntries stay in memory for replicas that are a little behind.
	keepEntries = 500
)

// Options set up a state replica.
type Options struct {
	Settings *settings.Gateway
	Decode   entry.Decoder
	Duties   port.Duties
	RPC      RPC
	Log      *zap.Logger
	Metrics  *telemetry.Registry
	// OnStop is called when the replica cannot go on, as after a failed sync.
	OnStop func(error)
}

// RPC calls other daemons and serves them.
type RPC interface {
	port.PeerCaller
	port.PeerServer
}

// State is a running state replica.
type State struct {
	options  Options
	log      *zap.Logger
	address  string
	run      uint64
	started  time.Time
	replica  *replica.Replica
	registry *registry.Registry
	usage    *meter.Ledger
	entries  *entries
	common   *quota.Common
	clock    *walltime.Clock
	// marks are those of requests that crashed endpoints, of all entries.
	marks    *suspect.Tracker
	versions versions
	// remembered is the registry change that was written last.
	remembered uint64

	mu     sync.Mutex
	status *replica.Status
	// confirmed is when a majority last answered this replica as its leader.
	confirmed bootclock.Instant
	// ledSince is when this replica began to lead.
	ledSince bootclock.Instant

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// Start opens the data folder and registers the methods of the replica on the
// RPC node, which must not serve yet.
func Start(options Options) (*State, error) {
	s := options.Settings
	files, err := wal.NewFS(s.DataFolder)
	if err != nil {
		return nil, eris.Wrap(err, "open data folder")
	}
	st := &State{
		options: options, log: telemetry.Log(options.Log, telemetry.PartState),
		address:  net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)),
		run:      rand.Uint64() | 1,
		started:  time.Now(),
		registry: registry.New(missedHeartbeats * settings.Millis(s.Bounds.HeartbeatMS)),
		usage:    meter.NewLedger(),
		entries:  newEntries(),
		clock:    walltime.New(time.Now(), bootclock.Now()),
		marks:    suspect.NewTracker(entry.Quarantine),
		common: quota.NewCommon(quota.Tolerance{
			Window: settings.Seconds(s.Bounds.QuotaWindowS), Overshoot: s.Bounds.QuotaOvershoot, Tokens: s.Bounds.QuotaSlack,
		}, time.Now()),
	}
	st.ctx, st.cancel = context.WithCancel(context.Background())
	seeds := entry.PeerAddresses(s.Seeds, s.PeerPort)
	others, founder := without(seeds, st.address)
	st.replica, err = replica.Start(replica.Options{
		Address: st.address, FS: files, Caller: options.RPC, Server: options.RPC,
		Peers: others, Bootstrap: s.Bootstrap && founder, Voters: maxVoters,
		SnapshotBytes: snapshotBytes, KeepEntries: keepEntries, ElectionTicks: electionTicks, Log: options.Log, OnStop: options.OnStop,
	})
	if err != nil {
		return nil, eris.Wrap(err, "start state replica")
	}
	st.recall()
	options.RPC.Handle(link.MethodPoll, st.handlePoll)
	options.RPC.Handle(link.MethodShare, st.handleShare)
	options.RPC.Handle(link.MethodSpend, st.handleSpend)
	return st, nil
}

// without returns the list without an address, and whether it was in there.
func without(list []string, address string) (rest []string, found bool) {
	for _, one := range list {
		if one == address {
			found = true
			continue
		}
		rest = append(rest, one)
	}
	return rest, found
}

// Run begins the background work. It is called once the RPC node serves.
func (s *State) Run() {
	s.group.Go(func() { s.every(expireInterval, func(now time.Time) { s.expire(now) }) })
	s.group.Go(func() { s.every(statusInterval, s.refreshStatus) })
	s.group.Go(func() { s.every(confirmInterval, s.confirm) })
	s.group.Go(func() { s.every(memoryInterval, s.remember) })
	s.group.Go(s.shareLoop)
	s.group.Go(s.dutyLoop)
}

// Close hands the leadership over and stops.
func (s *State) Close() {
	s.replica.Resign()
	time.Sleep(resignTime)
	s.cancel()
	s.group.Wait()
	if err := s.replica.Close(); err != nil {
		s.log.Warn("State replica not closed.", zap.Error(err))
	}
}

// resignTime lets the hand-over of the leadership reach the next leader.
const resignTime = 150 * time.Millisecond

func (s *State) every(interval time.Duration, work func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			work(now)
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *State) expire(now time.Time) {
	s.registry.Expire(now)
	s.marks.Expire(now)
}

func (s *State) refreshStatus(time.Time) {
	ctx, cancel := context.WithTimeout(s.ctx, statusInterval)
	defer cancel()
	status, err := s.replica.LocalStatus(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	old := s.status
	s.status = status
	s.mu.Unlock()
	if old == nil || old.Leader != status.Leader || old.Term != status.Term {
		s.log.Info("Leader of the state.", zap.String("leader", status.Leader), zap.Uint64("term", status.Term), zap.String("role", status.Role))
	}
}

// members returns the addresses of all replicas, the own one included.
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

// leads reports whether this replica led a moment ago. A leader that was
// suspended, or cut off, does not know that there is another one.
func (s *State) leads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed != 0 && bootclock.Now().Sub(s.confirmed) < confirmedTime
}

// leaderAddress returns the replica that leads as far as is known here, or "".
func (s *State) leaderAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status == nil {
		return ""
	}
	return s.status.Leader
}

// hearsAll reports whether all entries poll this replica: in a small group each
// does, in a larger one only the leader, a while after it was elected.
func (s *State) hearsAll() bool {
	if s.isSmall() {
		return true
	}
	if !s.leads() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return bootclock.Now().Sub(s.ledSince) >= settleTime
}

// isSmall reports whether entries poll all replicas of the group.
func (s *State) isSmall() bool { return len(s.members()) <= link.MaxFollowed }

// confirm asks a majority whether this replica leads.
func (s *State) confirm(time.Time) {
	began := bootclock.Now()
	ctx, cancel := context.WithTimeout(s.ctx, confirmInterval)
	defer cancel()
	if s.replica.ConfirmLeadership(ctx) != nil {
		return
	}
	s.mu.Lock()
	fresh := s.confirmed == 0 || began.Sub(s.confirmed) >= confirmedTime
	s.confirmed = began
	if fresh {
		s.ledSince = began
	}
	s.mu.Unlock()
	if fresh {
		s.common.Reset(time.Now().Add(-electionTicks * replica.DefaultTickInterval))
	}
}
