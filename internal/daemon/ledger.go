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

// statusTimeout bounds a question to the own replica.
const statusTimeout = time.Second

// ledgerRole is the daemon's access to the replicated state: its own replica,
// or a client of the replicas named in the settings.
type ledgerRole struct {
	replica  *replica.Replica
	client   *replica.Client
	replicas []string
	log      *zap.Logger

	mu sync.Mutex
	// contact is when the replica last had a leader.
	contact time.Time
}

func (d *Daemon) newLedgerRole() (*ledgerRole, error) {
	role := &ledgerRole{replicas: addresses(d.settings.StateReplicas), log: d.log.Named("[state]")}
	if d.settings.Replica == nil {
		role.client = replica.NewClient(replica.DefaultGroup, role.replicas, d.rpc)
		return role, nil
	}
	files, err := wal.NewFS(d.settings.DataFolder)
	if err != nil {
		return nil, eris.Wrap(err, "open data folder")
	}
	role.replica, err = replica.Start(replica.Options{
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
		OnStop:    role.stopped,
	})
	if err != nil {
		return nil, eris.Wrap(err, "start state replica")
	}
	role.client = role.replica.Client
	return role, nil
}

func addresses(peers []settings.Peer) []string {
	list := make([]string, 0, len(peers))
	for _, peer := range peers {
		list = append(list, peer.Address)
	}
	return list
}

// otherReplicas lists the addresses of the other replicas, to join or bootstrap.
func (d *Daemon) otherReplicas() []string {
	var list []string
	known := map[string]bool{d.PeerAddress(): true}
	for _, address := range append(addresses(d.settings.Replica.Bootstrap), addresses(d.settings.StateReplicas)...) {
		if !known[address] {
			known[address] = true
			list = append(list, address)
		}
	}
	return list
}

// retention returns how long ended claims are kept by the active document.
func retention(active *conf.Active) time.Duration {
	if active == nil || active.Document.Claims.RetentionS <= 0 {
		return replica.DefaultRetention
	}
	return time.Duration(active.Document.Claims.RetentionS) * time.Second
}

func (l *ledgerRole) stopped(err error) {
	l.log.Error("State replica stopped.", zap.Error(err))
}

// resign hands a leadership of the log to another replica.
func (l *ledgerRole) resign() {
	if l.replica != nil {
		l.replica.Resign()
	}
}

func (l *ledgerRole) close() {
	if l.replica == nil {
		return
	}
	if err := l.replica.Close(); err != nil {
		l.log.Warn("State replica not closed.", zap.Error(err))
	}
}

// addresses returns where the replicas of the settings are.
func (l *ledgerRole) addresses() []string { return l.replicas }

// source returns the generations of the own replica, nil without one.
func (l *ledgerRole) source() cluster.Source {
	if l.replica == nil {
		return nil
	}
	return watchSource{l.replica}
}

// sourceAge returns how long ago the replica last had a leader. A leader that
// loses its majority steps down, so that having one is contact with a majority.
// A watch on a cut-off replica just goes on without news and proves nothing.
func (l *ledgerRole) sourceAge() func() (time.Duration, bool) {
	if l.replica == nil {
		return nil
	}
	return func() (time.Duration, bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if status := l.status(); status != nil && status.Leader != "" {
			l.contact = time.Now()
		}
		return time.Since(l.contact), !l.contact.IsZero()
	}
}

// isLeader reports whether the own replica leads.
func (l *ledgerRole) isLeader() bool {
	status := l.status()
	return status != nil && status.Role == "leader"
}

// status describes the own replica; nil without one.
func (l *ledgerRole) status() *replica.Status {
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

// watchSource gives the generations of a replica to the cluster.
type watchSource struct{ replica *replica.Replica }

// WatchGeneration implements cluster.Source.
func (w watchSource) WatchGeneration(ctx context.Context, after uint64) (port.Generation, error) {
	return w.replica.Watch(ctx, after)
}
