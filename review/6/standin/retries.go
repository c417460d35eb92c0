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
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["retries"] = playRetries }

const (
	// poolRunners is the number of runners, and crashedRunners how many of them crash at once:
	// a quarter, as on the site.
	poolRunners    = 12
	crashedRunners = 3
	// crashedFor is how long crashed runners are away.
	crashedFor = 2 * time.Second
	// betweenCrashes is the time from the first crash to the second.
	betweenCrashes = 9750 * time.Millisecond
	// crashPhase is when in a second since the start of the edge machines the first crash comes.
	crashPhase = 600 * time.Millisecond
	// poolGap is the time between the events of a stream: 48 events in 7.9 s.
	poolGap = 165 * time.Millisecond
	// sentPerS is the number of streams that clients ask for in a second.
	sentPerS = 60

	// retryWindow, retryRatio and retryAllowance are the bounds of portfolio-nord.
	retryWindow    = 10 * time.Second
	retryRatio     = 0.2
	retryAllowance = 58
)

// pool holds the runners of one service, the requests that clients sent and those that arrived.
type pool struct {
	s   *system
	ctx context.Context

	mu       sync.Mutex
	sent     []time.Time
	arrivals []poolArrival
	seen     map[string]bool
}

// poolArrival is a request that reached a runner.
type poolArrival struct {
	at             time.Time
	attempt        string
	after          int
	further, taken bool
}

// poolRunner is one place for runners: after a crash, the next one starts there.
type poolRunner struct {
	pool     *pool
	zone, ip string

	mu       sync.Mutex
	id       string
	born     int64
	seq      int
	running  int
	listener net.Listener
	conns    map[net.Conn]bool
	alive    context.Context
	die      context.CancelFunc
}

