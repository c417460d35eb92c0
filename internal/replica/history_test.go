package replica_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/port"
)

// operation is the input of one operation in the history: a promotion, a claim or a read.
type operation struct {
	promote *port.PromoteRequest
	claim   string
	attempt string
}

// outcome is the output of one operation. unknown means that the operation may have taken
// effect or not, rejected that a promotion failed because of a conflict.
type outcome struct {
	unknown  bool
	number   uint64
	rejected bool
	state    port.ClaimState
}

// ledgerState is the state of the sequential model: the number of the newest generation
// and the attempt that holds each claim.
type ledgerState struct {
	number uint64
	claims string
}

const claimFormat = "|%s=%s|"

func step(state, input, output any) []any {
	s, in, out := state.(ledgerState), input.(operation), output.(outcome)
	switch {
	case in.promote != nil:
		return stepPromote(s, in, out)
	case in.claim != "":
		return stepClaim(s, in, out)
	case out.unknown || out.number == s.number:
		return []any{s}
	}
	return nil
}

func stepPromote(s ledgerState, in operation, out outcome) []any {
	promoted := ledgerState{s.number + 1, s.claims}
	matches := in.promote.Expect == s.number
	switch {
	case out.unknown && matches:
		return []any{s, promoted}
	case out.unknown:
		return []any{s}
	case out.rejected && !matches:
		return []any{s}
	case !out.rejected && matches && out.number == promoted.number:
		return []any{promoted}
	}
	return nil
}

func stepClaim(s ledgerState, in operation, out outcome) []any {
	claimEntry := fmt.Sprintf(claimFormat, in.claim, in.attempt)
	claimed := containsKey(s.claims, in.claim)
	granted := ledgerState{s.number, s.claims + claimEntry}
	switch {
	case out.unknown && !claimed:
		return []any{s, granted}
	case out.unknown:
		return []any{s}
	case out.state == port.ClaimGranted && !claimed:
		return []any{granted}
	case out.state == port.ClaimRunning && claimed:
		return []any{s}
	}
	return nil
}

func containsKey(claims, key string) bool {
	for i := 0; i+len(key)+2 <= len(claims); i++ {
		if claims[i:i+len(key)+2] == "|"+key+"=" {
			return true
		}
	}
	return false
}

// TestHistoryIsLinearizable guards against answers that are not linearizable,
// while operators and claimers run concurrently and the leader is cut off and stopped.
func TestHistoryIsLinearizable(t *testing.T) {
	c := newCluster(t, 3, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	begin := time.Now()
	for w := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := c.client()
			var seen uint64
			for i := 0; ctx.Err() == nil; i++ {
				in, out := operation{}, outcome{}
				call := time.Since(begin).Nanoseconds()
				switch i % 3 {
				case 0:
					in.promote = &port.PromoteRequest{OperationID: fmt.Sprintf("%d-%d", w, i), Expect: seen}
					out = promote(ctx, client, in.promote)
				case 1:
					in.claim, in.attempt = fmt.Sprintf("k%d", i), fmt.Sprintf("%d-%d", w, i)
					result, err := client.Claim(ctx, claimRequest(in.claim, in.attempt))
					out = outcome{unknown: err != nil, state: result.State}
				default:
					g, err := client.Current(ctx)
					out = outcome{unknown: err != nil, number: g.Number}
				}
				seen = max(seen, out.number)
				end := time.Since(begin).Nanoseconds()
				if out.unknown {
					// The operation may take effect at any later time.
					end = int64(time.Hour)
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: w, Input: in, Output: out, Call: call, Return: end})
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	cut := c.leader()
	for i := range c.addr {
		c.faults.setCut(c.addr[cut], c.addr[i], i != cut)
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range c.addr {
		c.faults.setCut(c.addr[cut], c.addr[i], false)
	}
	time.Sleep(500 * time.Millisecond)
	c.stop(c.leader())
	wait.Wait()
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{ledgerState{}} }, Step: step,
		Equal: func(a, b any) bool { return a == b },
	}
	result := porcupine.CheckOperationsTimeout(model.ToModel(), history, 30*time.Second)
	t.Logf("%d operations: %s", len(history), result)
	c.g.Expect(len(history)).To(BeNumerically(">", 200))
	c.g.Expect(result).To(Equal(porcupine.Ok))
}

func promote(ctx context.Context, client port.Ledger, req *port.PromoteRequest) outcome {
	g, err := client.Promote(ctx, *req)
	var conflict *port.ConflictError
	switch {
	case err == nil:
		return outcome{number: g.Number}
	case errors.As(err, &conflict):
		// The conflict also contains the number of the newest generation, which the next
		// promotion expects.
		return outcome{rejected: true, number: conflict.Current}
	default:
		return outcome{unknown: true}
	}
}
