package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/rig"
)

const (
	// promotionTimeLimit is the target in the design page for 8 daemons.
	promotionTimeLimit = time.Second
	operatorCount      = 8
	// promotionCount is large enough that a restarted replica has to replay promotions.
	promotionCount = 300
)

// promoteUntilKnown resends a promotion for up to 10 s until its outcome is known.
func promoteUntilKnown(d *daemon.Daemon, req port.PromoteRequest) (uint64, error) {
	for giveUpAt := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		g, err := d.Ledger().Promote(ctx, req)
		cancel()
		var noQuorum *port.NoQuorumError
		if err == nil || !errors.As(err, &noQuorum) || time.Now().After(giveUpAt) {
			return g.Number, err
		}
	}
}

func (s *system) currentGeneration() uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g, err := s.daemon(0).Ledger().Current(ctx)
	Expect(err).NotTo(HaveOccurred())
	return g.Number
}

func (s *system) allDaemonsAt(generation uint64) bool {
	for i := range s.daemons {
		if active := s.daemon(i).Config().Current(); active == nil || active.Generation < generation {
			return false
		}
	}
	return true
}

// countReverts counts how often an instance of a daemon goes back to an older
// generation, until stop is set.
func (s *system) countReverts(stop *atomic.Bool) (reverts int) {
	newest := make(map[*daemon.Daemon]uint64)
	for ; !stop.Load(); time.Sleep(time.Millisecond) {
		for i := range s.daemons {
			d := s.daemon(i)
			active := d.Config().Current()
			if active == nil {
				continue
			}
			if active.Generation < newest[d] {
				reverts++
			}
			newest[d] = active.Generation
		}
	}
	return reverts
}

var _ = Describe("Promotions", func() {
	// Guards against two operators that both win the same generation, a resend
	// that takes effect twice or gets a different outcome, a daemon that goes back
	// to an older generation, and operation IDs that are lost in a restart.
	It("reach 8 daemons within the goal and survive races, lost answers and a restart", func() {
		s := newSystem(rig.Config{Daemons: 2, Domains: 4})
		var stop atomic.Bool
		var reverts int
		var watcher sync.WaitGroup
		watcher.Go(func() { reverts = s.countReverts(&stop) })
		defer watcher.Wait()
		defer stop.Store(true)

		before := s.currentGeneration()
		generations := make([]uint64, operatorCount)
		failures := make([]error, operatorCount)
		var race sync.WaitGroup
		for i := range operatorCount {
			race.Go(func() {
				req := port.PromoteRequest{OperationID: fmt.Sprintf("race-%d", i), Expect: before, Document: s.document, Operator: fmt.Sprintf("op-%d", i)}
				shortCtx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*time.Millisecond)
				_, _ = s.daemon(i).Ledger().Promote(shortCtx, req)
				cancel()
				generations[i], failures[i] = promoteUntilKnown(s.daemon(i+1), req)
			})
		}
		race.Wait()
		winner := -1
		for i, err := range failures {
			if err == nil {
				Expect(winner).To(Equal(-1), "operators %d and %d both won", winner, i)
				winner = i
				Expect(generations[i]).To(Equal(before + 1))
				continue
			}
			var conflict *port.ConflictError
			Expect(errors.As(err, &conflict)).To(BeTrue(), "operator %d: %v", i, err)
			Expect(conflict.Current).To(Equal(before + 1))
		}
		Expect(winner).NotTo(Equal(-1))
		Expect(s.currentGeneration()).To(Equal(before + 1))

		var slowest time.Duration
		for i := range promotionCount {
			started := time.Now()
			number, err := promoteUntilKnown(s.daemon(i), port.PromoteRequest{
				OperationID: fmt.Sprintf("many-%d", i), Expect: before + 1 + uint64(i), Document: s.document, Operator: "op",
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(number).To(Equal(before + 2 + uint64(i)))
			if i%30 == 0 {
				Eventually(func() bool { return s.allDaemonsAt(number) }, 5*time.Second, time.Millisecond).Should(BeTrue())
				slowest = max(slowest, time.Since(started))
			}
		}
		GinkgoWriter.Printf("a promotion was active on %d daemons after %v at most\n", len(s.daemons), slowest)
		Expect(slowest).To(BeNumerically("<", promotionTimeLimit))

		last := s.currentGeneration()
		s.daemon(0).Kill()
		s.restart(0)
		Eventually(func() bool { return s.allDaemonsAt(last) }, 10*time.Second, 10*time.Millisecond).Should(BeTrue())
		for _, resend := range []struct {
			id             string
			expect, number uint64
		}{
			{fmt.Sprintf("race-%d", winner), before, before + 1},
			{"many-0", before + 1, before + 2},
		} {
			operator := "op"
			if resend.number == before+1 {
				operator = fmt.Sprintf("op-%d", winner)
			}
			number, err := promoteUntilKnown(s.daemon(0), port.PromoteRequest{OperationID: resend.id, Expect: resend.expect, Document: s.document, Operator: operator})
			Expect(err).NotTo(HaveOccurred())
			Expect(number).To(Equal(resend.number))
		}
		Expect(s.currentGeneration()).To(Equal(last))
		stop.Store(true)
		watcher.Wait()
		Expect(reverts).To(BeZero())
	})
})
