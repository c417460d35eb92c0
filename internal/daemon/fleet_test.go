package daemon_test

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/standin/engine"
)

// fleet is a rig with one failure domain and fast engines.
type fleet struct{ *rig.Rig }

const (
	testModel  = "atelier-8b"
	testKey    = "dev-north"
	testDomain = "se-a"
)

// fastSpeed generates a token per millisecond, to keep the tests short.
var fastSpeed = engine.Speed{PrefillTokensPerSecond: 200_000, DecodeStep: time.Millisecond, DecodeStepPerSequence: 10 * time.Microsecond}

func newFleet(daemons, engines int) *fleet {
	data, err := os.ReadFile("../../examples/portfolio.json")
	Expect(err).NotTo(HaveOccurred())
	r, err := rig.Start(rig.Config{
		Document: data, Daemons: daemons, Domains: 1,
		Settings: func(s *settings.Settings) { s.DrainWaitMS = 100 },
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	f := &fleet{r}
	for range engines {
		f.addEngine(engine.Config{})
	}
	Expect(f.Await(5 * time.Second)).To(Succeed())
	return f
}

func (f *fleet) addEngine(config engine.Config) *engine.Engine {
	config.FailureDomain = testDomain
	config.Class = "a100"
	config.Slots = 16
	config.Speed = fastSpeed
	config.AnnounceInterval = 200 * time.Millisecond
	config.Lease = 2 * time.Second
	e, err := f.AddEngine(config)
	Expect(err).NotTo(HaveOccurred())
	return e
}

// runLoad sends calls to a daemon in a closed loop and verifies that the
// answers are complete. It runs whileRunning in the meantime.
func (f *fleet) runLoad(d *daemon.Daemon, concurrency, tokens int, duration time.Duration, whileRunning func()) load.Report {
	target := &load.OpenAITarget{BaseURL: "http://" + d.CallerAddress(), Client: &http.Client{Transport: load.NewTransport()}}
	var reports []load.Report
	var group sync.WaitGroup
	group.Go(func() {
		reports = load.Run(context.Background(), target, load.Config{
			Duration: duration, Grace: 20 * time.Second, Seed: 1, Verify: rig.Verify,
			Streams: []load.Stream{{Name: "test", Concurrency: concurrency, PromptBytes: 400, Call: load.Call{Key: testKey, Model: testModel, MaxTokens: tokens}}},
		})
	})
	if whileRunning != nil {
		whileRunning()
	}
	group.Wait()
	return reports[0]
}
