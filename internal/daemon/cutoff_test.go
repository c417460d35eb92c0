package daemon_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/standin/engine"
	"github.com/boragelead/boragelead/standin/service"
)

var _ = Describe("A failure domain that is cut off from the state replicas", func() {
	// Guards against a domain that stops serving, loses its configuration or
	// reports a wrong configuration age when all state replicas are unreachable.
	It("serves with its last configuration and reports the age", func() {
		s := newSystem(rig.Config{Daemons: 1, Domains: 4})
		domain := s.Domains()[3]
		_, err := s.AddEngine(engine.Config{FailureDomain: domain, Class: "a100", Slots: 16, Speed: fastSpeed, AnnounceInterval: 200 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.AddService(service.Config{FailureDomain: domain, Service: "publishing", AnnounceInterval: 200 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Await(5 * time.Second)).To(Succeed())
		d := s.daemon(3)
		Eventually(func() time.Duration {
			age, known := d.Cluster().SourceAge()
			if !known {
				return time.Hour
			}
			return age
		}, 5*time.Second, 20*time.Millisecond).Should(BeNumerically("<", 2*time.Second))
		generation := d.Config().Current().Generation
		for number := range 3 {
			s.daemon(number).Kill()
		}
		killed := time.Now()
		target := &load.OpenAITarget{BaseURL: "http://" + d.CallerAddress(), Client: &http.Client{Transport: load.NewTransport()}}
		reports := load.Run(context.Background(), target, load.Config{
			Duration: 4 * time.Second, Grace: 10 * time.Second, Seed: 1, Verify: rig.Verify,
			Streams: []load.Stream{{Name: "cut off", Concurrency: 8, PromptBytes: 400, Call: load.Call{Key: testKey, Model: testModel, MaxTokens: 50}}},
		})
		Expect(reports[0].Calls).To(BeNumerically(">", 20))
		Expect(reports[0].Complete).To(Equal(reports[0].Calls), "%+v", reports[0])
		age, known := d.Cluster().SourceAge()
		outage := time.Since(killed)
		Expect(known).To(BeTrue())
		Expect(age).To(BeNumerically(">=", outage-time.Second))
		Expect(age).To(BeNumerically("<=", outage+3*time.Second))
		GinkgoWriter.Printf("%d complete answers; age %v after an outage of %v\n", reports[0].Complete, age, outage)
		Expect(d.Config().Current().Generation).To(Equal(generation))
		client := newClient()
		defer client.CloseIdleConnections()
		resp, err := publish(d, client, "/portfolios/cut-off", "cut-off", `{}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.code).To(Equal("no_quorum"), resp.body)
		Expect(resp.run).To(Equal("not_run"))
		Expect(s.pathRuns("/portfolios/cut-off")).To(BeZero())
		resp, err = publish(d, client, "/portfolios/cut-off", "", `{}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.status).To(Equal(201), resp.body)
		Expect(s.pathRuns("/portfolios/cut-off")).To(Equal(1))
	})
})
