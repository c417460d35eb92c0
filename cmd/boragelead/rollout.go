package main

import (
	"context"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/platform"
)

// rolloutFlags are the flags that all commands for roll-outs have.
type rolloutFlags struct {
	addresses []string
	json      bool
	timeout   time.Duration
}

// defaultRolloutTimeout leaves time for an election and for the first two seconds of a
// leader, in which it does not know all entries.
const defaultRolloutTimeout = 10 * time.Second

// registerRollout adds the commands for roll-outs at the state replicas of the gateway.
func registerRollout(a *app) {
	group := a.group("rollout", "move a service of the gateway to endpoints of another software version")
	registerRolloutStart(a, group)
	registerRolloutView(a, group, "show", "show the newest roll-out of a service", (*platform.RolloutClient).Show)
	registerRolloutView(a, group, "abort", "revert the roll-out of a service that runs", (*platform.RolloutClient).Abort)
}

func registerRolloutStart(a *app, group *flaggy.Subcommand) {
	var flags *rolloutFlags
	var service, to string
	duration := time.Duration(0)
	sub := a.add(group, "start", "order a roll-out; repeating an order is safe", []string{
		"boragelead rollout start --address 10.0.1.11:7611,10.0.1.12:7611 --duration 10m chat v2",
	}, func(ctx context.Context) error {
		if duration <= 0 {
			return &usageError{message: "--duration is required: the time within which the roll-out ends, such as 10m"}
		}
		return a.runRollout(ctx, flags, func(ctx context.Context, c *platform.RolloutClient) (platform.RolloutInfo, error) {
			return c.Start(ctx, rollout.Order{Service: service, To: to, Duration: duration})
		})
	})
	sub.AddPositionalValue(&service, "service", 1, true, "name of the service")
	sub.AddPositionalValue(&to, "version", 2, true, "software version that the new endpoints announce")
	sub.Duration(&duration, "d", "duration", "time within which the roll-out ends")
	flags = addRolloutFlags(sub)
}

// registerRolloutView adds a command that only names a service.
func registerRolloutView(
	a *app, group *flaggy.Subcommand, name, description string,
	call func(*platform.RolloutClient, context.Context, string) (platform.RolloutInfo, error),
) {
	var flags *rolloutFlags
	var service string
	sub := a.add(group, name, description, []string{
		"boragelead rollout " + name + " --address 10.0.1.11:7611 chat",
		"boragelead rollout " + name + " --address 10.0.1.11:7611 --json chat",
	}, func(ctx context.Context) error {
		return a.runRollout(ctx, flags, func(ctx context.Context, c *platform.RolloutClient) (platform.RolloutInfo, error) {
			return call(c, ctx, service)
		})
	})
	sub.AddPositionalValue(&service, "service", 1, true, "name of the service")
	flags = addRolloutFlags(sub)
}

func addRolloutFlags(sub *flaggy.Subcommand) *rolloutFlags {
	flags := &rolloutFlags{timeout: defaultRolloutTimeout}
	sub.StringSlice(&flags.addresses, "a", "address", "control address of a state replica, IP:port; several ones are tried in turn")
	sub.Bool(&flags.json, "j", "json", "print JSON")
	sub.Duration(&flags.timeout, "t", "timeout", "time limit of the whole command")
	return flags
}

// runRollout makes a call to the replicas and prints the roll-out.
func (a *app) runRollout(
	ctx context.Context, flags *rolloutFlags,
	call func(context.Context, *platform.RolloutClient) (platform.RolloutInfo, error),
) error {
	if len(flags.addresses) == 0 {
		return &usageError{message: "--address is required: the control address of a state replica, IP:port"}
	}
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	stop := a.progress(func() string { return "waiting for " + strings.Join(flags.addresses, ", ") })
	defer stop()
	info, err := call(ctx, &platform.RolloutClient{Addresses: flags.addresses})
	if err != nil {
		return err
	}
	if flags.json {
		return a.printJSON(info)
	}
	a.printf("%s to %s, %s: %s\n", info.State, info.To, info.Phase, info.Reason)
	return nil
}
