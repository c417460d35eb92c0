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
	DescribeTable("scales the document and builds the fleet of each current deployment", func(file string, engines int, keys callerKeys) {
		scaled, doc, err := scaleDocument(example(file))
		Expect(err).NotTo(HaveOccurred())
		reparsed, err := conf.Parse(scaled)
		Expect(err).NotTo(HaveOccurred())
		original, _ := conf.Parse(example(file))
		Expect(float64(reparsed.Ranks[0].FirstTokenMS)).To(BeNumerically("~", float64(original.Ranks[0].FirstTokenMS)*TimeScale, 1))
		Expect(machines(doc, 1)).To(HaveLen(engines))
		for _, m := range machines(doc, 1) {
			Expect(m.price).To(BeNumerically(">", 0))
		}
		Expect(findCallerKeys(doc)).To(Equal(keys))
	},
		Entry("portfolio", "portfolio.json", 12, callerKeys{"dev-north-jury", "dev-north", "dev-archive", "dev-south"}),
		Entry("calendar", "calendar.json", 10, callerKeys{"dev-district", "dev-trusts", "dev-editors", "dev-trusts"}),
	)

	It("includes the time scale in the cost and leaves late answers out of it", func() {
		r := &Result{Streams: []load.Report{{Tokens: 9000, WithinTokens: 4000}}}
		r.fillCost([]machine{{price: 1}, {price: 2}}, time.Hour)
		Expect(r.CostPerKilotoken).To(BeNumerically("~", 3/TimeScale/4, 1e-9))
	})

	It("counts refused calls as outside the target and leaves them out of the accepted share", func() {
		_, doc, err := scaleDocument(example("portfolio.json"))
		Expect(err).NotTo(HaveOccurred())
		r := &Result{Streams: []load.Report{{Calls: 10, Within: 4, Refused: map[string]int{"429": 5}}}}
		r.fillRanks(doc, []load.Stream{{Call: load.Call{Rank: doc.Ranks[0].Name}}})
		Expect(r.Ranks[0].Both).To(Equal(0.4))
		Expect(r.Ranks[0].Accepted).To(Equal(0.8))
	})

	It("returns an error for an unknown scenario", func() {
		_, err := Run(context.Background(), RunConfig{Scenario: "stedy"})
		var unknown *ScenarioError
		Expect(errors.As(err, &unknown)).To(BeTrue())
	})

	It("loses no call, answer or publication in a short chaos run", func() {
		r, err := Run(context.Background(), RunConfig{Document: example("portfolio.json"), Scenario: Chaos, Policy: Current, Seed: 3, Duration: 1500 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Streams).To(HaveLen(3))
		for _, s := range r.Streams {
			Expect(s.Calls).To(BeNumerically(">", 0))
			Expect(s.Wrong).To(BeZero())
		}
		Expect(r.Publications.Calls).To(BeNumerically(">", 0))
		Expect(r.Publications.RanTwice).To(BeZero())
		Expect(r.Publications.FalseNotRun).To(BeZero())
		Expect(r.Publications.Missing).To(BeZero())
		decoder := xml.NewDecoder(bytes.NewReader(Plot([]*Result{r})))
		for err == nil {
			_, err = decoder.Token()
		}
		Expect(err).To(Equal(io.EOF))
	})
})
