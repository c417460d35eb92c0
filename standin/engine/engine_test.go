package engine_test

import (
	"context"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/standin/engine"
)

var _ = Describe("generation", func() {
	It("guards against an answer that differs from the text that engine.Answer computes from the prompt", func() {
		e := start(nil)
		var group sync.WaitGroup
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			group.Go(func() {
				defer GinkgoRecover()
				result := generate(e, request(id, "prompt "+id, 100))
				Expect(result.text).To(Equal(engine.Answer(model, "", "prompt "+id, 100)))
				Expect(result.last.Offset).To(Equal(100))
				Expect(result.last.Usage.GeneratedTokens).To(Equal(100))
			})
		}
		group.Wait()
		Expect(e.Ledger().Totals()).To(Equal(engine.Totals{Requests: 8, Runs: 8, GeneratedTokens: 800}))
	})

	It("guards against a resumed generation that starts from the beginning or whose prefill is not counted as recomputed", func() {
		e := start(nil)
		req := request("a", "prompt", 50)
		req.EmittedTokens = 20
		req.Emitted = engine.Answer(model, "", "prompt", 20)
		result := generate(e, req)
		Expect(req.Emitted + result.text).To(Equal(engine.Answer(model, "", "prompt", 50)))
		record := e.Ledger().Request("r-a")
		Expect(record.GeneratedTokens).To(Equal(30))
		Expect(record.RecomputedTokens).To(Equal(20 + endpoint.EstimateTokens("prompt")))
	})

	It("guards against a request that is run again from the beginning and not counted as recomputed", func() {
		e := start(nil)
		generate(e, request("a", "prompt", 50))
		generate(e, request("a", "prompt", 50))
		record := e.Ledger().Request("r-a")
		Expect(record.Runs).To(Equal(2))
		Expect(record.RecomputedTokens).To(Equal(50 + endpoint.EstimateTokens("prompt")))
	})

	It("guards against a prefix cache that does not shorten the prefill of a repeated prompt", func() {
		e := start(func(c *engine.Config) { c.TimeScale = 0.1 })
		prompt := longPrompt("words", 8000)
		first := measure(func() { generate(e, request("a", prompt, 1)) })
		second := measure(func() { generate(e, request("b", prompt, 1)) })
		// At 8000 tokens/s and a time scale of 0.1, the prefill of 8000 tokens takes 100 ms.
		Expect(first).To(BeNumerically(">", 80*time.Millisecond))
		Expect(second).To(BeNumerically("<", first/2))
		Expect(e.Ledger().Request("r-b").CachedTokens).To(BeNumerically(">", 7900))
	})

	It("guards against a waiting queue that ignores priorities", func() {
		e := start(func(c *engine.Config) { c.Slots = 1 })
		var mu sync.Mutex
		var order []int
		var group sync.WaitGroup
		run := func(id string, priority int) {
			group.Go(func() {
				defer GinkgoRecover()
				req := request(id, id, 300)
				req.Priority = priority
				generate(e, req)
				mu.Lock()
				order = append(order, priority)
				mu.Unlock()
			})
			Eventually(func() int { return e.Ledger().Totals().Runs }).WithPolling(time.Millisecond).Should(BeNumerically(">=", 1))
			time.Sleep(2 * time.Millisecond)
		}
		run("first", 9)
		run("low", 2)
		run("high", 0)
		group.Wait()
		Expect(order).To(Equal([]int{9, 0, 2}))
	})

	It("guards against slots that stay occupied after a caller has cancelled or disconnected", func() {
		e := start(func(c *engine.Config) { c.Slots = 1; c.TimeScale = 1 })
		ctx, cancel := context.WithCancel(context.Background())
		resp, err := post(ctx, e.BaseURL()+endpoint.PathGenerate, request("a", "x", 100_000))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		defer resp.Body.Close()
		resp, err = post(context.Background(), e.BaseURL()+endpoint.PathGenerate, request("b", "x", 100_000))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return e.Ledger().Request("r-b").Runs }).Should(Equal(1))
		status, _ := call(e, endpoint.PathCancel, endpoint.CancelRequest{AttemptID: "b"}, nil)
		Expect(status).To(Equal(http.StatusNoContent))
		readStream(resp)
		Expect(generate(e, request("c", "x", 2)).err).NotTo(HaveOccurred())
	})

	It("guards against a refusal that is not marked as not run, and against a refused generation that runs", func() {
		e := start(func(c *engine.Config) { c.Slots = 1; c.MaxWaiting = 1; c.TimeScale = 1 })
		for _, id := range []string{"a", "b"} {
			resp, err := post(context.Background(), e.BaseURL()+endpoint.PathGenerate, request(id, "x", 100_000))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			Eventually(func() int { return e.Ledger().Totals().Runs }).Should(Equal(1))
		}
		status, refused := call(e, endpoint.PathGenerate, request("c", "x", 1), nil)
		Expect(status).To(Equal(http.StatusTooManyRequests))
		Expect(refused).To(And(HaveField("Code", endpoint.CodeOverloaded), HaveField("Run", endpoint.NotRun)))
		unknownModel := request("d", "x", 1)
		unknownModel.Model = "unknown"
		_, refused = call(e, endpoint.PathGenerate, unknownModel, nil)
		Expect(refused.Code).To(Equal(endpoint.CodeNoModel))
		Expect(e.Ledger().Totals().Runs).To(Equal(1))
	})
})

