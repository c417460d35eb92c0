//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// deadlyMark in a body stands for work that crashes each runner which begins to run it.
const deadlyMark = "deadly"

// arrival is a request that a runner began to run.
type arrival struct {
	at                      time.Time
	attempt, runner, tenant string
	body                    string
	// done is set once the run has ended well, and crashed if the runner ended before.
	done, crashed bool
}

// fleet holds all runners and what they ran.
type fleet struct {
	s   *system
	ctx context.Context

	mu       sync.Mutex
	arrivals []*arrival
	starts   int
}

// runner is one place for runners of a service: after a crash, the next one starts there.
type runner struct {
	fleet             *fleet
	service, zone, ip string
	slots             int
	work              time.Duration
	back              time.Duration
	mu                sync.Mutex
	id                string
	born              int64
	seq               uint64
	state             string
	up                bool
	listener          net.Listener
	conns             map[net.Conn]struct{}
	server            *http.Server
	cancelBeats       context.CancelFunc
	running           int
	silent            bool
	deathOf           context.Context
	die               context.CancelFunc
}

func (f *fleet) add(service, zone, ip string, slots int, work, back time.Duration) (*runner, error) {
	r := &runner{fleet: f, service: service, zone: zone, ip: ip, slots: slots, work: work, back: back}
	return r, r.start()
}

func (r *runner) address() string { return fmt.Sprintf("%s:%d", r.ip, runnerPort) }

// start starts a new incarnation with an ID of its own.
func (r *runner) start() error {
	listener, err := net.Listen("tcp4", r.address())
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.born, r.seq, r.state, r.up = fmt.Sprintf("i-%010x", rand.Uint64()&0xffffffffff), time.Now().UnixMilli(), 0, "ready", true
	r.listener, r.conns, r.running = listener, map[net.Conn]struct{}{}, 0
	r.deathOf, r.die = context.WithCancel(r.fleet.ctx)
	r.server = &http.Server{Handler: r, IdleTimeout: 5 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateNew {
			r.conns[c] = struct{}{}
		} else if state == http.StateClosed || state == http.StateHijacked {
			delete(r.conns, c)
		}
	}}
	server := r.server
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(r.fleet.ctx)
	r.cancelBeats = cancel
	go r.beatLoop(ctx)
	return nil
}

// end ends the process of the runner: its connections are reset and its port is closed.
func (r *runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	r.cancelBeats()
	r.die()
	_ = r.listener.Close()
	for c := range r.conns {
		if socket, ok := c.(*net.TCPConn); ok {
			_ = socket.SetLinger(0)
		}
		_ = c.Close()
	}
}

// crash ends the runner, which is back after some seconds.
func (r *runner) crash() {
	r.end()
	time.AfterFunc(r.back, func() {
		if r.fleet.ctx.Err() == nil {
			_ = r.start()
		}
	})
}

// beat returns the next heartbeat.
func (r *runner) beat() (id string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	body, _ = json.Marshal(map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"coldRemainingMs": 0, "seq": r.seq, "born": r.born,
	})
	return r.id, body
}

func (r *runner) beatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		silent := r.silent
		r.mu.Unlock()
		if !silent {
			id, body := r.beat()
			call, cancel := context.WithTimeout(ctx, heartbeat)
			_ = r.fleet.s.control(call, http.MethodPut, "/instances/"+id, body)
			cancel()
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// ServeHTTP implements http.Handler as a sound runner does.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	id, running, death := r.id, r.running, r.deathOf
	r.mu.Unlock()
	header := w.Header()
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", min(running, r.slots), r.slots))
	switch request.URL.Path {
	case "/healthz":
		header.Set("X-Instance-Id", id)
		return
	case "/report":
		_, _ = io.WriteString(w, `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"kvUsage":0,"kvCapacity":444000,"copyHandles":0}`)
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	header.Set("X-Attempt-Id", attempt)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	target := request.Header.Get("X-Target-Instance")
	if attempt == "" || target != "" && target != id {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{at: time.Now(), attempt: attempt, runner: id, tenant: request.Header.Get("X-Tenant"), body: string(body)}
	r.fleet.mu.Lock()
	r.fleet.arrivals = append(r.fleet.arrivals, a)
	r.fleet.mu.Unlock()
	if strings.Contains(a.body, deadlyMark) {
		r.fleet.s.rec.printf("runner %s (%s) begins to run %s and crashes", id, r.service, attempt)
		r.crash()
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	select {
	case <-time.After(r.work):
	case <-request.Context().Done():
		if death.Err() == nil {
			return
		}
		r.fleet.mu.Lock()
		a.crashed = true
		r.fleet.mu.Unlock()
		return
	case <-death.Done():
		r.fleet.mu.Lock()
		a.crashed = true
		r.fleet.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	r.fleet.mu.Lock()
	a.done = true
	r.fleet.mu.Unlock()
	text := "done " + attempt
	header.Set("X-Server-Seal", id)
	header.Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

// ranFor returns the runs of an attempt.
func (f *fleet) ranFor(attempt string) (list []*arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.attempt == attempt {
			list = append(list, a)
		}
	}
	return list
}

// configuration returns a configuration of the operator for both services.
func configuration(version int) []byte {
	return encode(map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-publish", "host": "ficu95.example", "pathPrefix": "/publish/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": "app", "maxAttempts": 1, "anonymous": false},
			map[string]any{"name": "r-view", "host": "ficu95.example", "pathPrefix": "/view/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": "app", "maxAttempts": 2, "anonymous": false},
			map[string]any{"name": "r-other", "host": "ficu95.example", "pathPrefix": "/other/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": "other", "maxAttempts": 2, "anonymous": false},
		},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "other", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{"key-one"}, "priority": 1, "ratePerS": 0, "burst": 0}},
	})
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
