package callerhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/entry"
)

// completions serves one of the two completion paths.
func (s *Server) completions(style style) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		id := s.NewID()
		w.Header().Set(headerRequestID, id)
		accepted, err := s.accept(w, r, style)
		if err != nil {
			writeError(w, id, err)
			return
		}
		if s.passOn(w, r, accepted.data) {
			return
		}
		accepted.req.ID = id
		accepted.req.Arrived = arrived
		reply := newReply(w, style, accepted.body, accepted.req)
		result, err := s.Completer.Complete(r.Context(), accepted.req, reply)
		switch {
		case err == nil:
			reply.finish(result)
		case isMoved(err):
			reply.moved()
		default:
			reply.fail(err)
		}
	}
}

// passOn hands a new request to a peer with room, when this daemon is near its
// own limit. A request is passed on once at most.
func (s *Server) passOn(w http.ResponseWriter, r *http.Request, data []byte) bool {
	if r.Header.Get(HeaderForwarded) != "" {
		return false
	}
	base := s.OverloadPeer()
	return base != "" && s.forward(w, r, base, data)
}

// acceptedRequest is a checked request in the forms of the caller and of the pipeline.
type acceptedRequest struct {
	data []byte
	body *completionRequest
	req  *entry.Request
}

// accept checks a request and turns it into the form of the pipeline.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, style style) (*acceptedRequest, error) {
	if err := requireMethod(r, http.MethodPost); err != nil {
		return nil, err
	}
	who, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	data, err := readBody(w, r, who.doc.Limits)
	if err != nil {
		return nil, err
	}
	body := new(completionRequest)
	if err := json.Unmarshal(data, body); err != nil {
		return nil, invalid("malformed_json", "", "the body is not valid JSON: "+err.Error())
	}
	req, err := who.request(r, body, style)
	if err != nil {
		return nil, err
	}
	req.Fingerprint = suspect.NewFingerprint(req.Workspace, data)
	return &acceptedRequest{data: data, body: body, req: req}, nil
}

func (who identity) request(r *http.Request, body *completionRequest, style style) (*entry.Request, error) {
	if body.N != nil && *body.N != 1 {
		return nil, invalid("unsupported_value", "n", "only n = 1 is supported")
	}
	model, err := who.model(body.Model)
	if err != nil {
		return nil, err
	}
	prompt, err := style.prompt(body)
	if err != nil {
		return nil, err
	}
	rank, err := who.rank(r.Header.Get(headerRank))
	if err != nil {
		return nil, err
	}
	req := &entry.Request{
		Workspace:    who.workspace.Name,
		Caller:       who.caller(body.User),
		Rank:         rank,
		RankIndex:    who.doc.RankIndex(rank),
		Model:        model.Name,
		Version:      model.Version,
		Prompt:       prompt,
		PromptTokens: endpoint.EstimateTokens(prompt),
		Chat:         style == chatStyle{},
		Resumable:    r.Header.Get(headerResumable) != "",
		Stop:         body.Stop,
		Temperature:  body.Temperature,
		TopP:         body.TopP,
		Seed:         body.Seed,
	}
	if err := setAdapter(req, model, r.Header.Get(headerAdapter)); err != nil {
		return nil, err
	}
	return req, setMaxTokens(req, model, body)
}

// model finds a model that the workspace may use.
func (who identity) model(name string) (*conf.Model, error) {
	if name == "" {
		return nil, invalid("missing_model", "model", "a model is required")
	}
	model := who.doc.Model(name)
	if model == nil || !who.workspace.AllowsModel(name) {
		return nil, &requestError{status: http.StatusNotFound, kind: "invalid_request_error", code: "model_not_found", param: "model", message: fmt.Sprintf("the model %q does not exist", name)}
	}
	return model, nil
}

// rank resolves the rank: header, then key, then workspace. A rank that the
// workspace may not use is refused, so that no caller gets above its allowance.
func (who identity) rank(header string) (string, error) {
	rank := who.workspace.DefaultRank
	if who.key.DefaultRank != "" {
		rank = who.key.DefaultRank
	}
	if header != "" {
		rank = header
	}
	if who.doc.RankIndex(rank) < 0 || !who.workspace.AllowsRank(rank) {
		return "", &requestError{status: http.StatusForbidden, kind: "invalid_request_error", code: "rank_not_allowed", message: fmt.Sprintf("the workspace may not use rank %q", rank)}
	}
	return rank, nil
}

func (who identity) caller(user string) string {
	if user != "" {
		return user
	}
	if who.key.Caller != "" {
		return who.key.Caller
	}
	return who.key.SHA256[:12]
}

func setAdapter(req *entry.Request, model *conf.Model, adapter string) error {
	if adapter == "" {
		return nil
	}
	for _, known := range model.Adapters {
		if known == adapter {
			req.Adapter = adapter
			return nil
		}
	}
	return invalid("adapter_not_found", "model", fmt.Sprintf("the model %q has no adapter %q", model.Name, adapter))
}

func setMaxTokens(req *entry.Request, model *conf.Model, body *completionRequest) error {
	req.MaxTokens = model.MaxOutputTokens
	wanted := body.MaxCompletionTokens
	if wanted == nil {
		wanted = body.MaxTokens
	}
	if wanted != nil {
		if *wanted < 1 {
			return invalid("invalid_value", "max_tokens", "max_tokens must be at least 1")
		}
		req.MaxTokens = min(*wanted, model.MaxOutputTokens)
	}
	if req.PromptTokens+req.MaxTokens > model.MaxContextTokens {
		return invalid("context_length_exceeded", "messages", fmt.Sprintf("prompt and answer exceed %d tokens", model.MaxContextTokens))
	}
	return nil
}
