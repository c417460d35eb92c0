package bench

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/load"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

func example(name string) []byte {
	data, err := os.ReadFile("../../examples/" + name)
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("Scenarios", func() {
	DescribeTable("guards against a rig that differs from today's deployments", func(file string, engines int, keys callers) {
		scaled, doc, err := scaleDocument(example(file))
		Expect(err).NotTo(HaveOccurred())
		again, err := conf.Parse(scaled)
		Expect(err).NotTo(HaveOccurred())
		original, _ := conf.Parse(example(file))
		Expect(float64(again.Ranks[0].FirstTokenMS)).To(BeNumerically("~", float64(original.Ranks[0].FirstTokenMS)*TimeScale, 1))
		Expect(machines(doc, 1)).To(HaveLen(engines))
		for _, m := range machines(doc, 1) {
			Expect(m.price).To(BeNumerically(">", 0))
		}
		Expect(findCallers(doc)).To(Equal(keys))
	},
		Entry("portfolio", "portfolio.json", 12, callers{"dev-north-jury", "dev-north", "dev-archive", "dev-south"}),
		Entry("calendar", "calendar.json", 10, callers{"dev-district", "dev-trusts", "dev-editors", "dev-trusts"}),
	)

	It("guards against a cost that ignores the time scale or counts late answers", func() {
		r := &Result{Streams: []load.Report{{Tokens: 9000, WithinTokens: 4000}}}
		r.fillCost([]machine{{price: 1}, {price: 2}}, time.Hour)
		Expect(r.CostPerKilotoken).To(BeNumerically("~", 3/TimeScale/4, 1e-9))
	})

	It("guards against refused calls that count as within target, or that lower the share of accepted ones", func() {
		_, doc, err := scaleDocument(example("portfolio.json"))
		Expect(err).NotTo(HaveOccurred())
		r := &Result{Streams: []load.Report{{Calls: 10, Within: 4, Refused: map[string]int{"429": 5}}}}
		r.fillRanks(doc, []load.Stream{{Call: load.Call{Rank: doc.Ranks[0].Name}}})
		Expect(r.Ranks[0].Both).To(Equal(0.4))
		Expect(r.Ranks[0].Accepted).To(Equal(0.8))
	})

	It("guards against an unknown scenario that runs as another one", func() {
		_, err := Run(context.Background(), RunConfig{Scenario: "stedy"})
		var unknown *ScenarioError
		Expect(errors.As(err, &unknown)).To(BeTrue())
	})

	It("guards against calls, answers or publications that a short chaos run loses", func() {
		r, err := Run(context.Background(), RunConfig{Document: example("portfolio.json"), Scenario: Chaos, Policy: Current, Seed: 3, Duration: 1500 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Streams).To(HaveLen(3))
		for _, s := range r.Streams {
			Expect(s.Calls).To(BeNumerically(">", 0))
			Expect(s.Wrong).To(BeZero())
		}
		Expect(r.Publications.Calls).To(BeNumerically(">", 0))
		Expect(r.Publications.Doubled).To(BeZero())
		Expect(r.Publications.FalseNotRun).To(BeZero())
		Expect(r.Publications.Missing).To(BeZero())
		decoder := xml.NewDecoder(bytes.NewReader(Plot([]*Result{r})))
		for err == nil {
			_, err = decoder.Token()
		}
		Expect(err).To(Equal(io.EOF))
	})
})
