package daemon

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/entry"
)

const (
	// ownerSweep is how often running claims are compared with the live daemons.
	ownerSweep = 2 * time.Second
	// ownerMisses is the number of sweeps in a row in which an owner must be
	// missing: a daemon that just started may not be known to the sweeper yet.
	ownerMisses = 3
	// ownerTimeout bounds one request to the replicated state.
	ownerTimeout = 2 * time.Second
)

// ownerSweeper ends the claims of dead daemons: whether their calls ran is
// unknown, and resends must be told so instead of waiting. Each failure domain
// is swept by its relays, since only they see its daemons. A daemon that
// starts again sweeps the earlier lives of its own name.
type ownerSweeper struct {
	daemon *Daemon
	misses map[string]int
}

func (d *Daemon) sweepOwners(ctx context.Context) {
	sweeper := &ownerSweeper{daemon: d, misses: make(map[string]int)}
	ticker := time.NewTicker(ownerSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			sweeper.sweep(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *ownerSweeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	running, err := s.daemon.ledger.client.Running(ctx)
	if err != nil {
		return
	}
	alive := s.alive()
	missing := make(map[string]int)
	for owner := range running {
		if alive[owner] || !s.mine(owner) {
			continue
		}
		missing[owner] = s.misses[owner] + 1
		if missing[owner] >= ownerMisses {
			s.end(ctx, owner, missing[owner]-ownerMisses+1)
		}
	}
	s.misses = missing
}

// alive lists the owners that live in this failure domain.
func (s *ownerSweeper) alive() map[string]bool {
	alive := map[string]bool{s.daemon.entry.Owner(): true}
	for _, peer := range s.daemon.cluster.Node().Peers() {
		if peer.Status == member.Alive || peer.Status == member.Indirect {
			alive[entry.OwnerID(peer.Domain, peer.Name, peer.Instance)] = true
		}
	}
	return alive
}

// mine reports whether this daemon sweeps an owner.
func (s *ownerSweeper) mine(owner string) bool {
	self := s.daemon.settings
	if strings.HasPrefix(owner, entry.OwnerPrefix(self.FailureDomain, self.Name)) {
		return true
	}
	if !strings.HasPrefix(owner, entry.OwnerPrefix(self.FailureDomain, "")) {
		return false
	}
	for _, relay := range s.daemon.cluster.Node().Relays() {
		if relay.Name == self.Name {
			return true
		}
	}
	return false
}

// end declares an incarnation of an owner, and all before it, dead. An owner
// that was declared dead while it lived counts on, so the next sweep goes one higher.
func (s *ownerSweeper) end(ctx context.Context, owner string, incarnation int) {
	if err := s.daemon.ledger.client.OwnerGone(ctx, owner, uint64(incarnation)); err != nil {
		s.daemon.logged("Claims of a dead daemon not ended.", err)
		return
	}
	s.daemon.log.Info("Claims of a dead daemon ended.", zap.String("owner", owner))
}
