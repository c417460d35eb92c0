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

// completionsHandler returns the handler of one of the two completion paths.
func (s *Server) completionsHandler(format completionFormat) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		id := s.NewID()
		w.Header().Set(headerRequestID, id)
		accepted, err := s.acceptCompletion(w, r, format)
		if err != nil {
			writeError(w, id, err)
			return
		}
		forwarded := s.forwardIfOverloaded(w, r, accepted.data)
		if forwarded == forwardAnswered {
			return
		}
		accepted.req.MayHaveRun = forwarded == forwardLost
		accepted.req.ID = id
		accepted.req.Arrived = arrived
		reply := newReply(w, format, accepted.body, accepted.req)
		result, err := s.Completer.Complete(r.Context(), accepted.req, reply)
		switch {
		case err == nil:
			reply.finish(result)
		case isMoved(err):
			reply.reportMoved()
		default:
			reply.fail(err)
		}
	}
}

// forwardIfOverloaded forwards a new request to a peer with free capacity when
// this daemon is near its own limit. A request is forwarded at most once.
func (s *Server) forwardIfOverloaded(w http.ResponseWriter, r *http.Request, data []byte) forwardResult {
	if r.Header.Get(HeaderForwarded) != "" {
		return forwardNotSent
	}
	baseURL := s.OverloadPeer()
	if baseURL == "" {
		return forwardNotSent
	}
	return s.forward(w, r, baseURL, data)
}

// acceptedRequest is a valid request: its raw body, its decoded body and the
// entry.Request made from it.
type acceptedRequest struct {
	data []byte
	body *completionRequest
	req  *entry.Request
}

// acceptCompletion authenticates and validates a request and converts it to an
// entry.Request.
func (s *Server) acceptCompletion(w http.ResponseWriter, r *http.Request, format completionFormat) (*acceptedRequest, error) {
	if err := requireMethod(r, http.MethodPost); err != nil {
		return nil, err
	}
	ident, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	data, err := readBody(w, r, ident.doc.Limits)
	if err != nil {
		return nil, err
	}
	body := new(completionRequest)
	if err := json.Unmarshal(data, body); err != nil {
		return nil, invalidRequest("malformed_json", "", "the body is not valid JSON: "+err.Error())
	}
	req, err := ident.entryRequest(r, body, format)
	if err != nil {
		return nil, err
	}
	req.Fingerprint = suspect.NewFingerprint(req.Workspace, data)
	return &acceptedRequest{data: data, body: body, req: req}, nil
}

func (ident identity) entryRequest(r *http.Request, body *completionRequest, format completionFormat) (*entry.Request, error) {
	if body.N != nil && *body.N != 1 {
		return nil, invalidRequest("unsupported_value", "n", "only n = 1 is supported")
	}
	model, err := ident.allowedModel(body.Model)
	if err != nil {
		return nil, err
	}
	prompt, err := format.prompt(body)
	if err != nil {
		return nil, err
	}
	rank, err := ident.resolveRank(r.Header.Get(headerRank))
	if err != nil {
		return nil, err
	}
	req := &entry.Request{
		Workspace:    ident.workspace.Name,
		Caller:       ident.resolveCaller(body.User),
		Rank:         rank,
		RankIndex:    ident.doc.RankIndex(rank),
		Model:        model.Name,
		Version:      model.Version,
		Prompt:       prompt,
		PromptTokens: endpoint.EstimateTokens(prompt),
		Chat:         format == chatFormat{},
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

// allowedModel returns the named model. It returns an error if the model is
// unknown or the workspace may not use it.
func (ident identity) allowedModel(name string) (*conf.Model, error) {
	if name == "" {
		return nil, invalidRequest("missing_model", "model", "a model is required")
	}
	model := ident.doc.Model(name)
	if model == nil || !ident.workspace.AllowsModel(name) {
		return nil, &requestError{status: http.StatusNotFound, kind: "invalid_request_error", code: "model_not_found", param: "model", message: fmt.Sprintf("the model %q does not exist", name)}
	}
	return model, nil
}

// resolveRank returns the rank of a request: from the header if set, else the
// default of the key, else the default of the workspace. It refuses a rank that
// the workspace may not use, so that no caller exceeds its allowance.
func (ident identity) resolveRank(header string) (string, error) {
	rank := ident.workspace.DefaultRank
	if ident.key.DefaultRank != "" {
		rank = ident.key.DefaultRank
	}
	if header != "" {
		rank = header
	}
	if ident.doc.RankIndex(rank) < 0 || !ident.workspace.AllowsRank(rank) {
		return "", &requestError{status: http.StatusForbidden, kind: "invalid_request_error", code: "rank_not_allowed", message: fmt.Sprintf("the workspace may not use rank %q", rank)}
	}
	return rank, nil
}

// resolveCaller returns the caller that a request belongs to: the user that the
// request names, else the caller of the key, else a prefix of the key's hash.
func (ident identity) resolveCaller(user string) string {
	if user != "" {
		return user
	}
	if ident.key.Caller != "" {
		return ident.key.Caller
	}
	return ident.key.SHA256[:12]
}

func setAdapter(req *entry.Request, model *conf.Model, adapter string) error {
	if adapter == "" {
		return nil
	}
	for _, name := range model.Adapters {
		if name == adapter {
			req.Adapter = adapter
			return nil
		}
	}
	return invalidRequest("adapter_not_found", "model", fmt.Sprintf("the model %q has no adapter %q", model.Name, adapter))
}

func setMaxTokens(req *entry.Request, model *conf.Model, body *completionRequest) error {
	req.MaxTokens = model.MaxOutputTokens
	requested := body.MaxCompletionTokens
	if requested == nil {
		requested = body.MaxTokens
	}
	if requested != nil {
		if *requested < 1 {
			return invalidRequest("invalid_value", "max_tokens", "max_tokens must be at least 1")
		}
		req.MaxTokens = min(*requested, model.MaxOutputTokens)
	}
	if req.PromptTokens+req.MaxTokens > model.MaxContextTokens {
		return invalidRequest("context_length_exceeded", "messages", fmt.Sprintf("prompt and answer exceed %d tokens", model.MaxContextTokens))
	}
	return nil
}
