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

// methodExplain is the peer call that asks a daemon for the explain record of a request.
const methodExplain = "entry.explain"

// explainTimeout bounds the call to one daemon.
const explainTimeout = time.Second

func (d *Daemon) adminHandler() http.Handler {
	return adminhttp.New(adminhttp.Options{
		KeySHA256: d.settings.AdminKeySHA256,
		Ledger:    d.ledger.client,
		Status:    adminView{d},
		Drain:     adminView{d},
		Explainer: d.explainer,
		Peers:     adminView{d},
		Fleet:     d.fleetSource(),
		Vars:      d.metrics.Handler(),
		Log:       d.log,
	}).Handler()
}

// adminView implements the interfaces through which the operators' server
// reads the state of the daemon and drains it.
type adminView struct{ daemon *Daemon }

// Status implements adminhttp.StatusSource.
func (v adminView) Status(ctx context.Context) (status.Status, error) {
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
	if replicaStatus := d.ledger.status(); replicaStatus != nil {
		view.Replicas = append(view.Replicas, status.Replica{ID: strconv.FormatUint(uint64(replicaStatus.Replica), 16), Role: replicaStatus.Role, Term: replicaStatus.Term, Commit: replicaStatus.Commit})
	}
	return view, nil
}

func (v adminView) daemons(ctx context.Context) []status.Daemon {
	d := v.daemon
	peersByName := make(map[string]member.Peer)
	for _, peer := range d.cluster.Node().Peers() {
		peersByName[peer.Name] = peer
	}
	var list []status.Daemon
	for _, daemonStatus := range d.cluster.Status(ctx) {
		list = append(list, v.describeDaemon(daemonStatus, peersByName))
	}
	slices.SortFunc(list, func(a, b status.Daemon) int {
		if a.FailureDomain != b.FailureDomain {
			return compareStrings(a.FailureDomain, b.FailureDomain)
		}
		return compareStrings(a.Name, b.Name)
	})
	return list
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (v adminView) describeDaemon(daemonStatus distribute.DaemonStatus, peersByName map[string]member.Peer) status.Daemon {
	d := v.daemon
	view := status.Daemon{
		Name: daemonStatus.Name, FailureDomain: daemonStatus.Domain, Generation: daemonStatus.Generation,
		State: daemonState(&daemonStatus), ConfigAgeS: float64(daemonStatus.SourceAgeMS) / 1000, Roles: []string{"entry"},
	}
	if peer, known := peersByName[daemonStatus.Name]; known {
		view.Region = peer.Region
		view.Incarnation = uint64(peer.Incarnation)
		view.LastHeardMS = time.Since(peer.LastHeard).Milliseconds()
	}
	if daemonStatus.Name == d.Name() {
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

func daemonState(daemonStatus *distribute.DaemonStatus) status.DaemonState {
	switch {
	case !daemonStatus.Answers:
		return status.Silent
	case daemonStatus.Generation == 0:
		return status.Starting
	default:
		return status.Ready
	}
}

func (v adminView) endpoints() []status.Endpoint {
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
	slices.SortFunc(list, func(a, b status.Endpoint) int { return compareStrings(a.ID, b.ID) })
	return list
}

func (v adminView) queues() []status.Queue {
	list := []status.Queue{}
	for _, q := range v.daemon.entry.Queues() {
		list = append(list, status.Queue{Models: q.Group, Waiting: q.Waiting, Running: q.Running})
	}
	return list
}

// Drain implements adminhttp.Drainer.
func (v adminView) Drain(context.Context) (status.Drain, error) {
	d := v.daemon
	d.Drain(0)
	return status.Drain{Daemon: d.Name(), Streams: d.entry.InFlight(), TimeoutMS: d.settings.DrainTimeoutMS}, nil
}

// ExplainFromPeers implements adminhttp.ExplainPeers. It asks the peers one
// after the other until one has the record.
func (v adminView) ExplainFromPeers(ctx context.Context, requestID string) (telemetry.Explanation, bool, error) {
	for _, peer := range v.daemon.cluster.Node().Peers() {
		callCtx, cancel := context.WithTimeout(ctx, explainTimeout)
		data, err := v.daemon.rpc.Call(callCtx, peer.Address, methodExplain, []byte(requestID))
		cancel()
		var explanation telemetry.Explanation
		if err == nil && len(data) > 0 && json.Unmarshal(data, &explanation) == nil {
			return explanation, true, nil
		}
	}
	return telemetry.Explanation{}, false, nil
}

// explain serves methodExplain. It returns no data if this daemon has no record of the request.
func (d *Daemon) explain(_ context.Context, requestID []byte) ([]byte, error) {
	explanation, ok := d.explainer.Lookup(string(requestID))
	if !ok {
		return nil, nil
	}
	return json.Marshal(explanation)
}

// fleetSource returns nil: no controller can be configured yet whose plan it could return.
func (d *Daemon) fleetSource() adminhttp.FleetSource { return nil }
