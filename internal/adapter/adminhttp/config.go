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
	"github.com/boragelead/boragelead/internal/inlet"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/status"
)

const (
	// maxDocumentBytes limits the size of a document. A document with 1,000
	// workspaces has about 1 MB.
	maxDocumentBytes = 8 << 20
	// maxHistory limits the number of generations in one response.
	maxHistory     = 200
	defaultHistory = 20
	// maxIDLength limits operation IDs and operator names, which the ledger stores.
	maxIDLength = 128
	// etagDigestDigits is the number of digits of the digest in an ETag.
	etagDigestDigits = 16
)

// etag returns the ETag of a generation. It contains the number, so that a
// request that is resent after a lost response still identifies the generation
// to replace. Comparing it with the current generation only would reject the
// resent request because the first one had succeeded.
func etag(g port.Generation) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%d-%s", g.Number, shortDigest(g.Digest)))
}

func shortDigest(digest string) string { return digest[:min(len(digest), etagDigestDigits)] }

// parseETag returns the number and the short digest of an ETag.
func parseETag(tag string) (uint64, string, error) {
	errInvalid := newRequestError(http.StatusBadRequest, status.CodeBadRequest, "If-Match must be one ETag as GET %s gives it", status.PathConfig)
	unquoted, err := strconv.Unquote(tag)
	if err != nil {
		return 0, "", errInvalid
	}
	number, digest, found := strings.Cut(unquoted, "-")
	n, err := strconv.ParseUint(number, 10, 64)
	if !found || err != nil || n == 0 {
		return 0, "", errInvalid
	}
	return n, digest, nil
}

func newStatusConfig(g port.Generation, withDocument bool) status.Config {
	config := status.Config{Generation: g.Number, ETag: etag(g), Digest: g.Digest, Operator: g.Operator, OperationID: g.OperationID}
	if withDocument {
		config.Document = g.Document
	}
	return config
}

func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) (any, error) {
	current, err := s.options.Ledger.Current(r.Context())
	if err != nil {
		return nil, readError(err)
	}
	if current.Number == 0 {
		return nil, newRequestError(http.StatusNotFound, status.CodeNotFound, "no configuration was promoted yet")
	}
	w.Header().Set("ETag", etag(current))
	return newStatusConfig(current, true), nil
}

// readError returns the error of a failed read. If the ledger did not answer, the
// error says that the request had no effect.
func readError(err error) error {
	var noQuorum *port.NoQuorumError
	if errors.As(err, &noQuorum) || errors.Is(err, context.DeadlineExceeded) {
		return &requestError{status: http.StatusServiceUnavailable, detail: noQuorumDetail(false)}
	}
	return err
}

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request) (any, error) {
	request, expectDigest, err := parsePromotion(w, r)
	if err != nil {
		return nil, err
	}
	doc, err := conf.Parse(request.Document)
	if err != nil {
		return nil, err
	}
	if err := s.checkAgainstCurrent(r, request, expectDigest, doc); err != nil {
		return nil, err
	}
	generation, err := s.options.Ledger.Promote(r.Context(), request)
	if err != nil {
		return nil, err
	}
	s.log.Info("Configuration promoted.", zap.Uint64("generation", generation.Number),
		zap.String("operator", generation.Operator), zap.String("operation", generation.OperationID))
	w.Header().Set("ETag", etag(generation))
	return newStatusConfig(generation, false), nil
}

// checkAgainstCurrent compares the request with the generation to replace if that
// is still the current one. If it is not, the ledger decides, because it knows
// the outcome of an operation ID that was sent before.
func (s *Server) checkAgainstCurrent(r *http.Request, request port.PromoteRequest, expectDigest string, doc *conf.Document) error {
	current, err := s.options.Ledger.Current(r.Context())
	if err != nil {
		return readError(err)
	}
	if current.Number == 0 || current.Number != request.Expect {
		return nil
	}
	if shortDigest(current.Digest) != expectDigest {
		// The numbers are equal by coincidence: the ETag belongs to another environment.
		return &port.ConflictError{Expect: request.Expect, Current: current.Number, Operator: current.Operator}
	}
	previous, err := conf.Parse(current.Document)
	if err == nil && previous.Environment != doc.Environment {
		message := fmt.Sprintf("is %q, but this is environment %q", doc.Environment, previous.Environment)
		return &conf.ValidationError{Problems: []conf.Problem{{Path: "$.environment", Message: message}}}
	}
	return nil
}

// parsePromotion reads a promotion from the headers and the body of a PUT. It
// also returns the short digest of the generation to replace.
func parsePromotion(w http.ResponseWriter, r *http.Request) (port.PromoteRequest, string, error) {
	request := port.PromoteRequest{OperationID: r.Header.Get(status.HeaderOperationID), Operator: operatorName(r)}
	if request.OperationID == "" || len(request.OperationID) > maxIDLength {
		return request, "", newRequestError(http.StatusBadRequest, status.CodeBadRequest, "the header %s with 1 to %d characters is required", status.HeaderOperationID, maxIDLength)
	}
	ifMatch, ifNoneMatch := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	digest := ""
	var err error
	switch {
	case ifMatch != "" && ifNoneMatch != "":
		err = newRequestError(http.StatusBadRequest, status.CodeBadRequest, "give If-Match or If-None-Match, not both")
	case ifMatch != "":
		request.Expect, digest, err = parseETag(ifMatch)
	case ifNoneMatch == "*":
	default:
		err = newRequestError(http.StatusPreconditionRequired, status.CodePrecondition, "If-Match with the ETag of the generation to replace is required, or If-None-Match: * for the first")
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
		return nil, newRequestError(http.StatusRequestEntityTooLarge, status.CodeTooLarge, "the document is larger than %d bytes", maxDocumentBytes)
	}
	if errors.Is(err, inlet.ErrFull) {
		return nil, newRequestError(http.StatusServiceUnavailable, status.CodeUnavailable, "too many bytes of requests are in memory; the document was not promoted")
	}
	return nil, newRequestError(http.StatusBadRequest, status.CodeBadRequest, "the document did not arrive in full")
}

// operatorName returns the name that the operator gives in a header. It is
// information for other operators and not authenticated, because all operators
// share one key.
func operatorName(r *http.Request) string {
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
			return nil, newRequestError(http.StatusBadRequest, status.CodeBadRequest, "limit must be between 1 and %d", maxHistory)
		}
		limit = n
	}
	generations, err := s.options.Ledger.History(r.Context(), limit)
	if err != nil {
		return nil, readError(err)
	}
	list := make([]status.Config, 0, len(generations))
	for _, g := range generations {
		list = append(list, newStatusConfig(g, r.URL.Query().Get("documents") == "true"))
	}
	return list, nil
}
