package replica

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// enrollInterval is the pause between two attempts to find and join a cluster.
	enrollInterval = 200 * time.Millisecond
	enrollTimeout  = time.Second
	// rejoinTimeout bounds one try to join again. Connections that were opened during a cut
	// hang for a second or more, and a try after the cut must not wait for them.
	rejoinTimeout = 500 * time.Millisecond
	// BootstrapIndex is the index of the snapshot that a new cluster starts from.
	BootstrapIndex = 1
	bootstrapTerm  = 1
)

// enroll returns once the replica belongs to a cluster or is closed. If its data folder
// already names a cluster, enroll returns immediately. With an empty data folder the
// replica joins as a learner under a new ID, or bootstraps a cluster if it may.
func (r *Replica) enroll() error {
	for r.identity.Cluster == 0 {
		cluster := r.findCluster(enrollTimeout)
		if cluster != 0 {
			return r.setCluster(cluster)
		}
		if !wait.For(r.ctx, enrollInterval) {
			return nil
		}
		if r.mayBootstrap() {
			return r.bootstrap()
		}
	}
	return nil
}

// setCluster stores the cluster ID in the data folder.
func (r *Replica) setCluster(clusterID uint64) error {
	id := wal.Identity{Replica: r.identity.Replica, Cluster: clusterID}
	if err := r.wal.SetIdentity(id); err != nil {
		return err
	}
	r.identity = id
	r.clusterID.Store(clusterID)
	return nil
}

// findCluster sends join requests to all known addresses at once, since some of them may be
// those of VMs that are gone and never answer. It asks the leaders that answers name as well,
// and returns the cluster ID after the first success, or 0 if no request succeeded.
func (r *Replica) findCluster(timeout time.Duration) uint64 {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	change := raft.Change{Kind: raft.AddLearner, Member: raft.Member{ID: r.ID(), Address: r.opts.Address}}
	answers := make(chan joinAnswer)
	asked := map[string]bool{r.opts.Address: true}
	pending := 0
	ask := func(address string) {
		if asked[address] {
			return
		}
		asked[address] = true
		pending++
		go func() {
			answer, err := exchange(ctx, r.opts.Caller, address, MethodJoin, &request{Group: r.opts.Group, Change: change})
			select {
			case answers <- joinAnswer{address, answer, err}:
			case <-ctx.Done():
			}
		}()
	}
	for _, address := range r.knownAddresses() {
		ask(address)
	}
	for pending > 0 {
		select {
		case a := <-answers:
			pending--
			if cluster := a.cluster(); cluster != 0 {
				r.log.Info("Replica joined as a learner.", zap.String("through", a.address))
				return cluster
			}
			if leader := a.leader(); leader != "" {
				ask(leader)
			}
		case <-ctx.Done():
			return 0
		}
	}
	return 0
}

// joinAnswer is the outcome of a join request to one address.
type joinAnswer struct {
	address string
	reply   *reply
	err     error
}

// cluster returns the ID of the cluster that the replica joined, or 0.
func (a joinAnswer) cluster() uint64 {
	if a.err != nil || a.reply.Error != nil || a.reply.Status == nil {
		return 0
	}
	return a.reply.Status.Cluster
}

// leader returns the address of the leader that the answer names, or "".
func (a joinAnswer) leader() string {
	if a.err != nil || a.reply.Error == nil {
		return ""
	}
	return a.reply.Error.Leader
}

// mayBootstrap reports whether this replica may start a new cluster. A replica that
// lost its disk must not do so. Therefore every peer has to answer that it belongs to
// no cluster.
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
		answer, err := r.callPeer(peer, MethodIdentify, &request{Group: r.opts.Group})
		if err != nil || answer.Status == nil || answer.Status.Cluster != 0 {
			return false
		}
	}
	return true
}

// bootstrap starts a cluster with this replica as its only voter. It writes the
// snapshot before the cluster ID, so that the replica starts enrollment again after
// a crash between the two writes.
func (r *Replica) bootstrap() error {
	self := raft.Member{ID: r.ID(), Address: r.opts.Address}
	r.recovered.Snapshot = raft.Snapshot{
		Index: BootstrapIndex, Term: bootstrapTerm, Config: raft.Configuration{Voters: []raft.Member{self}},
	}
	if err := r.wal.SaveSnapshot(&r.recovered.Snapshot); err != nil {
		return err
	}
	r.log.Info("New cluster started.")
	return r.setCluster(RandomID())
}

// rejoinAfter is the time without a known leader after which a replica asks to join
// again. A replica that was removed while it was cut off or restarted is of no use to entries
// and endpoints until it is a member again, and a request of a member changes nothing.
const rejoinAfter = 300 * time.Millisecond

// rejoinIfLeaderless runs in the event loop. A replica that was removed while it was
// unreachable receives no messages from a leader. It then asks to join again as a
// learner. If it is still a member, the request changes nothing. The replica keeps its
// ID, because its log is intact.
func (r *Replica) rejoinIfLeaderless() {
	now := time.Now()
	if _, _, leader := r.raft.Role(); leader != 0 || r.lastLeaderSeen.IsZero() {
		r.lastLeaderSeen = now
		return
	}
	if now.Sub(r.lastLeaderSeen) < rejoinAfter || !r.rejoining.CompareAndSwap(false, true) {
		return
	}
	r.lastLeaderSeen = now
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		defer r.rejoining.Store(false)
		r.findCluster(rejoinTimeout)
	}()
}

func (r *Replica) callPeer(address, method string, req *request) (*reply, error) {
	ctx, cancel := context.WithTimeout(r.ctx, enrollTimeout)
	defer cancel()
	return exchange(ctx, r.opts.Caller, address, method, req)
}
