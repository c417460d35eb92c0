package replica

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/core/raft"
)

const (
	// enrollInterval is the pause between attempts to find or join a cluster.
	enrollInterval = 200 * time.Millisecond
	enrollTimeout  = time.Second
	// BootstrapIndex is the index of the snapshot that a new cluster starts from.
	BootstrapIndex = 1
	bootstrapTerm  = 1
)

// enroll makes the replica part of a cluster. A folder that already belongs to
// one goes on at once; an empty folder joins as a learner under its new identity.
func (r *Replica) enroll() error {
	for r.identity.Cluster == 0 {
		cluster := r.findCluster()
		if cluster != 0 {
			return r.adopt(cluster)
		}
		select {
		case <-time.After(enrollInterval):
		case <-r.ctx.Done():
			return nil
		}
		if r.mayBootstrap() {
			return r.bootstrap()
		}
	}
	return nil
}

// adopt stores the cluster of the replica in its folder.
func (r *Replica) adopt(cluster uint64) error {
	id := wal.Identity{Replica: r.identity.Replica, Cluster: cluster}
	if err := r.wal.SetIdentity(id); err != nil {
		return err
	}
	r.identity = id
	r.cluster.Store(cluster)
	return nil
}

// findCluster asks to join through every peer and returns the cluster, or 0.
func (r *Replica) findCluster() uint64 {
	change := raft.Change{Kind: raft.AddLearner, Member: raft.Member{ID: r.ID(), Address: r.opts.Address}}
	peers := slices.Clone(r.opts.Peers)
	for _, address := range r.network.known() {
		if address != r.opts.Address && !slices.Contains(peers, address) {
			peers = append(peers, address)
		}
	}
	for i := 0; i < len(peers); i++ {
		answer, err := r.ask(peers[i], MethodJoin, &request{Group: r.opts.Group, Change: change})
		if err == nil && answer.Error == nil && answer.Status != nil && answer.Status.Cluster != 0 {
			r.log.Info("Replica joined as a learner.", zap.String("through", peers[i]))
			return answer.Status.Cluster
		}
		if err == nil && answer.Error != nil && answer.Error.Leader != "" && !slices.Contains(peers, answer.Error.Leader) {
			peers = append(peers, answer.Error.Leader)
		}
	}
	return 0
}

// mayBootstrap reports whether this replica starts a new cluster. A replica that
// lost its disk must not, so every peer has to say that it knows no cluster.
func (r *Replica) mayBootstrap() bool {
	if !r.opts.Bootstrap {
		return false
	}
	for _, peer := range r.opts.Peers {
		if peer == r.opts.Address {
			continue
		}
		if peer < r.opts.Address {
			return false
		}
		answer, err := r.ask(peer, MethodIdentify, &request{Group: r.opts.Group})
		if err != nil || answer.Status == nil || answer.Status.Cluster != 0 {
			return false
		}
	}
	return true
}

// bootstrap starts a cluster with this replica as its only voter. The snapshot
// comes before the identity, so that a crash in between starts over.
func (r *Replica) bootstrap() error {
	self := raft.Member{ID: r.ID(), Address: r.opts.Address}
	r.recovered.Snapshot = raft.Snapshot{
		Index: BootstrapIndex, Term: bootstrapTerm, Config: raft.Configuration{Voters: []raft.Member{self}},
	}
	if err := r.wal.SaveSnapshot(&r.recovered.Snapshot); err != nil {
		return err
	}
	r.log.Info("New cluster started.")
	return r.adopt(RandomID())
}

// rejoinAfter is the time without a leader after which a replica asks whether
// it is still a member.
const rejoinAfter = 4 * time.Second

// noteLed runs in the loop. A replica that was removed while it was silent
// hears of no leader and asks to join again as a learner; for a member the
// request changes nothing. Its log is intact, so that it keeps its identity.
func (r *Replica) noteLed() {
	now := time.Now()
	if _, _, leader := r.raft.Role(); leader != 0 || r.led.IsZero() {
		r.led = now
		return
	}
	if now.Sub(r.led) < rejoinAfter || !r.rejoining.CompareAndSwap(false, true) {
		return
	}
	r.led = now
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		defer r.rejoining.Store(false)
		r.findCluster()
	}()
}

func (r *Replica) ask(address, method string, req *request) (*reply, error) {
	ctx, cancel := context.WithTimeout(r.ctx, enrollTimeout)
	defer cancel()
	return exchange(ctx, r.opts.Caller, address, method, req)
}
