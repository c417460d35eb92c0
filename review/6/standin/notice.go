//go:build review2

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["notice"] = playNotice }

const (
	// streamEvents and eventGap are those of a stream: 48 events as on the site's sheet.
	streamEvents = 48
	eventGap     = 100 * time.Millisecond
	// noticeTime is the time between the notice and the end of a runner that is taken away, and
	// lateNotice how late its heartbeats arrive.
	noticeTime = 2500 * time.Millisecond
	lateNotice = time.Second
	// streamsPerEdge is the number of streams that run at each edge machine.
	streamsPerEdge = 8
)

// modelRunner is a runner that writes streams without a length: they end with their connection.
type modelRunner struct {
	s        *system
	id, zone string
	ip       string
	born     int64
	listener net.Listener

	mu    sync.Mutex
	seq   int
	conns map[net.Conn]bool
	gone  bool
	// leavesAt is when the runner ends; zero before the notice.
	leavesAt time.Time
	// delay is how late heartbeats arrive.
	delay time.Duration
	// cut holds the streams that the end of the runner cut off.
	cut map[string]int
	// wake is signalled when the next heartbeat is due at once.
	wake chan struct{}
}

func newModelRunner(s *system, ip, zone string) (*modelRunner, error) {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, runnerPort))
	if err != nil {
		return nil, err
	}
	r := &modelRunner{
		s: s, id: fmt.Sprintf("i-%010x", rand.Uint64()&0xffffffffff), ip: ip, zone: zone, born: time.Now().UnixMilli(), listener: listener,
		conns: map[net.Conn]bool{}, cut: map[string]int{}, wake: make(chan struct{}, 1),
	}
	go r.accept()
	go r.beats()
	return r, nil
}

