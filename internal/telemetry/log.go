package telemetry

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
)

// Part is a part of the daemon; its value is the fixed prefix of its log lines.
type Part string

// Parts of a daemon.
const (
	PartEntry     Part = "[entry]"
	PartRoute     Part = "[route]"
	PartState     Part = "[state]"
	PartMember    Part = "[member]"
	PartAdmin     Part = "[admin]"
	PartFleet     Part = "[fleet]"
	PartTelemetry Part = "[telemetry]"
)

// Log returns the log of a part.
func Log(log *zap.Logger, part Part) *zap.Logger { return log.Named(string(part)) }

// NewLogger builds the log of a daemon. Parts take their child by Log, so that
// each line starts with a fixed prefix.
func NewLogger(config settings.Log) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(config.Level)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	base := zap.NewProductionConfig()
	if config.Format == "console" {
		base = zap.NewDevelopmentConfig()
		base.DisableStacktrace = true
	}
	base.Level = level
	base.Sampling = nil
	log, err := base.Build()
	return log, eris.Wrap(err, "build log")
}
