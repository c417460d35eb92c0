package telemetry

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
)

// NewLogger builds the log of a daemon. Parts take a named child of it, such
// as log.Named("[entry]"), so that each line starts with a fixed prefix.
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
