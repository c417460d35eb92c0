package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Config describes one engine.
type Config struct {
	ID            string
	FailureDomain string
	Class         string
	Models        []endpoint.LoadedModel
	Slots         int
	// TokenInterval is the time between tokens of one generation.
	TokenInterval time.Duration
	// Entries lists base URLs of daemons to announce to.
	Entries []string
	// Listen is an IP:port; port 0 picks a free one.
	Listen string
}

const (
	announceInterval = time.Second
	lease            = 5 * time.Second
)

// Engine is a running stand-in.
type Engine struct {
	config   Config
	baseURL  string
	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	epoch    uint64
}

// Start opens the listener and begins to announce the engine.
func Start(config Config) (*Engine, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		config:   config,
		baseURL:  "http://" + listener.Addr().String(),
		listener: listener,
		cancel:   cancel,
		epoch:    uint64(time.Now().UnixNano()),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+endpoint.PathGenerate, e.generate)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	go e.announceLoop(ctx)
	return e, nil
}

// Close stops the engine at once.
func (e *Engine) Close() {
	e.cancel()
	_ = e.server.Close()
}

// BaseURL returns the address of the engine.
func (e *Engine) BaseURL() string { return e.baseURL }

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req endpoint.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(endpoint.ErrorBody{Code: endpoint.CodeBadRequest, Message: err.Error(), Run: endpoint.NotRun})
		return
	}
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	seed := Seed(req.Model, req.Adapter, req.Prompt)
	ticker := time.NewTicker(e.config.TokenInterval)
	defer ticker.Stop()
	for i := req.EmittedTokens; i < req.MaxTokens; i++ {
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
		frame := endpoint.Frame{AttemptID: req.AttemptID, Type: endpoint.FrameTokens, Offset: i, Count: 1, Text: Token(seed, i)}
		if encoder.Encode(frame) != nil || control.Flush() != nil {
			return
		}
	}
	_ = encoder.Encode(endpoint.Frame{
		AttemptID: req.AttemptID, Type: endpoint.FrameDone, Offset: req.MaxTokens, FinishReason: "length",
		Usage: &endpoint.Usage{PromptTokens: endpoint.EstimateTokens(req.Prompt), GeneratedTokens: req.MaxTokens - req.EmittedTokens},
	})
}

func (e *Engine) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		e.announce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) announce(ctx context.Context) {
	data, _ := json.Marshal(endpoint.Announcement{
		ID: e.config.ID, Incarnation: e.epoch, BaseURL: e.baseURL, FailureDomain: e.config.FailureDomain,
		Kind: endpoint.KindEngine, Class: e.config.Class, Role: endpoint.RoleBoth, Models: e.config.Models,
		State: endpoint.StateReady, Slots: e.config.Slots, LeaseMS: lease.Milliseconds(),
	})
	for _, entry := range e.config.Entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+endpoint.PathAnnounce, bytes.NewReader(data))
		if err != nil {
			continue
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
}