func (r *modelRunner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve answers the requests of one connection.
func (r *modelRunner) serve(conn net.Conn) {
	r.mu.Lock()
	r.conns[conn] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		attempt := request.Header.Get("X-Attempt-Id")
		switch {
		case request.URL.Path == "/healthz":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		case request.Header.Get("X-Target-Instance") != r.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		r.stream(conn, attempt, last)
		return
	}
}

// stream writes the events after the last one that the caller has, and ends with the connection.
func (r *modelRunner) stream(conn net.Conn, attempt string, last int) {
	if last > 0 {
		r.s.rec.printf("runner %s goes on with %s after event %d", r.id, attempt, last)
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nX-Server-Load: 1,0,64\r\nConnection: close\r\n\r\n", attempt, r.id)
	for event := last + 1; event <= streamEvents; event++ {
		time.Sleep(eventGap)
		r.mu.Lock()
		if r.gone {
			r.cut[attempt] = event - 1
			r.mu.Unlock()
			return
		}
		_, err := fmt.Fprintf(conn, "id: %d\ndata: %s %d\n\n", event, attempt, event)
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// end ends the process of the runner in order: its port and its connections are closed.
func (r *modelRunner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// beats announces the runner. A call that is not acknowledged within a second goes to the next
// daemon; one that arrives late is acknowledged late.
func (r *modelRunner) beats() {
	for {
		r.mu.Lock()
		if r.gone {
			r.mu.Unlock()
			return
		}
		r.seq++
		beat := map[string]any{
			"service": "pool", "address": fmt.Sprintf("%s:%d", r.ip, runnerPort), "zone": r.zone, "version": "v1", "slots": 64, "state": "ready",
			"coldRemainingMs": 0, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": r.seq, "born": r.born,
			"spotEnabled": true,
		}
		pause := heartbeat
		if !r.leavesAt.IsZero() {
			beat["state"], beat["leaves_ms"] = "draining", max(time.Until(r.leavesAt).Milliseconds(), 1)
			pause = time.Second
		}
		delay := r.delay
		r.mu.Unlock()
		body, _ := json.Marshal(beat)
		go func() {
			if delay > 0 {
				r.s.rec.printf("runner %s sends a heartbeat: %s", r.id, body)
				time.Sleep(delay)
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			err := r.s.control(ctx, "PUT", "/instances/"+r.id, body)
			if beat["state"] == "draining" {
				r.s.rec.printf("runner %s: heartbeat with seq %v and leaves_ms %v has arrived; error: %v", r.id, beat["seq"], beat["leaves_ms"], err)
			}
		}()
		select {
		case <-time.After(pause):
		case <-r.wake:
		}
	}
}

// leave tells that the runner is taken away after noticeTime, and ends it then.
func (r *modelRunner) leave(delay time.Duration) {
	r.mu.Lock()
	r.leavesAt, r.delay = time.Now().Add(noticeTime), delay
	r.mu.Unlock()
	r.wake <- struct{}{}
	time.Sleep(noticeTime)
	r.end()
	time.Sleep(2 * eventGap)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.s.rec.printf("runner %s ends, %s after its notice; %d streams are cut off between two events", r.id, noticeTime, len(r.cut))
}

// playNotice takes a runner away whose notice arrives late.
func playNotice(s *system, trouble bool) int {
	if err := s.start(4); err != nil {
		s.rec.printf("not played: %v", err)
		return notPlayed
	}
	var runners []*modelRunner
	for i, zone := range zones {
		r, err := newModelRunner(s, s.ip(3, i), zone)
		if err != nil {
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
	s.rec.printf("the system serves: 4 core machines, 4 edge machines, %d model runners", len(runners))
	c := newClient("key-one")
	var mu sync.Mutex
	var group sync.WaitGroup
	whole, short, broke := 0, 0, 0
	for i, m := range s.edges {
		for j := range streamsPerEdge {
			attempt := fmt.Sprintf("draft-%d-%d", i, j)
			group.Go(func() {
				status, text, err := c.readStream(m, attempt)
				events := strings.Count(text, "\n\n")
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil || status != http.StatusOK:
					broke++
					s.rec.printf("%s at %s: status %d, %d of %d events, broken off: %v", attempt, m.name, status, events, streamEvents, err)
				case events == streamEvents:
					whole++
				default:
					short++
					s.rec.printf("%s at %s: status 200, ended as complete with %d of %d events", attempt, m.name, events, streamEvents)
				}
			})
		}
	}
	time.Sleep(1500 * time.Millisecond)
	delay := time.Duration(0)
	if trouble {
		delay = lateNotice
	}
	s.rec.printf("runner %s gets its notice; its heartbeats arrive %s late", runners[1].id, delay)
	runners[1].leave(delay)
	group.Wait()
	s.rec.printf("streams: %d whole, %d broken off, %d ended as complete before their last event; allowed are none of the last", whole, broke, short)
	if short > 0 {
		return broken
	}
	return held
}

// readStream reads a stream to its end. There is no error only if it ended as complete.
func (c *client) readStream(m *machine, attempt string) (status int, text string, err error) {
	request, err := http.NewRequest("POST", fmt.Sprintf("http://%s:%d/draft/x", m.ip, frontendPort), strings.NewReader("draft "+attempt))
	if err != nil {
		return 0, "", err
	}
	request.Host = "ficu95.example"
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", "10000")
	request.Header.Set("Authorization", "Token "+c.key)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Usage", "1800,400")
	request.Header.Set("X-Prefix-Hash", fmt.Sprintf("5c1e07a2:1400,%x:400", rand.Uint32()))
	response, err := c.http.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// modelConfiguration returns a configuration with one route of a model service, whose streams may
// be resumed.
func modelConfiguration(version int) []byte {
	return encode(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-draft", "host": "ficu95.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 1500, "priority": 2,
			"service": "pool", "maxAttempts": 2, "anonymous": false, "sessionAffinity": true, "streamResume": true, "itlTargetMs": 300,
		}},
		"services": []any{map[string]any{
			"name": "pool", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacityTokens": 444000, "kvTokenBytes": 131072, "migrations": false, "replicas": false, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{"key-one"}, "priority": 1, "ratePerS": 0, "burst": 0}},
	})
}
