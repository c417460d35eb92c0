package telemetry_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// stuck is an output whose reader stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a stopped reader of the log that holds up requests.
func TestLogDoesNotBlock(t *testing.T) {
	g := NewWithT(t)
	out := stuck{make(chan struct{})}
	defer close(out.release)
	log, flush := telemetry.NewBoundedLogger(settings.Log{Level: "info"}, out)
	began := time.Now()
	for i := range 20_000 {
		log.Error("A line.", zap.Int("n", i))
	}
	flush()
	g.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
}

// output collects what is written.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

// Guards against a log whose volume grows with a flood of requests, and
// against failures that are sampled away with the ordinary lines.
func TestLogIsBounded(t *testing.T) {
	g := NewWithT(t)
	out := &output{}
	log, flush := telemetry.NewBoundedLogger(settings.Log{Level: "info"}, out)
	for i := range 2000 {
		log.Info("Request answered.", zap.Int("n", i))
		time.Sleep(20 * time.Microsecond)
	}
	log.Error("Something failed.")
	flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(len(lines)).To(BeNumerically("<", 600))
	g.Expect(out.String()).To(ContainSubstring("Something failed."))
	for _, line := range lines {
		g.Expect(json.Valid([]byte(line))).To(BeTrue(), line)
	}
}

// Guards against metrics that usual collectors cannot read.
func TestTextMetrics(t *testing.T) {
	g := NewWithT(t)
	r := telemetry.NewRegistry()
	r.Counter("requests").Add(3)
	r.Gauge("in_flight").Set(2)
	r.Latency("first_byte").Record(250 * time.Millisecond)
	w := httptest.NewRecorder()
	r.TextHandler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	g.Expect(text).To(ContainSubstring("# TYPE requests counter\nrequests_total 3\n"))
	g.Expect(text).To(ContainSubstring("in_flight 2\n"))
	g.Expect(text).To(MatchRegexp(`first_byte_seconds\{quantile="0.99"\} 0\.2[45]`))
	g.Expect(text).To(ContainSubstring("first_byte_seconds_count 1\n"))
}
