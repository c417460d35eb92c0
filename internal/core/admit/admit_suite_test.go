package admit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func TestAdmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admit")
}

var epoch = time.Unix(1000, 0)

func testDocument() *conf.Document {
	doc := &conf.Document{
		Ranks: []conf.Rank{
			{Name: "urgent", MaxWaitMS: 8000, Worth: 8, Floor: 0.25},
			{Name: "interactive", MaxWaitMS: 20000, Worth: 3, Floor: 0.2},
			{Name: "batch", MaxWaitMS: 120000, Worth: 1, Floor: 0.1},
		},
		Fairness: conf.Fairness{QuantumTokens: 512, UsageHalfLifeS: 60},
	}
	for i := range 5 {
		doc.Workspaces = append(doc.Workspaces, conf.Workspace{
			Name: fmt.Sprintf("w%d", i), Weight: float64(1 + i%2), MaxQueued: 400, MaxQueuedPerCaller: 300,
		})
	}
	return doc
}