var _ = Describe("KV transfer", func() {
	It("guards against an imported KV cache that is recomputed, transferred in no time or used for another prompt", func() {
		source := start(func(c *engine.Config) { c.TimeScale = 1 })
		target := start(func(c *engine.Config) {
			c.ID = "e2"
			c.Ledger = source.Ledger()
		})
		prompt := longPrompt("words", 1000)
		resp, err := post(context.Background(), source.BaseURL()+endpoint.PathGenerate, request("a", prompt, 100_000))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		var handle endpoint.KVHandle
		Eventually(func() int {
			status, _ := call(source, endpoint.PathKVExport, endpoint.KVExportRequest{AttemptID: "a"}, &handle)
			return status
		}).Should(Equal(http.StatusOK))
		importRequest := endpoint.KVImportRequest{SourceURL: source.BaseURL(), Handle: handle.Handle}
		// At 100 kB per token and 2 GB/s, the transfer of 1000 tokens takes 50 ms.
		Expect(measure(func() {
			status, _ := call(target, endpoint.PathKVImport, importRequest, nil)
			Expect(status).To(Equal(http.StatusNoContent))
		})).To(BeNumerically(">", 40*time.Millisecond))
		otherPrompt := request("b", "other", 2)
		otherPrompt.KVHandle = handle.Handle
		_, refused := call(target, endpoint.PathGenerate, otherPrompt, nil)
		Expect(refused.Code).To(Equal(endpoint.CodeNoKV))
		req := request("a", prompt, 2)
		req.EmittedTokens, req.Emitted, req.KVHandle = 1, engine.Answer(model, "", prompt, 1), handle.Handle
		Expect(generate(target, req).err).NotTo(HaveOccurred())
		Expect(target.Ledger().Request("r-a").RecomputedTokens).To(BeZero())
		source.Close()
		status, _ := call(target, endpoint.PathKVImport, importRequest, nil)
		Expect(status).To(Equal(http.StatusBadGateway))
	})
})

func measure(f func()) time.Duration {
	startTime := time.Now()
	f()
	return time.Since(startTime)
}

var _ = Describe("machine classes", func() {
	It("guards against a full batch that is faster or slower than its machine class", func() {
		speed := engine.ClassSpeed(12000, 2400, 32)
		full := speed.DecodeStep + 31*speed.DecodeStepPerSequence
		Expect(32 / full.Seconds()).To(BeNumerically("~", 2400, 1))
		e := start(func(c *engine.Config) { c.Speed = speed; c.Slots = 32; c.TimeScale = 1 })
		startTime := time.Now()
		var group sync.WaitGroup
		for i := range 32 {
			group.Go(func() {
				defer GinkgoRecover()
				generate(e, request(time.Duration(i).String(), "x", 50))
			})
		}
		group.Wait()
		// At 2400 tokens/s, 1600 tokens take 667 ms. Timers may fire late on a busy machine.
		Expect(time.Since(startTime)).To(And(BeNumerically(">", 600*time.Millisecond), BeNumerically("<", 1400*time.Millisecond)))
	})
})

var _ = Describe("ledger", func() {
	It("guards against a complete answer that is not in the ledger yet or whose attempt is still registered as running", func() {
		e := start(nil)
		for i := range 200 {
			generate(e, request("a", "x", 3))
			Expect(e.Ledger().Request("r-a").GeneratedTokens).To(Equal(3 * (i + 1)))
		}
	})
})
