// Command boragelead is the command line for operators and developers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// registrations lists the commands of the program in the order of the help.
// Each command has a file of its own with a function that adds it.
var registrations = []func(*app){
	registerConfig,
	registerStatus,
	registerDrain,
	registerExplain,
	registerFleet,
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
