package port

import (
	"context"
	"fmt"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Engine sends requests to model engines.
type Engine interface {
	// Generate starts an attempt at the engine with the given base URL. The
	// error is a *RefusedError or a *TransportError.
	Generate(ctx context.Context, baseURL string, req *endpoint.GenerateRequest) (FrameStream, error)
	// Cancel stops an attempt. It can safely be repeated.
	Cancel(ctx context.Context, baseURL, attemptID string) error
	// KVExport makes the KV cache of a running attempt available to other engines.
	KVExport(ctx context.Context, baseURL, attemptID string) (endpoint.KVHandle, error)
	// KVImport makes an engine fetch an exported KV cache.
	KVImport(ctx context.Context, baseURL string, req endpoint.KVImportRequest) error
	// Order sends a control command to an engine. It can safely be repeated.
	Order(ctx context.Context, baseURL string, order endpoint.Order) (endpoint.OrderResult, error)
}

// FrameStream is the stream of frames that answers a generation request.
type FrameStream interface {
	// Next reads the next frame. After a frame of type done or error it returns
	// io.EOF; if the stream breaks it returns a *TransportError. The strings of
	// a frame stay valid after further calls.
	Next(frame *endpoint.Frame) error
	// Close releases the stream. It may be called while Next waits.
	Close() error
}

// IdleStream is a FrameStream whose idle timeout can be adapted to the expected
// time between tokens.
type IdleStream interface {
	FrameStream
	// SetIdle sets how long the stream may be silent before Next returns a
	// *TransportError with Silent set; 0 means no limit. It takes effect with
	// the next wait and may be called from any goroutine.
	SetIdle(d time.Duration)
}

// SilenceChecker is an Engine that can check the connections to an endpoint whose
// stream is silent, so that further attempts do not use dead ones.
type SilenceChecker interface {
	CheckSilent(baseURL string)
}

// BufferedStream is a FrameStream that reports whether the next frame has
// already arrived, so that tokens that arrive together can be forwarded
// together.
type BufferedStream interface {
	FrameStream
	// Pending reports whether the next frame has already arrived.
	Pending() bool
}

// RefusedError reports that an endpoint refused a request. Body.Run says
// whether the request may have run.
type RefusedError struct {
	Status int
	Body   endpoint.ErrorBody
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint refused with status %d: %s: %s", e.Status, e.Body.Code, e.Body.Message)
}

// TransportError reports that the connection to an endpoint failed.
type TransportError struct {
	// Sent is set if at least one byte of the request may have been sent. A
	// request is proven not run only if Sent is unset.
	Sent bool
	// Silent is set if the connection stayed open but no data arrived in time.
	Silent bool
	Err    error
}

// Error implements error.
func (e *TransportError) Error() string {
	return fmt.Sprintf("transport to endpoint failed (sent=%t silent=%t): %v", e.Sent, e.Silent, e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }
