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
	// ownerSweepInterval is how often running claims are compared with the live daemons.
	ownerSweepInterval = 2 * time.Second
	// ownerMissThreshold is the number of consecutive sweeps in which an owner must
	// be missing: the sweeper may not know a daemon yet that has just started.
	ownerMissThreshold = 3
	// ownerRequestTimeout bounds one request to the replicated state.
	ownerRequestTimeout = 2 * time.Second
)

// ownerSweeper ends the claims of dead daemons. Whether the claimed calls ran
// is unknown, and a caller that resends one must get this answer instead of
// waiting. The relays of a failure domain sweep its daemons, because daemons
// outside the domain do not see them. A restarted daemon also sweeps its own
// earlier instances, which have the same name.
type ownerSweeper struct {
	daemon     *Daemon
	missCounts map[string]int
}

func (d *Daemon) sweepOwners(ctx context.Context) {
	sweeper := &ownerSweeper{daemon: d, missCounts: make(map[string]int)}
	ticker := time.NewTicker(ownerSweepInterval)
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
	ctx, cancel := context.WithTimeout(ctx, ownerRequestTimeout)
	defer cancel()
	running, err := s.daemon.ledger.client.Running(ctx)
	if err != nil {
		return
	}
	liveOwners := s.liveOwners()
	counts := make(map[string]int)
	for owner := range running {
		if liveOwners[owner] || !s.isResponsibleFor(owner) {
			continue
		}
		counts[owner] = s.missCounts[owner] + 1
		if counts[owner] >= ownerMissThreshold {
			s.endClaims(ctx, owner, counts[owner]-ownerMissThreshold+1)
		}
	}
	s.missCounts = counts
}

// liveOwners returns the set of claim owners that are alive in this failure domain.
func (s *ownerSweeper) liveOwners() map[string]bool {
	liveOwners := map[string]bool{s.daemon.entry.Owner(): true}
	for _, peer := range s.daemon.cluster.Node().Peers() {
		if peer.Status == member.Alive || peer.Status == member.Indirect {
			liveOwners[entry.OwnerID(peer.Domain, peer.Name, peer.Instance)] = true
		}
	}
	return liveOwners
}

// isResponsibleFor reports whether this daemon sweeps the claims of an owner.
func (s *ownerSweeper) isResponsibleFor(owner string) bool {
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

// endClaims declares an incarnation of an owner and all earlier ones dead. An
// owner that was declared dead while alive continues under the next incarnation,
// so each further sweep in which the owner is missing passes an incarnation one higher.
func (s *ownerSweeper) endClaims(ctx context.Context, owner string, incarnation int) {
	if err := s.daemon.ledger.client.DeclareOwnerDead(ctx, owner, uint64(incarnation)); err != nil {
		s.daemon.warnOnError("Could not end the claims of a dead daemon; the next sweep retries.", err)
		return
	}
	s.daemon.log.Info("Ended the claims of a dead daemon.", zap.String("owner", owner))
}
