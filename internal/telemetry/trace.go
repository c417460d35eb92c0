package telemetry

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/boragelead/boragelead/internal/settings"
)

// Hop is a step of a request that has its own span.
type Hop string

// Hops of a request.
const (
	HopCaller    Hop = "caller"
	HopAdmission Hop = "admission"
	HopRouting   Hop = "routing"
	HopAttempt   Hop = "attempt"
	HopService   Hop = "service"
	HopLedger    Hop = "ledger"
	HopForward   Hop = "forward"
)

// spanKinds holds the span kinds of the hops that cross a connection. The other
// hops are internal.
var spanKinds = map[Hop]trace.SpanKind{
	HopCaller:  trace.SpanKindServer,
	HopAttempt: trace.SpanKindClient,
	HopService: trace.SpanKindClient,
	HopLedger:  trace.SpanKindClient,
	HopForward: trace.SpanKindClient,
}

// Tracing creates the spans of one daemon. A nil *Tracing creates none.
type Tracing struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     *os.File
}

// NewTracing opens the trace outputs that the settings name. If there are none,
// it returns nil, which is valid and creates no spans. If an OTLP collector does
// not answer, spans are dropped, but requests are not affected.
func NewTracing(config settings.Trace, daemon, failureDomain string) (*Tracing, error) {
	if config.File == "" && config.OTLPURL == "" {
		return nil, nil
	}
	t := &Tracing{}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(config.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "borageleadd"),
			attribute.String("service.instance.id", daemon),
			attribute.String("boragelead.failure_domain", failureDomain),
		)),
	}
	if config.File != "" {
		file, err := os.OpenFile(config.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return nil, eris.Wrap(err, "open trace file")
		}
		t.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			_ = file.Close()
			return nil, eris.Wrap(err, "create trace file exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if config.OTLPURL != "" {
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(tracesURL(config.OTLPURL)))
		if err != nil {
			t.closeFile()
			return nil, eris.Wrap(err, "create OTLP trace exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer("github.com/boragelead/boragelead")
	return t, nil
}

// tracesURL appends the standard path /v1/traces to a URL that has no path.
// Otherwise the exporter would send to the root path.
func tracesURL(base string) string {
	parsed, err := url.Parse(base)
	if err != nil || strings.Trim(parsed.Path, "/") != "" {
		return base
	}
	return parsed.JoinPath("v1", "traces").String()
}

// Close exports the pending spans and closes the outputs. The context bounds the wait.
func (t *Tracing) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return eris.Wrap(errors.Join(t.provider.Shutdown(ctx), t.closeFile()), "close tracing")
}

func (t *Tracing) closeFile() error {
	if t.file == nil {
		return nil
	}
	return t.file.Close()
}

// propagator reads and writes the W3C header traceparent.
var propagator = propagation.TraceContext{}

// Extract returns a context with the trace that the request headers carry, if any.
func Extract(ctx context.Context, header http.Header) context.Context {
	if header.Get("Traceparent") == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the trace of the context, if any, into request headers.
func Inject(ctx context.Context, header http.Header) {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return
	}
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Start starts the span of a hop. If the parent is a local span that is not
// sampled, it creates no span, so that an unsampled request costs only one span.
func (t *Tracing) Start(ctx context.Context, hop Hop) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	parent := trace.SpanContextFromContext(ctx)
	if parent.IsValid() && !parent.IsRemote() && !parent.IsSampled() {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, string(hop), trace.WithSpanKind(spanKinds[hop]))
	return ctx, Span{span: span}
}

// Span is the span of one hop. The zero value is valid and does nothing.
type Span struct{ span trace.Span }

// Recording reports whether the span keeps attributes. Callers check it before
// they compute an attribute that is expensive.
func (s Span) Recording() bool { return s.span != nil && s.span.IsRecording() }

// Text sets a string attribute.
func (s Span) Text(key, value string) {
	if s.Recording() {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// Int sets an integer attribute.
func (s Span) Int(key string, value int) {
	if s.Recording() {
		s.span.SetAttributes(attribute.Int(key, value))
	}
}

// Fail marks the span as failed; nil is ignored.
func (s Span) Fail(err error) {
	if err == nil || !s.Recording() {
		return
	}
	s.span.RecordError(err)
	s.span.SetStatus(codes.Error, err.Error())
}

// End ends the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}
