package main

import (
	"context"
	"fmt"

	"github.com/boragelead/boragelead/internal/adminclient"
	"github.com/boragelead/boragelead/internal/status"
)

func registerFleet(a *app) {
	group := a.group("fleet", "show what the fleet controller plans and does")
	for _, view := range []struct {
		name, description string
		print             func(status.Fleet)
	}{
		{"show", "show the controller, the cost, what is due and the latest steps", a.printFleet},
		{"plan", "show the steps that are due, each with its reason", func(f status.Fleet) { a.printSteps(f.Plan) }},
		{"history", "show the steps that were taken, the newest first", func(f status.Fleet) { a.printSteps(f.History) }},
	} {
		var r *remote
		sub := a.add(group, view.name, view.description, []string{
			"boragelead fleet " + view.name + " --address 10.0.1.11:8083 --key-file key",
			"boragelead fleet " + view.name + " --json",
		}, func(ctx context.Context) error {
			var fleet status.Fleet
			err := r.call(ctx, func(ctx context.Context, client *adminclient.Client) (err error) {
				fleet, err = client.Fleet(ctx)
				return err
			})
			if err != nil {
				return err
			}
			return r.printValue(fleet, func() { view.print(fleet) })
		})
		r = a.remoteFlags(sub)
	}
}

// shownSteps is the maximum number of past steps in the overview.
const shownSteps = 10

func (a *app) printFleet(f status.Fleet) {
	holder := f.Controller
	if holder == "" {
		holder = "nobody"
	}
	a.printf("controller lease held by %s, fencing number %d; present VMs cost %.2f per hour\n", holder, f.FencingNumber, f.CostPerHour)
	a.printf("\n%d steps are due\n", len(f.Plan))
	a.printSteps(f.Plan)
	a.printf("\nlatest of %d steps taken\n", len(f.History))
	a.printSteps(f.History[:min(len(f.History), shownSteps)])
}

func (a *app) printSteps(steps []status.FleetStep) {
	if len(steps) == 0 {
		a.printf("none\n")
		return
	}
	table := a.newTable()
	table.row("AGE S", "ACTION", "DOMAIN", "CLASS", "ENDPOINT", "MODEL", "OUTCOME", "REASON")
	for _, s := range steps {
		age := ""
		if s.Outcome != "" {
			age = fmt.Sprintf("%.0f", s.AgeS)
		}
		table.row(age, s.Action, s.FailureDomain, s.Class, s.Endpoint, s.Model, s.Outcome, s.Reason)
	}
	table.flush()
}
