package adminhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/status"
)

const (
	// maxDocumentBytes bounds a document; one with 1,000 workspaces has about 1 MB.
	maxDocumentBytes = 8 << 20
	// maxHistory bounds one answer with the history.
	maxHistory     = 200
	defaultHistory = 20
	// maxIDLength bounds operation IDs and operator names, which the ledger keeps.
	maxIDLength = 128
	// etagDigest is how many digits of the digest an ETag holds.
	etagDigest = 16
)

// etag names a generation. It holds the number, so that a resend after a lost
// answer still says which generation it wanted to replace; comparing with the
// current generation would refuse the resend because of its own success.
func etag(g port.Generation) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%d-%s", g.Number, shortDigest(g.Digest)))
}

func shortDigest(digest string) string { return digest[:min(len(digest), etagDigest)] }

// parseETag returns the number and the short digest of an ETag.
func parseETag(tag string) (uint64, string, error) {
	invalid := fault(http.StatusBadRequest, status.CodeBadRequest, "If-Match must be one ETag as GET %s gives it", status.PathConfig)
	unquoted, err := strconv.Unquote(tag)
	if err != nil {
		return 0, "", invalid
	}
	number, digest, found := strings.Cut(unquoted, "-")
	n, err := strconv.ParseUint(number, 10, 64)
	if !found || err != nil || n == 0 {
		return 0, "", invalid
	}
	return n, digest, nil
}

func view(g port.Generation, document bool) status.Config {
	config := status.Config{Generation: g.Number, ETag: etag(g), Digest: g.Digest, Operator: g.Operator, OperationID: g.OperationID}
	if document {
		config.Document = g.Document
	}
	return config
}

func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) (any, error) {
	current, err := s.options.Ledger.Current(r.Context())
	if err != nil {
		return nil, readFailure(err)
	}
	if current.Number == 0 {
		return nil, fault(http.StatusNotFound, status.CodeNotFound, "no configuration was promoted yet")
	}
	w.Header().Set("ETag", etag(current))
	return view(current, true), nil
}

// readFailure marks a failed read as without effect.
func readFailure(err error) error {
	var noQuorum *port.NoQuorumError
	if errors.As(err, &noQuorum) || errors.Is(err, context.DeadlineExceeded) {
		return &requestError{status: http.StatusServiceUnavailable, detail: noQuorumDetail(false)}
	}
	return err
}

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request) (any, error) {
	request, expectDigest, err := promotion(w, r)
	if err != nil {
		return nil, err
	}
	doc, err := conf.Parse(request.Document)
	if err != nil {
		return nil, err
	}
	if err := s.checkCurrent(r, request, expectDigest, doc); err != nil {
		return nil, err
	}
	generation, err := s.options.Ledger.Promote(r.Context(), request)
	if err != nil {
		return nil, err
	}
	s.log.Info("Configuration promoted.", zap.Uint64("generation", generation.Number),
		zap.String("operator", generation.Operator), zap.String("operation", generation.OperationID))
	w.Header().Set("ETag", etag(generation))
	return view(generation, false), nil
}

// checkCurrent compares with the generation to be replaced, while it is the
// current one. Otherwise the ledger decides: it knows the outcome of an
// operation ID that was sent before.
func (s *Server) checkCurrent(r *http.Request, request port.PromoteRequest, expectDigest string, doc *conf.Document) error {
	current, err := s.options.Ledger.Current(r.Context())
	if err != nil {
		return readFailure(err)
	}
	if current.Number == 0 || current.Number != request.Expect {
		return nil
	}
	if shortDigest(current.Digest) != expectDigest {
		// The number is right by chance: the ETag is of another environment.
		return &port.ConflictError{Expect: request.Expect, Current: current.Number, Operator: current.Operator}
	}
	previous, err := conf.Parse(current.Document)
	if err == nil && previous.Environment != doc.Environment {
		message := fmt.Sprintf("is %q, but this is environment %q", doc.Environment, previous.Environment)
		return &conf.ValidationError{Problems: []conf.Problem{{Path: "$.environment", Message: message}}}
	}
	return nil
}

// promotion reads the headers and the body of a PUT.
func promotion(w http.ResponseWriter, r *http.Request) (port.PromoteRequest, string, error) {
	request := port.PromoteRequest{OperationID: r.Header.Get(status.HeaderOperationID), Operator: operator(r)}
	if request.OperationID == "" || len(request.OperationID) > maxIDLength {
		return request, "", fault(http.StatusBadRequest, status.CodeBadRequest, "the header %s with 1 to %d characters is required", status.HeaderOperationID, maxIDLength)
	}
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	digest := ""
	var err error
	switch {
	case match != "" && none != "":
		err = fault(http.StatusBadRequest, status.CodeBadRequest, "give If-Match or If-None-Match, not both")
	case match != "":
		request.Expect, digest, err = parseETag(match)
	case none == "*":
	default:
		err = fault(http.StatusPreconditionRequired, status.CodePrecondition, "If-Match with the ETag of the generation to replace is required, or If-None-Match: * for the first")
	}
	if err != nil {
		return request, "", err
	}
	request.Document, err = readDocument(w, r)
	return request, digest, err
}

func readDocument(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err == nil {
		return data, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault(http.StatusRequestEntityTooLarge, status.CodeTooLarge, "the document is larger than %d bytes", maxDocumentBytes)
	}
	return nil, fault(http.StatusBadRequest, status.CodeBadRequest, "the document did not arrive in full")
}

// operator returns the name that the operator gives. It is a note for
// colleagues, not a proof: the key is shared.
func operator(r *http.Request) string {
	name := r.Header.Get(status.HeaderOperator)
	if name == "" {
		return "unnamed"
	}
	return name[:min(len(name), maxIDLength)]
}

func (s *Server) history(_ http.ResponseWriter, r *http.Request) (any, error) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return nil, fault(http.StatusBadRequest, status.CodeBadRequest, "limit must be between 1 and %d", maxHistory)
		}
		limit = n
	}
	generations, err := s.options.Ledger.History(r.Context(), limit)
	if err != nil {
		return nil, readFailure(err)
	}
	list := make([]status.Config, 0, len(generations))
	for _, g := range generations {
		list = append(list, view(g, r.URL.Query().Get("documents") == "true"))
	}
	return list, nil
}
