package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// EngineClient sends work to engines and knows whether they answer.
type EngineClient interface {
	port.Engine
	// Ping asks an endpoint for a sign of life on a new connection.
	Ping(ctx context.Context, baseURL string) error
}

// Cluster is what the pipeline needs of the other daemons.
type Cluster interface {
	// Peers returns the other daemons of the failure domain.
	Peers() []member.Peer
	// Domains returns the other failure domains.
	Domains(now time.Time) []member.DomainView
	// Fetch returns the endpoints of another failure domain.
	Fetch(ctx context.Context, domain, model, service string) ([]*member.Endpoint, error)
	SetPayload(kind string, data []byte) error
	Payloads(kind string) []member.Payload
}

// Baseline replaces decisions by simple ones, so that a measurement can
// compare them in one run. It is not meant for service.
type Baseline struct {
	// RoundRobin takes live endpoints in turn instead of scoring them.
	RoundRobin bool
	// FIFO admits in order of arrival up to the slots of the endpoints.
	FIFO bool
	// Restart generates from the beginning after a failure instead of resuming.
	Restart bool
}

// Options are the parts of a Service.
type Options struct {
	Name string
	// Instance tells the lives of a daemon apart; claims carry it.
	Instance      uint64
	FailureDomain string
	Config        *conf.Store
	Registry      *member.Registry
	Cluster       Cluster
	// Peers calls other daemons, for the hand-over of requests.
	Peers     port.PeerCaller
	Engine    EngineClient
	Services  port.Service
	Ledger    port.Ledger
	Explainer *telemetry.Explainer
	Tracing   *telemetry.Tracing
	Metrics   *telemetry.Registry
	Log       *zap.Logger
	// MaxStreams bounds the requests in flight; 0 means no bound.
	MaxStreams int
	Baseline   Baseline
}
