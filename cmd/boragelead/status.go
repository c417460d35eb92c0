package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/boragelead/boragelead/internal/adminclient"
	"github.com/boragelead/boragelead/internal/status"
	"github.com/boragelead/boragelead/internal/telemetry"
)

func registerStatus(a *app) {
	var r *remote
	sub := a.add(nil, "status", "show daemons with their configuration generation, endpoints and queues", []string{
		"boragelead status --address 10.0.1.11:8083 --key-file key",
		"boragelead status --json",
	}, func(ctx context.Context) error {
		var view status.Status
		err := r.call(ctx, func(ctx context.Context, client *adminclient.Client) (err error) {
			view, err = client.Status(ctx)
			return err
		})
		if err != nil {
			return err
		}
		return r.printValue(view, func() { a.printStatus(view) })
	})
	r = a.remoteFlags(sub)
}

func (a *app) printStatus(view status.Status) {
	quorum := "reachable"
	if !view.QuorumReachable {
		quorum = "NOT reachable"
	}
	a.printf("seen by %s: generation %d, replicated state %s\n\n", view.Daemon, view.Generation, quorum)
	table := a.newTable()
	row := table.row
	row("DAEMON", "DOMAIN", "STATE", "ROLES", "GENERATION", "HEARD MS AGO", "STREAMS")
	for _, d := range view.Daemons {
		row(d.Name, d.FailureDomain, d.State, strings.Join(d.Roles, ","), d.Generation, d.LastHeardMS, d.Streams)
	}
	row("")
	row("ENDPOINT", "DOMAIN", "STATE", "MODELS", "SLOTS", "RUNNING", "QUEUED")
	for _, e := range view.Endpoints {
		row(e.ID, e.FailureDomain, e.State, strings.Join(e.Models, ","), e.Slots, e.Running, e.Queued)
	}
	row("")
	row("QUEUE OF", "WAITING", "RUNNING")
	for _, q := range view.Queues {
		row(q.Models, q.Waiting, q.Running)
	}
	table.flush()
}

func registerDrain(a *app) {
	var r *remote
	sub := a.add(nil, "drain", "make the daemon finish its requests and leave", []string{
		"boragelead drain --address 10.0.1.11:8083 --key-file key",
	}, func(ctx context.Context) error {
		var drain status.Drain
		err := r.call(ctx, func(ctx context.Context, client *adminclient.Client) (err error) {
			drain, err = client.Drain(ctx)
			return err
		})
		if err != nil {
			return err
		}
		return r.printValue(drain, func() {
			a.printf("%s drains: %d streams have to end within %d ms\n", drain.Daemon, drain.Streams, drain.TimeoutMS)
		})
	})
	r = a.remoteFlags(sub)
}

func registerExplain(a *app) {
	var r *remote
	var request string
	var logs []string
	sub := a.add(nil, "explain", "show what happened to a request and why", []string{
		"boragelead explain 0f3b2c9e --address 10.0.1.11:8083 --key-file key",
		"boragelead explain 0f3b2c9e --json",
		"boragelead explain 0f3b2c9e --log entry-1.log --log state-1.log",
	}, func(ctx context.Context) error {
		if len(logs) > 0 {
			return a.explainFromLogs(request, logs, r)
		}
		var record telemetry.Explanation
		err := r.call(ctx, func(ctx context.Context, client *adminclient.Client) (err error) {
			record, err = client.Explain(ctx, request)
			return err
		})
		if err != nil {
			return err
		}
		return r.printValue(record, func() { a.printExplanation(record) })
	})
	sub.AddPositionalValue(&request, "request", 1, true, "request ID, as in X-Request-Id")
	sub.StringSlice(&logs, "l", "log", "log file of one or more daemons, read instead of asking a daemon")
	r = a.remoteFlags(sub)
}

func (a *app) printExplanation(e telemetry.Explanation) {
	a.printf("request %s on %s: workspace %s, caller %s, rank %s, target %s, generation %d\n",
		e.RequestID, e.Daemon, e.Workspace, e.Caller, e.Rank, e.Target, e.Generation)
	for _, event := range e.Events {
		parts := []string{fmt.Sprintf("%10.1f ms  %s", event.OffsetMS, event.Type)}
		add := func(name, value string) {
			if value != "" {
				parts = append(parts, name+"="+value)
			}
		}
		add("endpoint", event.Endpoint)
		add("attempt", event.Attempt)
		add("run", event.Run)
		if event.Tokens > 0 {
			add("tokens", fmt.Sprint(event.Tokens))
		}
		add("because", strings.Join(event.Reasons, "; "))
		add("message", event.Message)
		a.printf("%s\n", strings.Join(parts, "  "))
	}
	if e.DroppedEvents > 0 {
		a.printf("%d events before the last one were dropped\n", e.DroppedEvents)
	}
}