func (r *poolRunner) start() error {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", r.ip, runnerPort))
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.born, r.seq, r.running = fmt.Sprintf("i-%010x", rand.Uint64()&0xffffffffff), time.Now().UnixMilli(), 0, 0
	r.listener, r.conns = listener, map[net.Conn]bool{}
	r.alive, r.die = context.WithCancel(r.pool.ctx)
	id, alive := r.id, r.alive
	server := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { r.serve(w, request, id, alive) }),
		IdleTimeout: 5 * time.Second,
		ConnState: func(c net.Conn, state http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if state == http.StateNew {
				r.conns[c] = true
			} else if state == http.StateClosed {
				delete(r.conns, c)
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	go r.beats(alive)
	return nil
}

// crash ends the process of the runner, which resets its connections, and starts the next one later.
func (r *poolRunner) crash() (running int) {
	r.mu.Lock()
	running = r.running
	r.die()
	_ = r.listener.Close()
	for c := range r.conns {
		if socket, ok := c.(*net.TCPConn); ok {
			_ = socket.SetLinger(0)
		}
		_ = c.Close()
	}
	r.mu.Unlock()
	time.AfterFunc(crashedFor, func() {
		if err := r.start(); err != nil {
			r.pool.s.rec.printf("runner at %s does not start again: %v", r.ip, err)
		}
	})
	return running
}

func (r *poolRunner) beats(alive context.Context) {
	for alive.Err() == nil {
		r.mu.Lock()
		r.seq++
		id := r.id
		body, _ := json.Marshal(map[string]any{
			"service": "pool", "address": fmt.Sprintf("%s:%d", r.ip, runnerPort), "zone": r.zone, "version": "v1", "slots": 64, "state": "ready",
			"coldRemainingMs": 0, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": r.seq, "born": r.born,
		})
		r.mu.Unlock()
		call, cancel := context.WithTimeout(alive, heartbeat)
		_ = r.pool.s.control(call, http.MethodPut, "/instances/"+id, body)
		cancel()
		select {
		case <-time.After(heartbeat):
		case <-alive.Done():
		}
	}
}

// serve answers a request as a sound runner does, until the runner crashes.
func (r *poolRunner) serve(w http.ResponseWriter, request *http.Request, id string, alive context.Context) {
	header := w.Header()
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
	_, _ = io.Copy(io.Discard, request.Body)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	misdirected := request.Header.Get("X-Target-Instance") != id
	r.pool.note(attempt, last, !misdirected)
	if misdirected {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.running++
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,64", r.running))
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.id == id {
			r.running--
		}
	}()
	header.Set("X-Server-Seal", id)
	header.Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= streamEvents; event++ {
		select {
		case <-time.After(poolGap):
		case <-alive.Done():
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, attempt, event); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// note records a request that reached a runner.
func (p *pool) note(attempt string, after int, taken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, poolArrival{time.Now(), attempt, after, p.seen[attempt], taken})
	p.seen[attempt] = true
}

// worst returns the window of retryWindow in which most arrivals beyond the first of their
// request lie above what the rule allows.
func (p *pool) worst() (from time.Time, further int, allowed float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []time.Time
	for _, a := range p.arrivals {
		if a.further {
			list = append(list, a.at)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	sentIn := func(from time.Time) (n int) {
		for _, at := range p.sent {
			if !at.Before(from) && at.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	for i, start := range list {
		n := 0
		for _, at := range list[i:] {
			if at.Before(start.Add(retryWindow)) {
				n++
			}
		}
		requests := max(sentIn(start), sentIn(start.Add(-retryWindow/2)), sentIn(start.Add(-retryWindow)))
		limit := retryRatio*float64(requests) + retryAllowance
		if from.IsZero() || float64(n)-limit > float64(further)-allowed {
			from, further, allowed = start, n, limit
		}
	}
	return from, further, allowed
}

// traffic asks for streams until ctx ends, and returns a function that awaits their ends.
func (p *pool) traffic(ctx context.Context) (wait func() (whole, partial int)) {
	client := &client{key: "key-one", http: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	var mu sync.Mutex
	var group sync.WaitGroup
	whole, partial := 0, 0
	group.Go(func() {
		tick := time.NewTicker(time.Second / sentPerS)
		defer tick.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			<-tick.C
			m, attempt := p.s.edges[n%len(p.s.edges)], fmt.Sprintf("draft-%04d", n)
			p.mu.Lock()
			p.sent = append(p.sent, time.Now())
			p.mu.Unlock()
			group.Go(func() {
				status, text, err := client.readStream(m, attempt)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && status == http.StatusOK && strings.Count(text, "\n\n") == streamEvents {
					whole++
				} else if partial++; partial <= 10 {
					p.s.rec.printf("%s at %s: status %d, %d of %d events: %v", attempt, m.name, status, strings.Count(text, "\n\n"), streamEvents, err)
				}
			})
		}
	})
	return func() (int, int) { group.Wait(); return whole, partial }
}

// playRetries lets a quarter of the runners crash twice, less than the window of the retry budget
// apart.
func playRetries(s *system, trouble bool) int {
	if err := s.start(4); err != nil {
		s.rec.printf("not played: %v", err)
		return notPlayed
	}
	launched := time.Now()
	p := &pool{s: s, ctx: context.Background(), seen: map[string]bool{}}
	var runners []*poolRunner
	for i := range poolRunners {
		r := &poolRunner{pool: p, zone: zones[i%4], ip: s.ip(3, i)}
		if err := r.start(); err != nil {
			s.rec.printf("not played: %v", err)
			return notPlayed
		}
		runners = append(runners, r)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	err := s.control(ctx, "PUT", "/configuration", modelConfiguration(1))
	if err == nil {
		err = s.awaitReady(startTimeout)
	}
	if err != nil {
		s.rec.printf("not played: %v", err)
		return notPlayed
	}
	time.Sleep(contact + 2*time.Second)
	s.rec.printf("the system serves: %d core machines, %d edge machines, %d model runners; clients ask for %d streams a second", len(s.cores), len(s.edges), len(runners), sentPerS)
	sending, stop := context.WithCancel(context.Background())
	wait := p.traffic(sending)
	time.Sleep(12 * time.Second)
	time.Sleep((crashPhase - time.Since(launched)%time.Second + time.Second) % time.Second)
	if trouble {
		first := time.Now()
		p.crash(runners[:crashedRunners])
		time.Sleep(time.Until(first.Add(betweenCrashes)))
		p.crash(runners[crashedRunners : 2*crashedRunners])
	} else {
		time.Sleep(betweenCrashes)
	}
	time.Sleep(2 * time.Second)
	stop()
	whole, partial := wait()
	from, further, allowed := p.worst()
	p.report(from)
	s.rec.printf("streams: %d whole, %d not", whole, partial)
	if further == 0 {
		s.rec.printf("no request reached a second runner")
		return held
	}
	s.rec.printf("in the worst window of %s, %d requests reached runners beyond the first of each request; allowed are %.1f", retryWindow, further, allowed)
	if float64(further) > allowed {
		return broken
	}
	return held
}

func (p *pool) crash(list []*poolRunner) {
	running := 0
	for _, r := range list {
		running += r.crash()
	}
	p.s.rec.printf("%d of %d runners crash at the same moment, with %d streams; they are back after %s", len(list), poolRunners, running, crashedFor)
}

// report records, for each tenth of a second, the arrivals beyond the first of their request.
func (p *pool) report(from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[int64]int{}
	var order []int64
	rejected := 0
	for _, a := range p.arrivals {
		if !a.further {
			continue
		}
		if !a.taken {
			rejected++
		}
		tenth := a.at.Sub(p.s.rec.start).Milliseconds() / 100
		if counts[tenth] == 0 {
			order = append(order, tenth)
		}
		counts[tenth]++
	}
	for _, tenth := range order {
		p.s.rec.printf("%d.%d s: %d requests reach a runner beyond the first of each", tenth/10, tenth%10, counts[tenth])
	}
	p.s.rec.printf("%d requests sent, %d arrivals, of those beyond the first %d rejected", len(p.sent), len(p.arrivals), rejected)
	if !from.IsZero() {
		p.s.rec.printf("the worst window begins at %.3f s", from.Sub(p.s.rec.start).Seconds())
	}
}
