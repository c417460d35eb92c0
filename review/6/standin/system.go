//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines, as on the platform.
const (
	frontendPort = 8221
	readyPort    = 8224
	controlPort  = 8229
	cloudPort    = 8225
	runnerPort   = 8308
	peerPort     = 7600
	metricsPort  = 7615
)

// Bounds of portfolio-nord, from the platform's pages.
const (
	heartbeat = 1200 * time.Millisecond
	contact   = 3 * time.Second
	drainTime = 2 * time.Second
	downTime  = 700 * time.Millisecond
	// startTimeout bounds the start of the whole system, 10 s on the platform.
	startTimeout = 25 * time.Second
)

var zones = []string{"zon-a", "zon-b", "zon-c", "zon-d"}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// machine is one machine of the system with its process.
type machine struct {
	name, role, ip, zone, settings, data string
	config                               map[string]any
	command                              *exec.Cmd
	exited                               chan struct{}
}

// system is a small deployment on loopback addresses.
type system struct {
	rec    *record
	folder string
	octet  int
	lock   net.Listener
	cores  []*machine
	edges  []*machine
	cloud  *http.Server
	// calls is the number of calls that the cloud API got.
	mu    sync.Mutex
	calls int
}

func (s *system) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.octet, group, i+1) }

// newSystem reserves a block of loopback addresses that nobody else uses.
func newSystem(rec *record) (*system, error) {
	s := &system{rec: rec}
	var err error
	for s.octet = 60; s.octet < 250; s.octet++ {
		if s.lock, err = net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:%d", s.octet, controlPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	s.folder, err = os.MkdirTemp("", "review-")
	return s, err
}

// start starts the cloud API, the core and the edge machines with empty disks.
func (s *system) start(edges int) error {
	address := fmt.Sprintf("%s:%d", s.ip(9, 0), cloudPort)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.cloud = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.calls++
		s.mu.Unlock()
	})}
	go func() { _ = s.cloud.Serve(listener) }()
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip(1, i), controlPort))
	}
	for i := range 4 {
		s.cores = append(s.cores, s.newMachine(fmt.Sprintf("core-%s-1", zones[i]), "state", s.ip(1, i), zones[i], seeds, address))
	}
	for i := range edges {
		s.edges = append(s.edges, s.newMachine(fmt.Sprintf("edge-%s-%d", zones[i%4], i/4+1), "entry", s.ip(2, i), zones[i%4], seeds, address))
	}
	for _, m := range s.machines() {
		if err := s.launch(m); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) machines() []*machine {
	return append(append([]*machine(nil), s.cores...), s.edges...)
}

// newMachine writes the settings that the template of the deploy file yields.
func (s *system) newMachine(name, role, ip, zone string, seeds []string, cloud string) *machine {
	m := &machine{name: name, role: role, ip: ip, zone: zone, settings: filepath.Join(s.folder, name+".json")}
	listen := map[string]string{"metrics": net.JoinHostPort(ip, strconv.Itoa(metricsPort))}
	limits := map[string]int{"memory_mb": 284, "file_descriptors": 4100}
	if role == "state" {
		m.data = filepath.Join(s.folder, name)
		listen["control"] = net.JoinHostPort(ip, strconv.Itoa(controlPort))
		limits = map[string]int{"memory_mb": 280, "file_descriptors": 4096}
	} else {
		listen["callers"] = net.JoinHostPort(ip, strconv.Itoa(frontendPort))
		listen["ready"] = net.JoinHostPort(ip, strconv.Itoa(readyPort))
	}
	m.config = map[string]any{
		"name": name, "role": role, "failure_domain": zone, "domains": zones, "ip": ip, "listen": listen, "peer_port": peerPort,
		"seeds": seeds, "bootstrap": true, "data_folder": m.data, "limits": limits,
		"bounds": map[string]any{
			"heartbeat_ms": heartbeat.Milliseconds(), "retry_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 58,
			"quota_slack": 140000, "quota_overshoot": 0.1, "quota_window_s": 8, "usage_window_s": 5, "usage_delay_s": 10,
			"lease_ms": 3000, "fencing_enforced": true, "grace_s": 8, "drain_ms": drainTime.Milliseconds(), "losses": 1,
		},
		"placement": map[string]bool{"share_long_prompts": true}, "cloud": map[string]string{"address": cloud},
	}
	return m
}

// launch starts the process of a machine with the command of the deploy file.
func (s *system) launch(m *machine) error {
	data, err := json.Marshal(m.config)
	if err == nil {
		err = os.WriteFile(m.settings, data, 0o600)
	}
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/borageleadd", m.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BORAGELEAD_CONFIG=" + m.settings}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.command, m.exited = command, exited
	go func() { _ = command.Wait(); close(exited) }()
	// A machine that starts again is not told to bootstrap.
	m.config["bootstrap"] = false
	return nil
}

// killAll kills the processes of all given machines at the same moment and starts them again,
// with their disks, after a time.
func (s *system) killAll(list []*machine, down time.Duration) error {
	names := ""
	for _, m := range list {
		_ = m.command.Process.Signal(syscall.SIGKILL)
		names += " " + m.name
	}
	s.rec.printf("killed at the same moment:%s", names)
	for _, m := range list {
		<-m.exited
	}
	time.Sleep(down)
	for _, m := range list {
		if err := s.launch(m); err != nil {
			return err
		}
	}
	s.rec.printf("started again, with their disks")
	return nil
}

// awaitReady waits until all edge machines count as ready.
func (s *system) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(timeout)
	for _, m := range s.edges {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, readyPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %v", m.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// control calls the control interface of one core machine after the other until one acknowledges.
func (s *system) control(ctx context.Context, method, path string, body []byte) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		m := s.cores[i%len(s.cores)]
		request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path), bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %d: %s", response.StatusCode, text)
		}
		last = err
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s %s not acknowledged: %w", method, path, last)
}

// stop ends all processes and removes the folder.
func (s *system) stop() {
	for _, m := range s.machines() {
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	if s.cloud != nil {
		_ = s.cloud.Close()
	}
	_ = s.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

// answer is what a client got.
type answer struct {
	status int
	seal   string
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	if a.seal != "" {
		return strconv.Itoa(a.status) + " of runner " + a.seal
	}
	return strconv.Itoa(a.status) + " of the system"
}

// client sends requests of one tenant on connections that it keeps.
type client struct {
	http *http.Client
	key  string
}

func newClient(key string) *client {
	return &client{key: key, http: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// send sends one client attempt to an edge machine.
func (c *client) send(m *machine, method, host, path, attempt, body string, deadline time.Duration) answer {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, frontendPort, path), strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		var urlErr interface{ Unwrap() error }
		if errors.As(err, &urlErr) {
			err = urlErr.Unwrap()
		}
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, seal: response.Header.Get("X-Server-Seal"), body: string(text), err: err}
}
