package engine_test

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/standin/engine"
)

var _ = Describe("faults", func() {
	openStream := func(e *engine.Engine, id string) *http.Response {
		resp, err := post(context.Background(), e.BaseURL()+endpoint.PathGenerate, request(id, "x", 100_000))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return e.Ledger().Request("r-" + id).Runs }).Should(Equal(1))
		return resp
	}

	It("guards against a crash that leaves connections open, and against a replacement with the old incarnation", func() {
		entry := newFakeEntry()
		e := start(func(c *engine.Config) { c.TimeScale = 1; c.Entries = []string{entry.url} })
		resp := openStream(e, "a")
		e.Crash()
		Expect(readStream(resp).err).To(HaveOccurred())
		replacement, err := e.Replace()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(replacement.Close)
		Eventually(func() uint64 { return entry.last().Incarnation }).Should(Equal(uint64(2)))
	})

	It("guards against a poison prompt that does not crash the engine or is not recorded as run", func() {
		e := start(func(c *engine.Config) { c.PoisonMarker = "POISON" })
		Expect(generate(e, request("a", "x", 2)).err).NotTo(HaveOccurred())
		resp, err := post(context.Background(), e.BaseURL()+endpoint.PathGenerate, request("b", "a POISON b", 100_000))
		if err == nil {
			Expect(readStream(resp).err).To(HaveOccurred())
		}
		Expect(e.Ledger().Request("r-b").Runs).To(Equal(1))
		_, err = post(context.Background(), e.BaseURL()+endpoint.PathGenerate, request("c", "x", 2))
		Expect(err).To(HaveOccurred())
	})

	It("guards against a silenced connection that still delivers frames, and against new connections that do not work", func() {
		e := start(func(c *engine.Config) { c.TimeScale = 1 })
		resp := openStream(e, "a")
		defer resp.Body.Close()
		Expect(e.SilenceConnections()).To(BeNumerically(">=", 1))
		received := make(chan struct{}, 1000)
		go func() {
			lines := bufio.NewReader(resp.Body)
			for {
				if _, err := lines.ReadBytes('\n'); err != nil {
					return
				}
				received <- struct{}{}
			}
		}()
		time.Sleep(50 * time.Millisecond)
		before := len(received)
		Consistently(func() int { return len(received) }).WithTimeout(100 * time.Millisecond).Should(Equal(before))
		newClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		ping, err := newClient.Get(e.BaseURL() + endpoint.PathPing)
		Expect(err).NotTo(HaveOccurred())
		ping.Body.Close()
		Expect(ping.StatusCode).To(Equal(http.StatusNoContent))
	})

	It("guards against an engine that accepts work after a reclaim notice, runs waiting work or does not stop at the deadline", func() {
		entry := newFakeEntry()
		e := start(func(c *engine.Config) { c.TimeScale = 1; c.Slots = 1; c.Entries = []string{entry.url} })
		running := openStream(e, "a")
		waiting, err := post(context.Background(), e.BaseURL()+endpoint.PathGenerate, request("b", "x", 5))
		Expect(err).NotTo(HaveOccurred())
		e.ReclaimNotice(300 * time.Millisecond)
		refused := readStream(waiting)
		Expect(refused.last).To(And(HaveField("Code", endpoint.CodeLeaving), HaveField("Run", endpoint.NotRun)))
		Eventually(func() []endpoint.Withdrawal { entry.mu.Lock(); defer entry.mu.Unlock(); return entry.withdrawals }).
			Should(ConsistOf(HaveField("DeadlineMS", int64(300))))
		Eventually(entry.last).Should(And(HaveField("State", endpoint.StateLeaving), HaveField("DeadlineMS", BeNumerically(">", 0))))
		result := readStream(running)
		Expect(result.err).To(HaveOccurred())
		Expect(len(result.frames)).To(BeNumerically(">", 10))
		Expect(e.Ledger().Request("r-b").Runs).To(BeZero())
	})

	It("guards against a frame fault that leaves the stream intact", func() {
		e := start(nil)
		generateWithFault := func(kind engine.FrameFaultKind) streamResult {
			e.SetFrameFault(engine.FrameFault{Kind: kind, Every: 3})
			// Each attempt has its own ID, because the engine may still run an attempt
			// whose stream was abandoned when the next one starts.
			return generate(e, request(strconv.Itoa(int(kind)), "x", 200))
		}
		expected := engine.Answer(model, "", "x", 200)
		for _, kind := range []engine.FrameFaultKind{engine.DuplicateFrames, engine.CrossFrames, engine.SkipFrames, engine.WrongOffsets} {
			Expect(generateWithFault(kind).text).NotTo(Equal(expected))
		}
		Expect(generateWithFault(engine.GarbageFrames).err).To(HaveOccurred())
		Expect(generateWithFault(engine.NoFrameFault).text).To(Equal(expected))
	})

	It("guards against a stall that ends the stream or after which all missed tokens are sent at once", func() {
		e := start(func(c *engine.Config) { c.TimeScale = 1 })
		resp := openStream(e, "a")
		defer resp.Body.Close()
		before := e.GeneratedTokens()
		e.Stall(time.Second)
		time.Sleep(250 * time.Millisecond)
		Expect(e.GeneratedTokens() - before).To(BeNumerically("<=", 2))
		Eventually(func() int64 { return e.GeneratedTokens() - before }).WithTimeout(3 * time.Second).Should(BeNumerically(">", 4))
		Expect(e.GeneratedTokens() - before).To(BeNumerically("<", 20))
	})
})
