package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/boragelead/boragelead/internal/adapter/adminhttp"
	"github.com/boragelead/boragelead/internal/core/distribute"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/status"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// methodExplain asks a daemon for the explain record of a request.
const methodExplain = "entry.explain"

// explainTimeout bounds the question to one daemon.
const explainTimeout = time.Second

func (d *Daemon) adminHandler() http.Handler {
	return adminhttp.New(adminhttp.Options{
		KeySHA256: d.settings.AdminKeySHA256,
		Ledger:    d.ledger.client,
		Status:    operatorView{d},
		Drain:     operatorView{d},
		Explainer: d.explainer,
		Peers:     operatorView{d},
		Fleet:     d.fleetSource(),
		Vars:      d.metrics.Handler(),
		Log:       d.log,
	}).Handler()
}

// operatorView is what operators see of a daemon and do with it.
type operatorView struct{ daemon *Daemon }

// Status implements adminhttp.StatusSource.
func (v operatorView) Status(ctx context.Context) (status.Status, error) {
	d := v.daemon
	view := status.Status{Daemon: d.Name(), Generation: d.cluster.Generation().Number}
	current, err := d.ledger.client.Current(ctx)
	if err == nil {
		view.QuorumReachable = true
		view.Generation = max(view.Generation, current.Number)
	}
	view.Daemons = v.daemons(ctx)
	view.Endpoints = v.endpoints()
	view.Queues = v.queues()
	if own := d.ledger.status(); own != nil {
		view.Replicas = append(view.Replicas, status.Replica{ID: strconv.FormatUint(uint64(own.Replica), 16), Role: own.Role, Term: own.Term, Commit: own.Commit})
	}
	return view, nil
}

func (v operatorView) daemons(ctx context.Context) []status.Daemon {
	d := v.daemon
	heard := make(map[string]member.Peer)
	for _, peer := range d.cluster.Node().Peers() {
		heard[peer.Name] = peer
	}
	var list []status.Daemon
	for _, one := range d.cluster.Status(ctx) {
		list = append(list, v.describe(one, heard))
	}
	slices.SortFunc(list, func(a, b status.Daemon) int {
		if a.FailureDomain != b.FailureDomain {
			return compare(a.FailureDomain, b.FailureDomain)
		}
		return compare(a.Name, b.Name)
	})
	return list
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (v operatorView) describe(one distribute.DaemonStatus, heard map[string]member.Peer) status.Daemon {
	d := v.daemon
	view := status.Daemon{
		Name: one.Name, FailureDomain: one.Domain, Generation: one.Generation,
		State: stateOf(&one), ConfigAgeS: float64(one.SourceAgeMS) / 1000, Roles: []string{"entry"},
	}
	if peer, known := heard[one.Name]; known {
		view.Region = peer.Region
		view.Incarnation = uint64(peer.Incarnation)
		view.LastHeardMS = time.Since(peer.LastHeard).Milliseconds()
	}
	if one.Name == d.Name() {
		view.Region = d.settings.Region
		view.Streams = d.entry.InFlight()
		if d.notReady.Load() {
			view.State = status.Draining
		}
		if d.ledger.replica != nil {
			view.Roles = append(view.Roles, "replica")
		}
	}
	return view
}

func stateOf(one *distribute.DaemonStatus) status.DaemonState {
	switch {
	case !one.Answers:
		return status.Silent
	case one.Generation == 0:
		return status.Starting
	default:
		return status.Ready
	}
}

func (v operatorView) endpoints() []status.Endpoint {
	list := []status.Endpoint{}
	now := time.Now()
	for _, e := range v.daemon.registry.List() {
		view := status.Endpoint{
			ID: e.ID, FailureDomain: e.FailureDomain, Class: e.Class, State: string(e.State), Role: string(e.Role),
			Reclaimable: e.Reclaimable, Slots: e.Slots, Running: e.Load.Running, Queued: e.Load.Waiting,
			LoadAgeMS: now.Sub(e.LoadAt).Milliseconds(),
		}
		for _, m := range e.Models {
			view.Models = append(view.Models, m.Name)
		}
		if e.Service != "" {
			view.Models = append(view.Models, "service "+e.Service)
		}
		view.Breaker, view.Limit = v.daemon.entry.EndpointView(e.ID, now)
		list = append(list, view)
	}
	slices.SortFunc(list, func(a, b status.Endpoint) int { return compare(a.ID, b.ID) })
	return list
}

func (v operatorView) queues() []status.Queue {
	list := []status.Queue{}
	for _, q := range v.daemon.entry.Queues() {
		list = append(list, status.Queue{Models: q.Group, Waiting: q.Waiting, Running: q.Running})
	}
	return list
}

// Drain implements adminhttp.Drainer.
func (v operatorView) Drain(context.Context) (status.Drain, error) {
	d := v.daemon
	d.Drain(0)
	return status.Drain{Daemon: d.Name(), Streams: d.entry.InFlight(), TimeoutMS: d.settings.DrainTimeoutMS}, nil
}

// ExplainFromPeers implements adminhttp.ExplainPeers.
func (v operatorView) ExplainFromPeers(ctx context.Context, requestID string) (telemetry.Explanation, bool, error) {
	for _, peer := range v.daemon.cluster.Node().Peers() {
		bounded, cancel := context.WithTimeout(ctx, explainTimeout)
		data, err := v.daemon.rpc.Call(bounded, peer.Address, methodExplain, []byte(requestID))
		cancel()
		var found telemetry.Explanation
		if err == nil && len(data) > 0 && json.Unmarshal(data, &found) == nil {
			return found, true, nil
		}
	}
	return telemetry.Explanation{}, false, nil
}

// explain answers a peer that looks for an explain record.
func (d *Daemon) explain(_ context.Context, params []byte) ([]byte, error) {
	found, ok := d.explainer.Lookup(string(params))
	if !ok {
		return nil, nil
	}
	return json.Marshal(found)
}

// fleetSource shows the controller's plan; nil until a controller is configured.
func (d *Daemon) fleetSource() adminhttp.FleetSource { return nil }
