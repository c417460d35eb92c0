// Command borageleadd is the daemon that runs on each entry VM.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/hangup"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// Exit codes.
const (
	exitSettings = 2
	exitStart    = 3
	// exitSecondSignal is the exit code after a second signal, which aborts a drain.
	exitSecondSignal = 4
)

// gcPercent lets the heap grow to five times its live size between
// collections. The memory limit of the settings bounds it; decisions on ten
// cores scale 3.8 to 5.0 times one core at the default of 100, and 6.3 to 6.7 at 1000.
const gcPercent = 400

func main() {
	path := "borageleadd.json"
	flaggy.SetName("borageleadd")
	flaggy.SetDescription("boragelead daemon: serves callers, endpoints and operators of one entry VM")
	flaggy.DefaultParser.AdditionalHelpAppend = "\nExample: borageleadd --settings /etc/boragelead/entry.json\n" +
		"Exit codes: 0 drained, 2 wrong settings, 3 not started, 4 ended by a second signal"
	flaggy.String(&path, "s", "settings", "settings file (JSON), see docs/settings.md")
	entryRole := subcommand("entry", "serve callers of the gateway; settings from "+settingsVariable)
	stateRole := subcommand("state", "replicate the state of the gateway; settings from "+settingsVariable)
	flaggy.Parse()
	switch {
	case entryRole.Used:
		os.Exit(runGateway(settings.RoleEntry))
	case stateRole.Used:
		os.Exit(runGateway(settings.RoleState))
	}
	os.Exit(run(path))
}

func subcommand(name, description string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = description
	flaggy.AttachSubcommand(command, 1)
	return command
}

func run(path string) int {
	hangup.Release()
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
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(config.Limits.MaxMemoryBytes)
	d, err := daemon.Start(config, log, daemon.Options{})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return startExitCode(err)
	}
	defer d.Close()
	return serve(d)
}

// startExitCode returns exitSettings for errors that the settings cause, such as an
// address that is in use, and exitStart for all others.
func startExitCode(err error) int {
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) {
		return exitSettings
	}
	return exitStart
}

// serve waits until the daemon has drained. The first signal or an operator starts the
// drain; a second signal ends the daemon at once.
func serve(d *daemon.Daemon) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for draining := false; ; draining = true {
		select {
		case <-signals:
			if draining {
				return exitSecondSignal
			}
			d.Drain(0)
		case <-d.Drained():
			return 0
		}
	}
}
