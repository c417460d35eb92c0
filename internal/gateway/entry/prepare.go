package entry

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/inlet"
)

const (
	// defaultMaxBody limits request bodies if the document sets no limit, in bytes.
	defaultMaxBody = 4 << 20
)

// prepare matches the route, authorizes the caller, reads the body and charges
// the quota. The error is a *Refusal.
func (c *call) prepare() error {
	e := c.entry
	c.active = e.active.Load()
	if c.active == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNotReady, RetryAfter: defaultRetryAfter}
	}
	table := c.active.table
	c.route = table.Match(c.r.Host, rawPath(c.r))
	if c.route == nil {
		return &Refusal{Status: http.StatusNotFound, Reason: ReasonNoRoute}
	}
	c.deadline = c.receivedAt.Add(c.route.Timeout)
	if c.meta.Deadline > 0 {
		c.deadline = c.receivedAt.Add(min(c.route.Timeout, c.meta.Deadline))
	}
	c.priority = c.route.Priority
	workspace, err := c.authorize(table)
	if err != nil {
		return err
	}
	if err := e.load.admit(c); err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.fingerprint = suspect.NewFingerprint(c.workspace, []byte(c.r.Method), []byte(c.r.RequestURI), c.body.Data())
	c.service = table.Service(c.route.Pick(rand.Float64()))
	c.parts = c.suspectParts()
	return c.chargeQuota(workspace)
}

// rawPath returns the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func (c *call) authorize(table *rules.Table) (*rules.Workspace, error) {
	if !table.RequiresKey() {
		return nil, nil
	}
	workspace := table.WorkspaceOf(c.meta.Key)
	if workspace == nil {
		if c.route.Anonymous {
			return nil, nil
		}
		return nil, &Refusal{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
	}
	c.workspace = workspace.Name
	if workspace.Priority != nil {
		c.priority = *workspace.Priority
	}
	return workspace, nil
}

func (c *call) readBody() error {
	limit := c.active.table.Document.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.r.ContentLength > limit {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge}
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(c.w)
	_ = controller.SetReadDeadline(c.deadline)
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	reader := http.MaxBytesReader(c.w, c.r.Body, limit)
	err := c.body.Read(reader, c.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, inlet.ErrFull):
		// The rest is read and dropped: closing a connection with unread bytes resets it, and
		// the caller might lose the answer.
		_, _ = io.Copy(io.Discard, reader)
		return &Refusal{Status: statusNotRun, Reason: ReasonOverload, RetryAfter: c.retryAfter(defaultRetryAfter), Err: err}
	case errors.As(err, &tooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge, Err: err}
	}
	return &Refusal{Status: http.StatusRequestTimeout, Reason: ReasonUnreadable, Err: err}
}

// chargeQuota charges the request to the quota of the workspace.
func (c *call) chargeQuota(w *rules.Workspace) error {
	if w == nil {
		return nil
	}
	cost := 1.0
	if w.CountTokens {
		cost = float64(w.DefaultTokens)
		if c.meta.HasTokenCounts {
			cost = float64(c.meta.PromptTokens + c.meta.MaxOutputTokens)
		}
	}
	source, denied := c.entry.takeQuota(c.r.Context(), w.Name, cost)
	if denied != nil {
		return &Refusal{Status: http.StatusTooManyRequests, Reason: ReasonQuota, RetryAfter: c.retryAfter(denied.Wait), Err: denied}
	}
	c.charge = quotaCharge{source: source, cost: cost}
	c.entry.metrics.countQuota(source, cost)
	return nil
}
