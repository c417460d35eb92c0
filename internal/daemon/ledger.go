package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/cluster"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/replica"
	"github.com/boragelead/boragelead/internal/settings"
)

// statusTimeout bounds a status request to the daemon's own replica.
const statusTimeout = time.Second

// ledgerAccess is the daemon's access to the replicated state: its own replica,
// or a client of the replicas named in the settings.
type ledgerAccess struct {
	replica      *replica.Replica
	client       *replica.Client
	replicaAddrs []string
	log          *zap.Logger

	mu sync.Mutex
	// lastLeaderAt is the last time at which the own replica was seen to have a leader.
	lastLeaderAt time.Time
}

func (d *Daemon) newLedgerAccess() (*ledgerAccess, error) {
	access := &ledgerAccess{replicaAddrs: addresses(d.settings.StateReplicas), log: d.log.Named("[state]")}
	if d.settings.Replica == nil {
		access.client = replica.NewClient(replica.DefaultGroup, access.replicaAddrs, d.rpc)
		return access, nil
	}
	files, err := wal.NewFS(d.settings.DataFolder)
	if err != nil {
		return nil, eris.Wrap(err, "open data folder")
	}
	access.replica, err = replica.Start(replica.Options{
		Group:     replica.DefaultGroup,
		Address:   d.PeerAddress(),
		FS:        files,
		Caller:    d.rpc,
		Server:    d.rpc,
		Peers:     d.otherReplicas(),
		Bootstrap: len(d.settings.Replica.Bootstrap) > 0,
		Voters:    len(d.settings.Replica.Bootstrap),
		Retention: func() time.Duration { return retention(d.config.Current()) },
		Log:       d.log,
		OnStop:    access.logReplicaStopped,
	})
	if err != nil {
		return nil, eris.Wrap(err, "start state replica")
	}
	access.client = access.replica.Client
	return access, nil
}

func addresses(peers []settings.Peer) []string {
	list := make([]string, 0, len(peers))
	for _, peer := range peers {
		list = append(list, peer.Address)
	}
	return list
}

// otherReplicas lists the addresses of the other replicas, which the own
// replica contacts to join the group or to bootstrap it.
func (d *Daemon) otherReplicas() []string {
	var list []string
	seen := map[string]bool{d.PeerAddress(): true}
	for _, address := range append(addresses(d.settings.Replica.Bootstrap), addresses(d.settings.StateReplicas)...) {
		if !seen[address] {
			seen[address] = true
			list = append(list, address)
		}
	}
	return list
}

// retention returns how long the active document keeps claims that have ended.
func retention(active *conf.Active) time.Duration {
	if active == nil || active.Document.Claims.RetentionS <= 0 {
		return replica.DefaultRetention
	}
	return time.Duration(active.Document.Claims.RetentionS) * time.Second
}

func (l *ledgerAccess) logReplicaStopped(err error) {
	l.log.Error("State replica stopped.", zap.Error(err))
}

// resign hands the leadership of the log to another replica, if the own replica leads.
func (l *ledgerAccess) resign() {
	if l.replica != nil {
		l.replica.Resign()
	}
}

func (l *ledgerAccess) close() {
	if l.replica == nil {
		return
	}
	if err := l.replica.Close(); err != nil {
		l.log.Warn("Could not close the state replica.", zap.Error(err))
	}
}

// addresses returns the addresses of the state replicas named in the settings.
func (l *ledgerAccess) addresses() []string { return l.replicaAddrs }

// source returns the own replica as the source of generations, or nil if the
// daemon has no replica.
func (l *ledgerAccess) source() cluster.Source {
	if l.replica == nil {
		return nil
	}
	return replicaSource{l.replica}
}

// sourceAge returns a function that reports how long ago the own replica last
// had a leader. A leader that loses its majority steps down, so a replica with
// a leader has contact with a majority. The watch on the replica cannot show
// this: when the replica is cut off, the watch stays open and delivers nothing.
func (l *ledgerAccess) sourceAge() func() (time.Duration, bool) {
	if l.replica == nil {
		return nil
	}
	return func() (time.Duration, bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if status := l.status(); status != nil && status.Leader != "" {
			l.lastLeaderAt = time.Now()
		}
		return time.Since(l.lastLeaderAt), !l.lastLeaderAt.IsZero()
	}
}

// isLeader reports whether the own replica leads the log.
func (l *ledgerAccess) isLeader() bool {
	status := l.status()
	return status != nil && status.Role == replica.RoleLeader
}

// status returns the status of the own replica. It returns nil if the daemon
// has no replica or the replica does not answer within statusTimeout.
func (l *ledgerAccess) status() *replica.Status {
	if l.replica == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := l.replica.LocalStatus(ctx)
	if err != nil {
		return nil
	}
	return status
}

// replicaSource implements cluster.Source on a state replica.
type replicaSource struct{ replica *replica.Replica }

// WatchGeneration implements cluster.Source.
func (s replicaSource) WatchGeneration(ctx context.Context, after uint64) (port.Generation, error) {
	return s.replica.Watch(ctx, after)
}
