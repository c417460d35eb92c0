package main

import (
	"os"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
)

// settingsInterval is how often the settings file is read, because it may change
// without a signal.
const settingsInterval = 3 * time.Second

// waitForStop returns when a signal to stop arrives. Until then it reloads the settings
// at each hangup signal and at each settingsInterval.
func (g *gatewayDaemon) waitForStop(setSeeds func([]string)) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-g.signals:
			if received != syscall.SIGHUP {
				g.log.Info("Signal to stop.", zap.String("signal", received.String()))
				return
			}
			g.reload(setSeeds, true)
		case <-ticker.C:
			g.reload(setSeeds, false)
		}
	}
}

// reload loads the settings file again. Only changed seeds take effect without a
// restart. If the file is invalid, the previous settings stay in effect. requested is
// set for a reload by signal, which is always logged.
func (g *gatewayDaemon) reload(setSeeds func([]string), requested bool) {
	fresh, err := settings.LoadGateway(os.Getenv(settingsVariable))
	if err != nil {
		if requested || !g.settingsInvalid {
			g.log.Warn("Settings file cannot be loaded; the previous settings stay in effect.", zap.Error(err))
		}
		g.settingsInvalid = true
		return
	}
	g.settingsInvalid = false
	changed := !slices.Equal(fresh.Seeds, g.seeds)
	if changed {
		g.seeds = fresh.Seeds
		setSeeds(fresh.Seeds)
	}
	if requested || changed {
		g.log.Info("Settings reloaded.", zap.Strings("seeds", fresh.Seeds), zap.Bool("changed", changed))
	}
}
