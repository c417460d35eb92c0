package daemon_test

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/standin/engine"
)

const (
	poisonMarker  = "POISON"
	poisonEngines = 8
	// poisonCrashes is the most engines that a request may crash if its copies run
	// one after the other. It equals quarantine_crashes of the example document
	// (package suspect).
	poisonCrashes = 2
)

// countCrashedEngines counts the engines that accept no connection.
func (s *system) countCrashedEngines() (count int) {
	for _, e := range s.Engines() {
		conn, err := net.DialTimeout("tcp", strings.TrimPrefix(e.BaseURL(), "http://"), time.Second)
		if err != nil {
			count++
			continue
		}
		_ = conn.Close()
	}
	return count
}

var _ = Describe("A request that crashes each engine that runs it", func() {
	// Guards against a caller that crashes every engine by resending one request
	// through several daemons, and against other requests that fail because of it.
	It("is quarantined on all daemons after a bounded number of crashes", func() {
		s := newSystem(rig.Config{Daemons: 2, Domains: 1})
		f := &fleet{s.Rig}
		for range poisonEngines {
			f.addEngine(engine.Config{PoisonMarker: poisonMarker})
		}
		Expect(s.Await(5 * time.Second)).To(Succeed())
		// A daemon learns of crashes that the other one has seen only once they know
		// each other.
		for i := range 2 {
			Eventually(func() []member.Peer { return s.daemon(i).Cluster().Node().Peers() }, 5*time.Second, 20*time.Millisecond).
				Should(ConsistOf(HaveField("Status", member.Alive)))
		}
		body, err := json.Marshal(map[string]any{
			"model": testModel, "max_tokens": 20,
			"messages": []map[string]string{{"role": "user", "content": "a note with " + poisonMarker}},
		})
		Expect(err).NotTo(HaveOccurred())
		codes := make(map[string]int)
		var responses []response
		report := f.runLoad(s.daemon(0), 8, 50, 3*time.Second, func() {
			client := newClient()
			defer client.CloseIdleConnections()
			time.Sleep(300 * time.Millisecond)
			for attempt := range 20 {
				resp, err := sendRequest(s.daemon(attempt), client, http.MethodPost, "/v1/chat/completions", string(body), nil)
				if err != nil {
					resp.code = err.Error()
				}
				codes[resp.code]++
				responses = append(responses, resp)
				time.Sleep(50 * time.Millisecond)
			}
		})
		crashes := s.countCrashedEngines()
		GinkgoWriter.Printf("%d engines crashed, refusals %v, %d of %d other requests complete\n", crashes, codes, report.Complete, report.Calls)
		Expect(crashes).To(BeNumerically("<=", poisonCrashes))
		for _, resp := range responses[len(responses)-2:] {
			Expect(resp.code).To(Equal("quarantined"), resp.body)
		}
		Expect(report.Complete).To(Equal(report.Calls), "%+v", report)
		Expect(report.Complete).To(BeNumerically(">", 50))
		call := load.Call{Key: testKey, Model: testModel, Prompt: "after", MaxTokens: 20}
		Expect(requestAndFollow(s.daemon(1), s.daemon(0), call).complete).To(BeTrue())
	})
})
