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
	// promoteGoal is the target of the design page for 8 daemons.
	promoteGoal = time.Second
	operators   = 8
	// manyPromotions is several hundred, so that a restarted replica replays them.
	manyPromotions = 300
)

// promoteUntilKnown resends an operation until its outcome is known.
func promoteUntilKnown(d *daemon.Daemon, req port.PromoteRequest) (uint64, error) {
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		g, err := d.Ledger().Promote(ctx, req)
		cancel()
		var quorum *port.NoQuorumError
		if err == nil || !errors.As(err, &quorum) || time.Now().After(until) {
			return g.Number, err
		}
	}
}

func (s *system) current() uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g, err := s.daemon(0).Ledger().Current(ctx)
	Expect(err).NotTo(HaveOccurred())
	return g.Number
}

func (s *system) everywhere(number uint64) bool {
	for i := range s.daemons {
		if active := s.daemon(i).Config().Current(); active == nil || active.Generation < number {
			return false
		}
	}
	return true
}

// watchGenerations counts how often a life of a daemon goes back, until stop.
func (s *system) watchGenerations(stop *atomic.Bool) (reverts int) {
	seen := make(map[*daemon.Daemon]uint64)
	for ; !stop.Load(); time.Sleep(time.Millisecond) {
		for i := range s.daemons {
			d := s.daemon(i)
			active := d.Config().Current()
			if active == nil {
				continue
			}
			if active.Generation < seen[d] {
				reverts++
			}
			seen[d] = active.Generation
		}
	}
	return reverts
}

var _ = Describe("Promotions", func() {
	// Guards against two winners of one generation, a resend that takes effect
	// twice or gets another outcome, a daemon that goes back, and operation IDs
	// that a restart forgets.
	It("reach 8 daemons within the goal and survive races, lost answers and a restart", func() {
		s := newSystem(rig.Config{Daemons: 2, Domains: 4})
		var stop atomic.Bool
		var reverts int
		var watch sync.WaitGroup
		watch.Go(func() { reverts = s.watchGenerations(&stop) })
		defer watch.Wait()
		defer stop.Store(true)

		before := s.current()
		numbers := make([]uint64, operators)
		failures := make([]error, operators)
		var race sync.WaitGroup
		for i := range operators {
			race.Go(func() {
				req := port.PromoteRequest{OperationID: fmt.Sprintf("race-%d", i), Expect: before, Document: s.document, Operator: fmt.Sprintf("op-%d", i)}
				lost, cancel := context.WithTimeout(context.Background(), time.Duration(i)*time.Millisecond)
				_, _ = s.daemon(i).Ledger().Promote(lost, req)
				cancel()
				numbers[i], failures[i] = promoteUntilKnown(s.daemon(i+1), req)
			})
		}
		race.Wait()
		winner := -1
		for i, err := range failures {
			if err == nil {
				Expect(winner).To(Equal(-1), "operators %d and %d both won", winner, i)
				winner = i
				Expect(numbers[i]).To(Equal(before + 1))
				continue
			}
			var conflict *port.ConflictError
			Expect(errors.As(err, &conflict)).To(BeTrue(), "operator %d: %v", i, err)
			Expect(conflict.Current).To(Equal(before + 1))
		}
		Expect(winner).NotTo(Equal(-1))
		Expect(s.current()).To(Equal(before + 1))

		var slowest time.Duration
		for i := range manyPromotions {
			started := time.Now()
			number, err := promoteUntilKnown(s.daemon(i), port.PromoteRequest{
				OperationID: fmt.Sprintf("many-%d", i), Expect: before + 1 + uint64(i), Document: s.document, Operator: "op",
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(number).To(Equal(before + 2 + uint64(i)))
			if i%30 == 0 {
				Eventually(func() bool { return s.everywhere(number) }, 5*time.Second, time.Millisecond).Should(BeTrue())
				slowest = max(slowest, time.Since(started))
			}
		}
		GinkgoWriter.Printf("a promotion was in force on %d daemons after %v at most\n", len(s.daemons), slowest)
		Expect(slowest).To(BeNumerically("<", promoteGoal))

		last := s.current()
		s.daemon(0).Kill()
		s.restart(0)
		Eventually(func() bool { return s.everywhere(last) }, 10*time.Second, 10*time.Millisecond).Should(BeTrue())
		for _, again := range []struct {
			id             string
			expect, number uint64
		}{
			{fmt.Sprintf("race-%d", winner), before, before + 1},
			{"many-0", before + 1, before + 2},
		} {
			operator := "op"
			if again.number == before+1 {
				operator = fmt.Sprintf("op-%d", winner)
			}
			number, err := promoteUntilKnown(s.daemon(0), port.PromoteRequest{OperationID: again.id, Expect: again.expect, Document: s.document, Operator: operator})
			Expect(err).NotTo(HaveOccurred())
			Expect(number).To(Equal(again.number))
		}
		Expect(s.current()).To(Equal(last))
		stop.Store(true)
		watch.Wait()
		Expect(reverts).To(BeZero())
	})
})
