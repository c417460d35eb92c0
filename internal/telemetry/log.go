package telemetry

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
)

// Part is a component of the daemon. Its value is the fixed prefix of the
// component's log lines.
type Part string

// Components of a daemon.
const (
	PartEntry     Part = "[entry]"
	PartRoute     Part = "[route]"
	PartState     Part = "[state]"
	PartMember    Part = "[member]"
	PartAdmin     Part = "[admin]"
	PartFleet     Part = "[fleet]"
	PartTelemetry Part = "[telemetry]"
)

// Log returns the logger of a component.
func Log(log *zap.Logger, part Part) *zap.Logger { return log.Named(string(part)) }

// NewLogger builds the logger of a daemon. Each component gets a child of it
// from Log, so that its lines start with a fixed prefix.
func NewLogger(config settings.Log) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(config.Level)
	if err != nil {
		return nil, eris.Wrap(err, "parse log level")
	}
	zapConfig := zap.NewProductionConfig()
	if config.Format == "console" {
		zapConfig = zap.NewDevelopmentConfig()
		zapConfig.DisableStacktrace = true
	}
	zapConfig.Level = level
	zapConfig.Sampling = nil
	log, err := zapConfig.Build()
	return log, eris.Wrap(err, "build logger")
}
