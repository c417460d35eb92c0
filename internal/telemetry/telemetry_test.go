package telemetry_test

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "telemetry")
}

var _ = Describe("Registry", func() {
	// Guards against lost counts when several goroutines record at once.
	It("counts exactly under concurrency", func() {
		registry := telemetry.NewRegistry()
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 1000 {
					registry.Counter("requests").Inc()
					registry.Latency("first_token").Record(20 * time.Millisecond)
				}
			})
		}
		group.Wait()
		Expect(registry.Counter("requests").Value()).To(Equal(int64(8000)))
		summary := registry.Latency("first_token").Summary()
		Expect(summary.Count).To(Equal(int64(8000)))
		Expect(summary.P99).To(BeNumerically("~", 20, 0.2))
	})

	// Guards against a panic of expvar when several daemons run in one process, and
	// against a daemon that, when it stops, removes the entry of its successor.
	It("publishes several daemons of one process", func() {
		first, second := telemetry.NewRegistry(), telemetry.NewRegistry()
		first.Gauge("streams").Set(3)
		second.Func("age_s", func() any { return 1.5 })
		telemetry.Publish("d1", first)
		telemetry.Publish("d2", second)
		Expect(expvar.Get("boragelead").String()).To(MatchJSON(`{"d1":{"streams":3},"d2":{"age_s":1.5}}`))
		telemetry.Publish("d1", second)
		telemetry.Unpublish("d1", first)
		Expect(expvar.Get("boragelead").String()).To(ContainSubstring(`"d1"`))
		telemetry.Unpublish("d1", second)
		telemetry.Unpublish("d2", second)
		Expect(expvar.Get("boragelead").String()).To(Equal("{}"))
	})

	// Guards against output that monitoring systems cannot parse.
	It("serves valid JSON", func() {
		registry := telemetry.NewRegistry()
		registry.Latency("wait").Record(time.Hour * 5)
		answer := httptest.NewRecorder()
		registry.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
		var body struct {
			Metrics map[string]telemetry.LatencySummary `json:"boragelead"`
		}
		Expect(json.Unmarshal(answer.Body.Bytes(), &body)).To(Succeed())
		Expect(body.Metrics["wait"].Count).To(Equal(int64(1)))
	})
})

var _ = Describe("Tracing", func() {
	remote := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}

	// Guards against spans that lose the trace of the caller or their parent span.
	It("writes the spans of a request in the caller's trace, one per line", func() {
		path := filepath.Join(GinkgoT().TempDir(), "spans.jsonl")
		tracing, err := telemetry.NewTracing(settings.Trace{File: path}, "d1", "a")
		Expect(err).NotTo(HaveOccurred())
		ctx, caller := tracing.Start(telemetry.Extract(context.Background(), remote), telemetry.HopCaller)
		ctx, attempt := tracing.Start(ctx, telemetry.HopAttempt)
		attempt.Text("endpoint", "e1")
		attempt.Fail(errors.New("connection lost"))
		header := http.Header{}
		telemetry.Inject(ctx, header)
		attempt.End()
		caller.End()
		Expect(tracing.Close(context.Background())).To(Succeed())
		Expect(header.Get("Traceparent")).To(HavePrefix("00-0af7651916cd43dd8448eb211c80319c-"))
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		Expect(lines).To(HaveLen(2))
		var span struct {
			Name                string
			SpanContext, Parent struct{ TraceID, SpanID string }
		}
		Expect(json.Unmarshal([]byte(lines[0]), &span)).To(Succeed())
		Expect(span.Name).To(Equal("attempt"))
		Expect(span.SpanContext.TraceID).To(Equal("0af7651916cd43dd8448eb211c80319c"))
		Expect(lines[1]).To(ContainSubstring(span.Parent.SpanID))
	})

	// Guards against spans that are sent to a path that collectors do not serve, and
	// against a daemon that hangs because the collector is down.
	It("sends spans over OTLP and closes in time when the collector is down", func() {
		received := make(chan string, 1)
		collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			received <- r.URL.Path
		}))
		tracing, err := telemetry.NewTracing(settings.Trace{OTLPURL: collector.URL, SampleRatio: 1}, "d1", "a")
		Expect(err).NotTo(HaveOccurred())
		_, span := tracing.Start(context.Background(), telemetry.HopCaller)
		span.End()
		Expect(tracing.Close(context.Background())).To(Succeed())
		Eventually(received).Should(Receive(Equal("/v1/traces")))
		collector.Close()

		tracing, err = telemetry.NewTracing(settings.Trace{OTLPURL: collector.URL, SampleRatio: 1}, "d1", "a")
		Expect(err).NotTo(HaveOccurred())
		_, span = tracing.Start(context.Background(), telemetry.HopCaller)
		span.End()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		started := time.Now()
		_ = tracing.Close(ctx)
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
	})

	// Guards against crashes when tracing is disabled or a request is not sampled.
	It("creates no spans when disabled or not sampled", func() {
		var disabled *telemetry.Tracing
		ctx, span := disabled.Start(context.Background(), telemetry.HopCaller)
		span.Int("n", 1)
		span.End()
		Expect(span.Recording()).To(BeFalse())
		Expect(disabled.Close(ctx)).To(Succeed())
		tracing, err := telemetry.NewTracing(settings.Trace{File: filepath.Join(GinkgoT().TempDir(), "s")}, "d1", "a")
		Expect(err).NotTo(HaveOccurred())
		ctx, root := tracing.Start(context.Background(), telemetry.HopCaller)
		inner, child := tracing.Start(ctx, telemetry.HopRouting)
		Expect(inner).To(BeIdenticalTo(ctx))
		Expect(root.Recording() || child.Recording()).To(BeFalse())
		Expect(tracing.Close(ctx)).To(Succeed())
	})
})

var _ = Describe("Explainer", func() {
	at := time.Unix(100, 0)

	// Guards against unbounded memory and against records that are evicted too early.
	It("keeps a bounded number of the newest requests", func() {
		explainer := telemetry.NewExplainer(160)
		for i := range 5000 {
			explainer.Begin(telemetry.Subject{RequestID: fmt.Sprint(i), Arrived: at})
		}
		kept := 0
		for i := range 5000 {
			if _, ok := explainer.Lookup(fmt.Sprint(i)); ok {
				kept++
			}
		}
		Expect(kept).To(Equal(160))
		_, newest := explainer.Lookup("4999")
		Expect(newest).To(BeTrue())
	})

	// Guards against a record that grows without bound or does not show how the
	// request ended.
	It("bounds the events of a request and keeps the last one", func() {
		explainer := telemetry.NewExplainer(1)
		record := explainer.Begin(telemetry.Subject{RequestID: "r", Arrived: at})
		for range 100 {
			record.Add(at, telemetry.Event{Type: telemetry.EventRetried})
		}
		record.Add(at.Add(1500*time.Microsecond), telemetry.Event{Type: telemetry.EventFinished, Tokens: 7})
		explanation, ok := explainer.Lookup("r")
		Expect(ok).To(BeTrue())
		Expect(explanation.Events).To(HaveLen(64))
		Expect(explanation.DroppedEvents).To(Equal(37))
		Expect(explanation.Events[63]).To(Equal(telemetry.Event{Type: telemetry.EventFinished, OffsetMS: 1.5, Tokens: 7}))
	})

	// Guards against crashes in code that runs without an explainer.
	It("ignores all calls when disabled", func() {
		var disabled *telemetry.Explainer
		disabled.Begin(telemetry.Subject{}).Add(at, telemetry.Event{})
		_, ok := disabled.Lookup("r")
		Expect(ok).To(BeFalse())
	})
})
