// Package weights is a stand-in for the weight store. All downloads share one
// rate limit. Each byte sent represents 1 MiB of weights, so that loading a
// model of many gigabytes takes time but hardly any CPU or network traffic.
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
	// chunksPerSecond sets the chunk size. A download requests one chunk at a
	// time from the rate limiter, which grants this many chunks per second.
	chunksPerSecond = 100
	// weightBytesPerBodyByte is the number of bytes of weights that one byte of
	// a response body represents.
	weightBytesPerBodyByte = 1 << 20
)

// Config configures a store. An empty Listen picks a free loopback port.
type Config struct {
	// RateBytesPerS is the rate limit that all downloads share, in bytes of
	// weights per second.
	RateBytesPerS int64
	// TimeScale multiplies the duration of downloads: 0.1 makes them ten times
	// faster. 0 means 1.
	TimeScale float64
	Listen    string
}

// Store is a running weight store.
type Store struct {
	config     Config
	limiter    *rate.Limiter
	chunkBytes int64
	server     *http.Server
	baseURL    string

	mu        sync.Mutex
	objects   map[string]int64
	downloads int
	pending   int64
	served    int64
}

// Start opens the listener and serves the weight store in the background.
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
	scaledRate := float64(config.RateBytesPerS) / config.TimeScale
	chunkBytes := max(int64(scaledRate/chunksPerSecond), 1)
	s := &Store{
		config: config, limiter: rate.NewLimiter(rate.Limit(scaledRate), int(chunkBytes)), chunkBytes: chunkBytes,
		baseURL: "http://" + listener.Addr().String(), objects: make(map[string]int64),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+weights.PathObjects+"/{name...}", s.serveObject)
	mux.HandleFunc("GET "+weights.PathStatus, s.serveStatus)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// BaseURL returns the base URL of the store.
func (s *Store) BaseURL() string { return s.baseURL }

// Close stops the store and aborts its downloads.
func (s *Store) Close() { _ = s.server.Close() }

// Put adds an object of the given size. It replaces an object of the same name.
func (s *Store) Put(name string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = bytes
}

// ServedBytes returns the number of bytes of weights downloaded so far.
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
	bodyBytes := bodyBytesOf(size)
	w.Header().Set(weights.HeaderBytes, strconv.FormatInt(size, 10))
	w.Header().Set("Content-Length", strconv.FormatInt(bodyBytes, 10))
	if r.Method == http.MethodHead {
		return
	}
	s.send(w, r, size, bodyBytes)
}

// bodyBytesOf returns the length of the body that represents an object of the given size.
func bodyBytesOf(size int64) int64 {
	return (size + weightBytesPerBodyByte - 1) / weightBytesPerBodyByte
}

// send writes bodyBytes bytes that represent an object of size bytes, at the
// rate that the limiter allows.
func (s *Store) send(w http.ResponseWriter, r *http.Request, size, bodyBytes int64) {
	s.updateCounters(1, size, 0)
	remaining := size
	defer func() { s.updateCounters(-1, -remaining, 0) }()
	written := int64(0)
	for remaining > 0 {
		part := min(remaining, s.chunkBytes)
		if s.limiter.WaitN(r.Context(), int(part)) != nil {
			return
		}
		remaining -= part
		s.updateCounters(0, -part, part)
		target := bodyBytes * (size - remaining) / size
		if _, err := w.Write(make([]byte, target-written)); err != nil {
			return
		}
		written = target
	}
}

func (s *Store) updateCounters(downloads int, pending, served int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downloads += downloads
	s.pending += pending
	s.served += served
}

func (s *Store) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(weights.Status{RateBytesPerS: s.config.RateBytesPerS, Streams: s.downloads, PendingBytes: s.pending})
}
