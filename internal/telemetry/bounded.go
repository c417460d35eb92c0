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
	// queuedLines bounds the lines that wait for a slow output.
	queuedLines = 512
	// gatherTime is how long lines are gathered into one write.
	gatherTime = 100 * time.Millisecond
	// maxGather bounds one write, in bytes.
	maxGather = 32 << 10
	// sampleFirst lines with the same message are written in each second, and
	// every sampleEach-th after: a flood of requests must not become one of lines.
	sampleFirst = 120
	sampleEach  = 20
)

// boundedWriter writes lines in the background. It never blocks: when its
// queue is full, lines are dropped and counted.
type boundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

// Write implements io.Writer.
func (w *boundedWriter) Write(line []byte) (int, error) {
	// The encoder reuses the line.
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
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
			batch = w.gather(batch)
			// A failed write has nowhere to be reported to.
			_, _ = w.out.Write(batch)
		case done := <-w.flush:
			_, _ = w.out.Write(w.pending(nil))
			close(done)
		}
	}
}

// gather waits a little for further lines, so that they share one system call.
func (w *boundedWriter) gather(batch []byte) []byte {
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for len(batch) < maxGather {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		case done := <-w.flush:
			_, _ = w.out.Write(w.pending(batch))
			close(done)
			return nil
		case <-timer.C:
			return batch
		}
	}
	return batch
}

func (w *boundedWriter) pending(batch []byte) []byte {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// flushTimeout bounds the wait for a slow output at the end of a process.
const flushTimeout = 200 * time.Millisecond

// NewBoundedLogger returns a log of JSON lines whose volume is bounded and
// which never blocks. Lines of level error are never sampled. The function
// writes what is queued and reports how many lines were dropped.
func NewBoundedLogger(config settings.Log, out io.Writer) (log *zap.Logger, flush func()) {
	w := &boundedWriter{out: out, lines: make(chan []byte, queuedLines), flush: make(chan chan struct{})}
	go w.run()
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		level = zapcore.InfoLevel
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	sink := zapcore.AddSync(w)
	json := zapcore.NewJSONEncoder(encoder)
	ordinary := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l < zapcore.ErrorLevel })
	failures := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= zapcore.ErrorLevel })
	core := zapcore.NewTee(
		zapcore.NewSamplerWithOptions(zapcore.NewCore(json, sink, ordinary), time.Second, sampleFirst, sampleEach),
		zapcore.NewCore(json, sink, failures),
	)
	log = zap.New(core)
	return log, func() {
		if n := w.dropped.Load(); n > 0 {
			log.Error("Log lines dropped because the output was slow.", zap.Int64("lines", n))
		}
		done := make(chan struct{})
		select {
		case w.flush <- done:
			<-done
		case <-time.After(flushTimeout):
		}
	}
}
