package daemon_test

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/standin/engine"
)

// fleet is a set of daemons and engines on loopback.
type fleet struct {
	doc     *conf.Document
	data    []byte
	daemons []*daemon.Daemon
	engines []*engine.Engine
	ledger  *engine.Ledger
}

const (
	testModel = "atelier-8b"
	testKey   = "dev-north"
)

// fastSpeed keeps tests short: 1 ms between tokens.
var fastSpeed = engine.Speed{PrefillTokensPerSecond: 200_000, DecodeStep: time.Millisecond, DecodeStepPerSequence: 10 * time.Microsecond}

func newFleet(daemons, engines int) *fleet {
	data, err := os.ReadFile("../../examples/portfolio.json")
	Expect(err).NotTo(HaveOccurred())
	doc, err := conf.Parse(data)
	Expect(err).NotTo(HaveOccurred())
	f := &fleet{doc: doc, data: data, ledger: engine.NewLedger()}
	for range daemons {
		f.addDaemon()
	}
	for range engines {
		f.addEngine(engine.Config{})
	}
	DeferCleanup(f.close)
	f.awaitEndpoints(engines)
	return f
}

func (f *fleet) addDaemon() *daemon.Daemon {
	config := settings.Default()
	config.Name = "entry-" + strconv.Itoa(len(f.daemons)+1)
	config.FailureDomain = "se-a"
	config.Listen = settings.Listen{Callers: "127.0.0.1:0", Endpoints: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	config.DrainWaitMS = 100
	for _, other := range f.daemons {
		config.Peers = append(config.Peers, settings.Peer{Name: other.Name(), Address: other.PeerAddress()})
	}
	d, err := daemon.Start(config, zap.NewNop(), daemon.Options{})
	Expect(err).NotTo(HaveOccurred())
	d.Config().Install(1, f.doc, conf.Digest(f.doc), time.Now())
	f.daemons = append(f.daemons, d)
	return d
}

func (f *fleet) addEngine(config engine.Config) *engine.Engine {
	config.ID = "engine-" + strconv.Itoa(len(f.engines)+1)
	config.FailureDomain = "se-a"
	config.Class = "a100"
	config.Models = []endpoint.LoadedModel{{Name: testModel, Version: "3", Adapters: []string{"statement", "fabric"}}}
	config.Slots = 16
	if config.Speed == (engine.Speed{}) {
		config.Speed = fastSpeed
	}
	config.AnnounceInterval = 200 * time.Millisecond
	config.Lease = 2 * time.Second
	config.Listen = "127.0.0.1:0"
	config.Ledger = f.ledger
	for _, d := range f.daemons {
		config.Entries = append(config.Entries, "http://"+d.EndpointAddress())
	}
	e, err := engine.Start(config)
	Expect(err).NotTo(HaveOccurred())
	f.engines = append(f.engines, e)
	return e
}

func (f *fleet) awaitEndpoints(count int) {
	for _, d := range f.daemons {
		Eventually(func() int { return len(d.Registry().List()) }, "5s", "20ms").Should(Equal(count))
	}
	time.Sleep(150 * time.Millisecond)
}

func (f *fleet) close() {
	for _, e := range f.engines {
		e.Close()
	}
	for _, d := range f.daemons {
		d.Close()
	}
}

// runLoad sends a closed loop of calls to a daemon and verifies whole answers.
func (f *fleet) runLoad(d *daemon.Daemon, concurrency, tokens int, duration time.Duration, during func()) load.Report {
	target := &load.OpenAITarget{BaseURL: "http://" + d.CallerAddress(), Client: &http.Client{Transport: load.NewTransport()}}
	var reports []load.Report
	var group sync.WaitGroup
	group.Go(func() {
		reports = load.Run(context.Background(), target, load.Config{
			Duration: duration, Grace: 20 * time.Second, Seed: 1, Verify: verify,
			Streams: []load.Stream{{Name: "test", Concurrency: concurrency, PromptBytes: 400, Call: load.Call{Key: testKey, Model: testModel, MaxTokens: tokens}}},
		})
	})
	if during != nil {
		during()
	}
	group.Wait()
	return reports[0]
}

// verify reports whether a text is the whole answer to a call.
func verify(call load.Call, text string) bool {
	prompt := "<|user|>\n" + call.Prompt + "\n<|assistant|>\n"
	return text == engine.Answer(call.Model, "", prompt, call.MaxTokens)
}
