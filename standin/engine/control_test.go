package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/standin/engine"
)

// slowWeights takes 30 ms for each download and sends its name to calls.
type slowWeights struct{ calls chan string }

// Fetch implements engine.Weights.
func (w slowWeights) Fetch(_ context.Context, model, _, adapter string) (int64, error) {
	time.Sleep(30 * time.Millisecond)
	w.calls <- model + adapter
	return 1, nil
}

var _ = Describe("orders", func() {
	sendOrder := func(e *engine.Engine, o endpoint.Order) (int, bool) {
		var result endpoint.OrderResult
		status, _ := call(e, endpoint.PathOrder, o, &result)
		return status, result.Done
	}

	It("guards against an engine that enforces fencing but accepts an order with an outdated fencing number", func() {
		for mode, want := range map[endpoint.FencingMode]int{endpoint.FencingEnforced: 409, endpoint.FencingIgnored: 200} {
			e := start(func(c *engine.Config) { c.Fencing = mode })
			status, _ := sendOrder(e, endpoint.Order{FencingNumber: 5, Kind: endpoint.OrderSetRole, Role: endpoint.RoleDecode})
			Expect(status).To(Equal(200))
			status, _ = sendOrder(e, endpoint.Order{FencingNumber: 4, Kind: endpoint.OrderSetRole, Role: endpoint.RoleBoth})
			Expect(status).To(Equal(want))
		}
	})

	It("guards against a repeated load order that starts a second download", func() {
		weights := slowWeights{make(chan string, 10)}
		e := start(func(c *engine.Config) { c.Weights = weights })
		loadOrder := endpoint.Order{Kind: endpoint.OrderLoadModel, Model: "n", Version: "1"}
		for range 3 {
			_, done := sendOrder(e, loadOrder)
			Expect(done).To(BeFalse())
		}
		Eventually(func() bool { _, done := sendOrder(e, loadOrder); return done }).Should(BeTrue())
		Expect(weights.calls).To(HaveLen(1))
		_, done := sendOrder(e, endpoint.Order{Kind: endpoint.OrderUnloadModel, Model: "n"})
		Expect(done).To(BeTrue())
		_, done = sendOrder(e, loadOrder)
		Expect(done).To(BeFalse())
	})

	It("guards against an engine with a controller token that accepts an order without the token", func() {
		e := start(func(c *engine.Config) { c.ControllerToken = "secret" })
		status, _ := sendOrder(e, endpoint.Order{Kind: endpoint.OrderDrain})
		Expect(status).To(Equal(http.StatusUnauthorized))
		data, _ := json.Marshal(endpoint.Order{Kind: endpoint.OrderDrain})
		req, _ := http.NewRequest(http.MethodPost, e.BaseURL()+endpoint.PathOrder, bytes.NewReader(data))
		req.Header.Set(endpoint.HeaderController, "secret")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	It("guards against a draining engine that interrupts accepted generations or accepts new ones", func() {
		e := start(func(c *engine.Config) { c.Slots = 1 })
		streams := make([]*http.Response, 2)
		for i, id := range []string{"a", "b"} {
			resp, err := post(context.Background(), e.BaseURL()+endpoint.PathGenerate, request(id, "x", 500))
			Expect(err).NotTo(HaveOccurred())
			streams[i] = resp
		}
		_, done := sendOrder(e, endpoint.Order{Kind: endpoint.OrderDrain})
		Expect(done).To(BeFalse())
		_, refused := call(e, endpoint.PathGenerate, request("c", "x", 1), nil)
		Expect(refused.Code).To(Equal(endpoint.CodeLeaving))
		for _, resp := range streams {
			Expect(readStream(resp).text).To(Equal(engine.Answer(model, "", "x", 500)))
		}
		Eventually(func() bool { _, done := sendOrder(e, endpoint.Order{Kind: endpoint.OrderDrain}); return done }).Should(BeTrue())
	})
})

var _ = Describe("announcements", func() {
	It("guards against load reports whose figures are newer than their reported age", func() {
		entry := newFakeEntry()
		e := start(func(c *engine.Config) {
			c.Entries = []string{entry.url}
			c.LoadLag = 200 * time.Millisecond
			c.TimeScale = 1
		})
		Eventually(func() int64 { return entry.last().Load.AgeMS }).Should(BeNumerically(">=", 190))
		resp, err := post(context.Background(), e.BaseURL()+endpoint.PathGenerate, request("a", "x", 100_000))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Consistently(func() int { return entry.last().Load.Running }).WithTimeout(100 * time.Millisecond).Should(BeZero())
		Eventually(func() int { return entry.last().Load.Running }).Should(Equal(1))
	})

	It("guards against a reset that does not restore the cache index after lost events", func() {
		entry := newFakeEntry()
		e := start(func(c *engine.Config) {
			c.Entries = []string{entry.url}
			c.CacheEventLoss = 0.5
			c.CacheEventDelay = 20 * time.Millisecond
		})
		prompt := longPrompt("words", 2000)
		generate(e, request("a", prompt, 1))
		hashes := endpoint.PrefixHashes(model, "", prompt)
		Eventually(func() int { return len(entry.cacheEvents()) }).Should(BeNumerically(">", 5))
		Expect(len(entry.cacheEvents())).To(BeNumerically("<", len(hashes)))
		entry.mu.Lock()
		entry.wantReset = true
		entry.events = nil
		entry.mu.Unlock()
		Eventually(func() int { return len(entry.cacheEvents()) }).Should(BeNumerically(">", len(hashes)))
		var index []uint64
		for _, event := range entry.cacheEvents() {
			if event.Kind == endpoint.CacheReset {
				index = nil
				continue
			}
			index = append(index, event.Block)
		}
		Expect(index).To(ConsistOf(hashes))
	})
})
