package telemetry

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
)

// quantiles are the quantiles that the text format states for a latency, in percent.
var quantiles = []float64{50, 95, 99}

// secondsPerMicrosecond converts latencies to seconds, the unit of the text format.
const secondsPerMicrosecond = 1e-6

// TextHandler serves the metrics in the text exposition format that metrics
// collectors read, with names and types as in OpenMetrics. Latencies are in
// seconds.
func (r *Registry) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		r.writeText(w)
	})
}

func (r *Registry) writeText(w io.Writer) {
	r.mu.RLock()
	vars := maps.Clone(r.vars)
	r.mu.RUnlock()
	for _, name := range slices.Sorted(maps.Keys(vars)) {
		writeMetric(w, name, vars[name])
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	fmt.Fprintf(w, "# TYPE process_heap_bytes gauge\nprocess_heap_bytes %d\n", memory.HeapAlloc)
	fmt.Fprintf(w, "# TYPE process_goroutines gauge\nprocess_goroutines %d\n", runtime.NumGoroutine())
}

func writeMetric(w io.Writer, name string, v expvar.Var) {
	switch metric := v.(type) {
	case *Counter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s_total %d\n", name, name, metric.Value())
	case *Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, metric.Value())
	case *Latency:
		h := metric.Histogram()
		fmt.Fprintf(w, "# TYPE %s_seconds summary\n", name)
		for _, q := range quantiles {
			fmt.Fprintf(w, "%s_seconds{quantile=\"%g\"} %g\n", name, q/100, float64(h.ValueAtQuantile(q))*secondsPerMicrosecond)
		}
		fmt.Fprintf(w, "%s_seconds_sum %g\n", name, h.Mean()*float64(h.TotalCount())*secondsPerMicrosecond)
		fmt.Fprintf(w, "%s_seconds_count %d\n", name, h.TotalCount())
	}
}
