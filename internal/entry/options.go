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

// EngineClient sends requests to model engines and checks whether they respond.
type EngineClient interface {
	port.Engine
	// Ping checks over a new connection whether an endpoint responds.
	Ping(ctx context.Context, baseURL string) error
}

// Cluster gives access to the other daemons.
type Cluster interface {
	// Peers returns the other daemons of the failure domain.
	Peers() []member.Peer
	// Domains returns the other failure domains.
	Domains(now time.Time) []member.DomainView
	// Fetch returns the endpoints of another failure domain that serve the
	// model or the plain service.
	Fetch(ctx context.Context, domain, model, service string) ([]*member.Endpoint, error)
	// SetPayload sets the data of one kind that is sent to the peers.
	SetPayload(kind string, data []byte) error
	// Payloads returns the newest data of one kind from each peer.
	Payloads(kind string) []member.Payload
}

// Baseline replaces scheduling decisions by simple ones, so that a benchmark
// can compare both. It is not meant for production.
type Baseline struct {
	// RoundRobin selects live endpoints round-robin instead of by score.
	RoundRobin bool
	// FIFO admits requests in order of arrival, up to the number of slots of
	// the endpoints.
	FIFO bool
	// Restart generates the answer from the beginning after a failure instead
	// of resuming.
	Restart bool
}

// Options holds the dependencies and settings of a Service.
type Options struct {
	Name string
	// Instance distinguishes the runs of a daemon. It is part of the owner name
	// in claims.
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
	// MaxStreams is the maximum number of requests in flight; 0 means no limit.
	MaxStreams int
	Baseline   Baseline
}
