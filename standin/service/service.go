package service

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/standin/announce"
)

const (
	defaultAnnounceInterval = time.Second
	defaultLease            = 5 * time.Second
	defaultSlots            = 64
	// maxBodyBytes limits the size of the body of a call.
	maxBodyBytes = 16 << 20
)

// Fault is a failure that the service simulates for one call.
type Fault int

// Faults of a call.
const (
	NoFault Fault = iota
	// FailBefore refuses the call and marks it as not run with endpoint.HeaderRun.
	FailBefore
	// FailAfter runs the call and answers with status 500.
	FailAfter
	// HangBefore does not run the call and never answers.
	HangBefore
	// HangAfter runs the call and never answers.
	HangAfter
	// CutAfter runs the call and closes the connection without an answer.
	CutAfter
	// CutAnswer runs the call and closes the connection in the middle of the answer.
	CutAnswer
)

// Config configures a service. Zero values of Slots, Listen, AnnounceInterval,
// Lease, Incarnation and Ledger are replaced by defaults.
type Config struct {
	ID            string
	FailureDomain string
	VM            string
	// Service is the service name by which routes refer to the service.
	Service string
	Slots   int
	// Latency is the time that it takes to run a call.
	Latency          time.Duration
	Entries          []string
	Listen           string
	AnnounceInterval time.Duration
	Lease            time.Duration
	Incarnation      uint64
	// Ledger can be shared by several services. If nil, a new one is created.
	Ledger *Ledger
}

// Service is a running stand-in for a plain service.
type Service struct {
	config  Config
	baseURL string
	server  *http.Server
	sender  *announce.Sender
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	faults  []Fault
	state   endpoint.State
	running int
}

// Start opens the listener and starts announcing the service.
func Start(config Config) (*Service, error) {
	orDefault(&config.Listen, "127.0.0.1:0")
	orDefault(&config.Slots, defaultSlots)
	orDefault(&config.AnnounceInterval, defaultAnnounceInterval)
	orDefault(&config.Lease, defaultLease)
	orDefault(&config.Incarnation, uint64(time.Now().UnixNano()))
	if config.Ledger == nil {
		config.Ledger = NewLedger()
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		config: config, baseURL: "http://" + listener.Addr().String(), sender: announce.NewSender(config.Entries),
		ctx: ctx, cancel: cancel, state: endpoint.StateReady,
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	go s.announceLoop()
	return s, nil
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// BaseURL returns the base URL of the service.
func (s *Service) BaseURL() string { return s.baseURL }

// FailureDomain returns the failure domain that the service announces.
func (s *Service) FailureDomain() string { return s.config.FailureDomain }

// Ledger returns the ledger of the calls that were run.
func (s *Service) Ledger() *Ledger { return s.config.Ledger }

// SetFaults sets the faults of the next calls, one for each call. Later calls
// have no fault.
func (s *Service) SetFaults(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Close stops the service at once and closes all connections.
func (s *Service) Close() {
	s.cancel()
	_ = s.server.Close()
}

// ReclaimNotice simulates a reclaim notice: the service announces that it will
// stop after deadline, refuses new calls from now on, and then stops.
func (s *Service) ReclaimNotice(deadline time.Duration) {
	s.mu.Lock()
	s.state = endpoint.StateLeaving
	s.mu.Unlock()
	time.AfterFunc(deadline, s.Close)
	go func() {
		_ = s.sender.Withdraw(s.ctx, &endpoint.Withdrawal{
			ID: s.config.ID, Incarnation: s.config.Incarnation, DeadlineMS: deadline.Milliseconds(), Reason: "reclaim",
		})
	}()
}

// beginCall counts a running call and returns its fault: the next one that
// SetFaults set, or FailBefore if the service is leaving.
func (s *Service) beginCall() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	if s.state != endpoint.StateReady {
		return FailBefore
	}
	if len(s.faults) == 0 {
		return NoFault
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// serve runs a call. It reads the body first, so that the faults that close
// the connection always apply to a request that was received in full.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.Header().Set(endpoint.HeaderRun, notRun)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault := s.beginCall()
	defer s.endCall()
	switch fault {
	case FailBefore:
		w.Header().Set(endpoint.HeaderRun, notRun)
		http.Error(w, "refused before running", http.StatusServiceUnavailable)
		return
	case HangBefore:
		s.hang(r)
	}
	runNumber := s.run(r, body)
	switch fault {
	case FailAfter:
		http.Error(w, "failed after running", http.StatusInternalServerError)
		return
	case HangAfter:
		s.hang(r)
	case CutAfter:
		panic(http.ErrAbortHandler)
	case CutAnswer:
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "{")
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, r, runNumber)
}

// run records the call in the ledger, waits for the configured latency and
// returns the number of the run.
func (s *Service) run(r *http.Request, body []byte) int {
	runNumber := s.config.Ledger.add(Run{
		Method: r.Method, Path: r.URL.RequestURI(), Body: string(body),
		Attempt: r.Header.Get(endpoint.HeaderAttempt), Key: r.Header.Get(endpoint.HeaderKey),
	})
	if s.config.Latency > 0 {
		time.Sleep(s.config.Latency)
	}
	return runNumber
}

// writeAnswer answers with the number of the run. A GET is answered with the
// list of writes to its path.
func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, runNumber int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(endpoint.HeaderAttempt, r.Header.Get(endpoint.HeaderAttempt))
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(s.config.Ledger.writesTo(r.URL.RequestURI()))
		return
	}
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]int{"record": runNumber})
}

// hang waits until the caller disconnects or the service stops, then closes the
// connection.
func (s *Service) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) announceLoop() {
	ticker := time.NewTicker(s.config.AnnounceInterval)
	defer ticker.Stop()
	for seq := uint64(1); ; seq++ {
		a := s.announcement(seq)
		_, _ = s.sender.Announce(s.ctx, &a)
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Service) announcement(seq uint64) endpoint.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return endpoint.Announcement{
		ID: s.config.ID, Incarnation: s.config.Incarnation, BaseURL: s.baseURL, FailureDomain: s.config.FailureDomain,
		Kind: endpoint.KindService, Service: s.config.Service, VM: s.config.VM, State: s.state, Slots: s.config.Slots,
		LeaseMS: s.config.Lease.Milliseconds(), Load: endpoint.Load{Seq: seq, Running: s.running},
	}
}
