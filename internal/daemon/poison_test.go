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
	// poisonCrashes is the bound of package suspect for copies that run one
	// after the other: quarantine_crashes of the example document.
	poisonCrashes = 2
)

// crashed counts the engines that accept no connection.
func (s *system) crashed() (count int) {
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
	// Guards against a caller that takes the whole fleet down by resending one
	// request through several daemons, and against other requests that suffer.
	It("is quarantined on all daemons after a bounded number of crashes", func() {
		s := newSystem(rig.Config{Daemons: 2, Domains: 1})
		f := &fleet{s.Rig}
		for range poisonEngines {
			f.addEngine(engine.Config{PoisonMarker: poisonMarker})
		}
		Expect(s.Await(5 * time.Second)).To(Succeed())
		// The daemons must know each other, or no mark can reach the other one.
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
		var last []answer
		report := f.runLoad(s.daemon(0), 8, 50, 3*time.Second, func() {
			client := newClient()
			defer client.CloseIdleConnections()
			time.Sleep(300 * time.Millisecond)
			for try := range 20 {
				a, err := do(s.daemon(try), client, http.MethodPost, "/v1/chat/completions", string(body), nil)
				if err != nil {
					a.code = err.Error()
				}
				codes[a.code]++
				last = append(last, a)
				time.Sleep(50 * time.Millisecond)
			}
		})
		crashes := s.crashed()
		GinkgoWriter.Printf("%d engines crashed, refusals %v, others %d of %d whole\n", crashes, codes, report.Whole, report.Calls)
		Expect(crashes).To(BeNumerically("<=", poisonCrashes))
		for _, a := range last[len(last)-2:] {
			Expect(a.code).To(Equal("quarantined"), a.body)
		}
		Expect(report.Whole).To(Equal(report.Calls), "%+v", report)
		Expect(report.Whole).To(BeNumerically(">", 50))
		call := load.Call{Key: testKey, Model: testModel, Prompt: "after", MaxTokens: 20}
		Expect(askThrough(s.daemon(1), s.daemon(0), call).whole).To(BeTrue())
	})
})
