package telemetry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// blockedWriter is an output whose Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that block because the reader of the log has stopped.
func TestLogDoesNotBlock(t *testing.T) {
	g := NewWithT(t)
	out := blockedWriter{make(chan struct{})}
	defer close(out.release)
	log, flush := telemetry.NewBoundedLogger(settings.Log{Level: "info"}, out)
	start := time.Now()
	for i := range 20_000 {
		log.Error("A line.", zap.Int("n", i))
	}
	flush()
	g.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// Guards against a log whose volume grows with a flood of requests, and against
// error lines that are dropped by the sampling of other lines.
func TestLogIsBounded(t *testing.T) {
	g := NewWithT(t)
	out := &syncBuffer{}
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

// Guards against failed requests that no line names, since many fail in the same second.
func TestWarningsOfSingleFailuresAreWritten(t *testing.T) {
	g := NewWithT(t)
	out := &syncBuffer{}
	log, flush := telemetry.NewBoundedLogger(settings.Log{Level: "info"}, out)
	for i := range 500 {
		log.Warn("Stream broken off.", zap.Int("n", i))
		time.Sleep(20 * time.Microsecond)
	}
	flush()
	g.Expect(strings.Count(out.String(), "Stream broken off.")).To(Equal(500))
}

// Guards against lines that a full queue drops and that nothing tells of.
func TestDroppedLinesAreReported(t *testing.T) {
	g := NewWithT(t)
	out := &syncBuffer{}
	log, flush := telemetry.NewBoundedLogger(settings.Log{Level: "info"}, out)
	const count = 5000
	for i := range count {
		log.Error("A line.", zap.Int("n", i))
	}
	flush()
	written := strings.Count(out.String(), "A line.")
	if written < count {
		g.Expect(out.String()).To(ContainSubstring(fmt.Sprintf(`"lines":%d`, count-written)))
	}
}

// Guards against metrics that common metrics collectors cannot parse.
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
