package port

import (
	"context"
	"fmt"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Engine sends work to model engines.
type Engine interface {
	// Generate starts an attempt at the engine with the given base URL. The
	// error is a *RefusedError or a *TransportError.
	Generate(ctx context.Context, baseURL string, req *endpoint.GenerateRequest) (FrameStream, error)
	// Cancel stops an attempt. It is safe to repeat.
	Cancel(ctx context.Context, baseURL, attemptID string) error
	// KVExport makes the KV cache of a running attempt available to other engines.
	KVExport(ctx context.Context, baseURL, attemptID string) (endpoint.KVHandle, error)
	// KVImport makes an engine fetch an exported KV cache.
	KVImport(ctx context.Context, baseURL string, req endpoint.KVImportRequest) error
	// Order gives a control command. It is safe to repeat.
	Order(ctx context.Context, baseURL string, order endpoint.Order) (endpoint.OrderResult, error)
}

// FrameStream is the answer to a generation.
type FrameStream interface {
	// Next returns the next frame. After a frame of type done or error it
	// returns io.EOF; a broken stream returns a *TransportError. The strings of
	// a frame stay valid.
	Next(frame *endpoint.Frame) error
	// Close releases the stream. It is safe to call while Next waits.
	Close() error
}

// IdleStream is a FrameStream whose idle deadline can follow the expected
// time between tokens.
type IdleStream interface {
	FrameStream
	// SetIdle sets how long the stream may be silent before Next returns a
	// *TransportError with Silent set; 0 means without bound. It takes effect
	// with the next wait and may be called from any goroutine.
	SetIdle(d time.Duration)
}

// BufferedStream is a FrameStream that knows whether the next frame is here
// already, so that tokens that arrive together are sent on together.
type BufferedStream interface {
	FrameStream
	Pending() bool
}

// RefusedError says that an endpoint answered without running the request.
type RefusedError struct {
	Status int
	Body   endpoint.ErrorBody
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint refused with status %d: %s: %s", e.Status, e.Body.Code, e.Body.Message)
}

// TransportError says that the connection to an endpoint failed.
type TransportError struct {
	// Sent is set when a byte of the request may have left. Only a request
	// with Sent unset is proven not run.
	Sent bool
	// Silent is set when the connection stayed open but nothing arrived in time.
	Silent bool
	Err    error
}

// Error implements error.
func (e *TransportError) Error() string {
	return fmt.Sprintf("transport to endpoint failed (sent=%t silent=%t): %v", e.Sent, e.Silent, e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }
