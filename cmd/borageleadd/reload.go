package main

import (
	"os"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
)

// settingsInterval is how often the settings file is read: it may change
// without a signal.
const settingsInterval = 3 * time.Second

// awaitStop returns at the first signal to stop. Meanwhile it reads the settings
// again at a hangup, and where the file changed without one.
func (g *gatewayDaemon) awaitStop(setSeeds func([]string)) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case one := <-g.signals:
			if one != syscall.SIGHUP {
				g.log.Info("Signal to stop.", zap.String("signal", one.String()))
				return
			}
			g.reload(setSeeds, true)
		case <-ticker.C:
			g.reload(setSeeds, false)
		}
	}
}

// reload reads the settings again. Only the seeds take effect at once; with
// broken settings the daemon goes on as before.
func (g *gatewayDaemon) reload(setSeeds func([]string), asked bool) {
	fresh, err := settings.LoadGateway(os.Getenv(settingsVariable))
	if err != nil {
		if asked || !g.settingsBroken {
			g.log.Warn("Settings not usable, the former ones stay.", zap.Error(err))
		}
		g.settingsBroken = true
		return
	}
	g.settingsBroken = false
	changed := !slices.Equal(fresh.Seeds, g.seeds)
	if changed {
		g.seeds = fresh.Seeds
		setSeeds(fresh.Seeds)
	}
	if asked || changed {
		g.log.Info("Settings reloaded.", zap.Strings("seeds", fresh.Seeds), zap.Bool("changed", changed))
	}
}
