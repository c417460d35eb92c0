package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/boragelead/boragelead/internal/settings"
)

const (
	// queueCapacity is the most lines that wait for a slow output.
	queueCapacity = 2048
	// batchInterval is how long lines are collected before they are written together.
	batchInterval = 100 * time.Millisecond
	// maxBatchBytes is the size from which a batch is written without waiting further.
	maxBatchBytes = 32 << 10
	// In each second, the first sampleFirst lines with the same message are written,
	// and after them one in sampleThereafter. Otherwise a flood of requests would
	// cause a flood of log lines.
	sampleFirst      = 120
	sampleThereafter = 20
	// sampleFirstWarnings is that number for warnings, which tell of single failed requests.
	sampleFirstWarnings = 1000
)

// boundedWriter writes lines in the background. Its Write method never blocks:
// if the queue is full, the line is dropped and counted.
type boundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

// Write implements io.Writer.
func (w *boundedWriter) Write(line []byte) (int, error) {
	// The encoder reuses the buffer of the line.
	lineCopy := append([]byte(nil), line...)
	select {
	case w.lines <- lineCopy:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *boundedWriter) run() {
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
			batch = w.fillBatch(batch)
			// A failed write cannot be reported, because this is the log itself.
			_, _ = w.out.Write(batch)
		case done := <-w.flush:
			_, _ = w.out.Write(w.appendQueued(nil))
			close(done)
		}
	}
}

// fillBatch collects further lines for up to batchInterval, so that they are
// written in one system call. It returns nil if a flush has written the batch.
func (w *boundedWriter) fillBatch(batch []byte) []byte {
	timer := time.NewTimer(batchInterval)
	defer timer.Stop()
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		case done := <-w.flush:
			_, _ = w.out.Write(w.appendQueued(batch))
			close(done)
			return nil
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// appendQueued appends the lines that are in the queue, without waiting for more.
func (w *boundedWriter) appendQueued(batch []byte) []byte {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// flushTimeout bounds the wait for a slow output when the process ends.
const flushTimeout = 200 * time.Millisecond

// flushQueue writes the queued lines, unless the output is slow.
func (w *boundedWriter) flushQueue() {
	done := make(chan struct{})
	select {
	case w.flush <- done:
		<-done
	case <-time.After(flushTimeout):
	}
}

// NewBoundedLogger returns a logger of JSON lines that never blocks and whose
// volume is bounded. Warnings are sampled from a higher number than other lines, and
// errors are not sampled. The returned function logs how many lines were dropped, if
// any, and writes the queued lines.
func NewBoundedLogger(config settings.Log, out io.Writer) (log *zap.Logger, flush func()) {
	w := &boundedWriter{out: out, lines: make(chan []byte, queueCapacity), flush: make(chan chan struct{})}
	go w.run()
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		level = zapcore.InfoLevel
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	sink := zapcore.AddSync(w)
	jsonEncoder := zapcore.NewJSONEncoder(encoderConfig)
	belowWarning := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l < zapcore.WarnLevel })
	warning := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l == zapcore.WarnLevel })
	errorAndAbove := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= zapcore.ErrorLevel })
	core := zapcore.NewTee(
		zapcore.NewSamplerWithOptions(zapcore.NewCore(jsonEncoder, sink, belowWarning), time.Second, sampleFirst, sampleThereafter),
		zapcore.NewSamplerWithOptions(zapcore.NewCore(jsonEncoder, sink, warning), time.Second, sampleFirstWarnings, sampleThereafter),
		zapcore.NewCore(jsonEncoder, sink, errorAndAbove),
	)
	log = zap.New(core)
	return log, func() {
		w.flushQueue()
		if n := w.dropped.Load(); n > 0 {
			log.Error("Log lines dropped because the output was slow.", zap.Int64("lines", n))
			w.flushQueue()
		}
	}
}
