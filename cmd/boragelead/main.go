// Command boragelead is the command line for operators and developers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// registrations lists the functions that add the commands, in the order of the help.
// Each command group has a file of its own.
var registrations = []func(*app){
	registerConfig,
	registerStatus,
	registerDrain,
	registerExplain,
	registerQuotas,
	registerFleet,
	registerRollout,
	registerState,
	registerDev,
	registerLoad,
	registerMeasure,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := newApp(os.Stdout, os.Stderr).run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
