package telemetry

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
)

// Component is a part of the daemon with its own log prefix, which is its value.
type Component string

// Components of a daemon.
const (
	ComponentEntry     Component = "[entry]"
	ComponentRoute     Component = "[route]"
	ComponentState     Component = "[state]"
	ComponentMember    Component = "[member]"
	ComponentAdmin     Component = "[admin]"
	ComponentFleet     Component = "[fleet]"
	ComponentTelemetry Component = "[telemetry]"
)

// Log returns the logger of a component.
func Log(log *zap.Logger, component Component) *zap.Logger { return log.Named(string(component)) }

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
