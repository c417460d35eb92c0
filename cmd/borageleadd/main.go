// Command borageleadd is the daemon that runs on each entry VM.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// Exit codes.
const (
	exitSettings = 2
	exitStart    = 3
)

func main() {
	path := "borageleadd.json"
	flaggy.SetName("borageleadd")
	flaggy.SetDescription("boragelead daemon: serves callers, endpoints and operators of one entry VM")
	flaggy.String(&path, "s", "settings", "settings file (JSON)")
	flaggy.Parse()
	os.Exit(run(path))
}

func run(path string) int {
	config, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log, err := telemetry.NewLogger(config.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	d, err := daemon.Start(config, log, daemon.Options{})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitStart
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	d.Close()
	return 0
}
