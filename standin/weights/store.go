// Package weights is a stand-in for the weight store: downloads share one
// rate limit. A real byte stands for many bytes of weights, so that loading a
// model of many gigabytes costs time but no work.
package weights

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/boragelead/boragelead/api/weights"
)

const (
	// chunksPerSecond is how often a download asks the rate limit for more.
	chunksPerSecond = 100
	// bytesPerSent is the number of bytes of weights that a sent byte stands for.
	bytesPerSent = 1 << 20
)

// Config describes a store.
type Config struct {
	// RateBytesPerS is shared by all downloads.
	RateBytesPerS int64
	// TimeScale multiplies durations; 0.1 runs ten times faster. 0 means 1.
	TimeScale float64
	Listen    string
}

// Store is a running weight store.
type Store struct {
	config  Config
	limiter *rate.Limiter
	chunk   int64
	server  *http.Server
	baseURL string

	mu      sync.Mutex
	objects map[string]int64
	streams int
	pending int64
	served  int64
}

// Start opens the listener.
func Start(config Config) (*Store, error) {
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	if config.TimeScale == 0 {
		config.TimeScale = 1
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	scaled := float64(config.RateBytesPerS) / config.TimeScale
	chunk := max(int64(scaled/chunksPerSecond), 1)
	s := &Store{
		config: config, limiter: rate.NewLimiter(rate.Limit(scaled), int(chunk)), chunk: chunk,
		baseURL: "http://" + listener.Addr().String(), objects: make(map[string]int64),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+weights.PathObjects+"/{name...}", s.serveObject)
	mux.HandleFunc("GET "+weights.PathStatus, s.serveStatus)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// BaseURL returns the address of the store.
func (s *Store) BaseURL() string { return s.baseURL }

// Close stops the store and its downloads.
func (s *Store) Close() { _ = s.server.Close() }

// Put stores weights of a size.
func (s *Store) Put(name string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = bytes
}

// ServedBytes returns what was downloaded so far.
func (s *Store) ServedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

func (s *Store) serveObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	size, found := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	sent := (size + bytesPerSent - 1) / bytesPerSent
	w.Header().Set(weights.HeaderBytes, strconv.FormatInt(size, 10))
	w.Header().Set("Content-Length", strconv.FormatInt(sent, 10))
	if r.Method == http.MethodHead {
		return
	}
	s.send(w, r, size, sent)
}

// send writes an object at the pace of the rate limit.
func (s *Store) send(w http.ResponseWriter, r *http.Request, size, sent int64) {
	s.count(1, size, 0)
	left := size
	defer func() { s.count(-1, -left, 0) }()
	written := int64(0)
	for left > 0 {
		part := min(left, s.chunk)
		if s.limiter.WaitN(r.Context(), int(part)) != nil {
			return
		}
		left -= part
		s.count(0, -part, part)
		due := sent * (size - left) / size
		if _, err := w.Write(make([]byte, due-written)); err != nil {
			return
		}
		written = due
	}
}

func (s *Store) count(streams int, pending, served int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams += streams
	s.pending += pending
	s.served += served
}

func (s *Store) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(weights.Status{RateBytesPerS: s.config.RateBytesPerS, Streams: s.streams, PendingBytes: s.pending})
}
