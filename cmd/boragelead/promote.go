package main

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/boragelead/boragelead/internal/adminclient"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/status"
)

const (
	// resendInterval is the pause before a promotion with an unknown outcome is resent. An
	// election takes up to 2 s.
	resendInterval = 500 * time.Millisecond
	// pollInterval is the pause between two status requests while waiting for the daemons.
	pollInterval = 250 * time.Millisecond
)

// promotion holds the flags of config promote.
type promotion struct {
	*remote
	file        string
	operationID string
	etag        string
	first       bool
	wait        bool
}

func registerPromote(a *app, group *flaggy.Subcommand) {
	p := &promotion{}
	sub := a.add(group, "promote", "put a document in force", []string{
		"boragelead config promote production.json --wait",
		"boragelead config promote production.json --first   # no configuration yet",
		"boragelead config promote production.json --operation-id ID --if-match ETAG   # resend",
	}, p.run)
	sub.AddPositionalValue(&p.file, "file", 1, true, "operators' document")
	sub.Bool(&p.wait, "w", "wait", "wait until all daemons have the generation")
	sub.Bool(&p.first, "", "first", "promote the first configuration")
	sub.String(&p.operationID, "", "operation-id", "ID of an earlier attempt whose answer was lost")
	sub.String(&p.etag, "", "if-match", "ETag of the generation to replace; without it the current one is replaced")
	p.remote = a.remoteFlags(sub)
}

// promoteResult is the JSON output of the command.
type promoteResult struct {
	status.Config
	Daemons []status.Daemon `json:"daemons,omitempty"`
}

func (p *promotion) run(ctx context.Context) error {
	if err := p.checkFlags(); err != nil {
		return err
	}
	data, _, err := readDocument(p.file)
	if err != nil {
		return err
	}
	outcome := promoteResult{}
	err = p.call(ctx, func(ctx context.Context, client *adminclient.Client) error {
		request, err := p.request(ctx, client, data)
		if err != nil {
			return err
		}
		p.app.note("operation ID %s, replaces %s", request.OperationID, describeETag(request.ETag))
		outcome.Config, err = p.send(ctx, client, request)
		if err != nil {
			return err
		}
		if !p.json {
			p.app.printf("generation %d is promoted\n", outcome.Generation)
		}
		if p.wait {
			outcome.Daemons, err = p.waitForGeneration(ctx, client, outcome.Generation)
		}
		return err
	})
	if p.json && outcome.Generation > 0 {
		return errors.Join(err, p.app.printJSON(outcome))
	}
	return err
}

func (p *promotion) checkFlags() error {
	if p.first && p.etag != "" {
		return &usageError{message: "give --first or --if-match, not both"}
	}
	if p.operationID != "" && p.etag == "" && !p.first {
		return &usageError{message: "a resend needs the --if-match (or --first) of the first attempt as well"}
	}
	return nil
}

// request returns the promotion with its operation ID and the ETag of the generation
// that it replaces.
func (p *promotion) request(ctx context.Context, client *adminclient.Client, data []byte) (adminclient.Promotion, error) {
	request := adminclient.Promotion{Document: data, OperationID: p.operationID, ETag: quoteETag(p.etag)}
	if request.OperationID == "" {
		request.OperationID = uuid.NewString()
	}
	if p.first || p.etag != "" {
		return request, nil
	}
	current, err := client.Config(ctx)
	var apiErr *adminclient.Error
	if errors.As(err, &apiErr) && apiErr.Detail.Code == status.CodeNotFound {
		return request, &usageError{message: "there is no configuration yet; give --first"}
	}
	if err != nil {
		return request, err
	}
	p.showChanges(current.Document, data)
	request.ETag = current.ETag
	return request, nil
}

func (p *promotion) showChanges(before, after []byte) {
	if p.json {
		return
	}
	old, err := conf.Parse(before)
	if err != nil {
		// A different version of the program promoted the document. Continue without a diff.
		return
	}
	if doc, err := conf.Parse(after); err == nil {
		p.app.printChanges(conf.Diff(old, doc))
	}
}

// quoteETag restores the quotes of an ETag that a shell removed.
func quoteETag(tag string) string {
	if tag == "" || strings.HasPrefix(tag, `"`) {
		return tag
	}
	return `"` + tag + `"`
}

func describeETag(tag string) string {
	if tag == "" {
		return "nothing (first configuration)"
	}
	return "ETag " + strings.Trim(tag, `"`)
}

// send sends the promotion. While the outcome is unknown, it resends with the same
// operation ID. This is safe, because an operation takes effect at most once. If the time
// limit ends a resend, the error is that of the attempt before, which tells more.
func (p *promotion) send(ctx context.Context, client *adminclient.Client, request adminclient.Promotion) (status.Config, error) {
	unknown := false
	var lastErr error
	for {
		config, err := client.Promote(ctx, request)
		if err != nil && lastErr != nil && ctx.Err() != nil {
			err = lastErr
		}
		lastErr = err
		unknown = outcomeUnknown(err) || unknown && undecided(err)
		if !unknown {
			return config, err
		}
		select {
		case <-ctx.Done():
			p.app.note("the outcome is unknown; resend with %s", resendFlags(request))
			return config, err
		case <-time.After(resendInterval):
			p.app.note("the outcome is unknown (%v); resending with the same operation ID", err)
		}
	}
}

func resendFlags(request adminclient.Promotion) string {
	flags := "--operation-id " + request.OperationID
	if request.ETag == "" {
		return flags + " --first"
	}
	return flags + " --if-match " + strings.Trim(request.ETag, `"`)
}

// outcomeUnknown reports whether a promotion may have taken effect although its response
// did not arrive. A failed dial proves that nothing was sent.
func outcomeUnknown(err error) bool {
	var unreachable *adminclient.UnreachableError
	if errors.As(err, &unreachable) {
		var network *net.OpError
		return !errors.As(err, &network) || network.Op != "dial"
	}
	var apiErr *adminclient.Error
	return errors.As(err, &apiErr) && apiErr.Detail.MayTakeEffect != nil && *apiErr.Detail.MayTakeEffect
}

// decidingCodes are those of the answers with which the replicated state settles a promotion.
var decidingCodes = []status.ErrorCode{status.CodeConflict, status.CodePrecondition, status.CodeOperationReused, status.CodeInvalidDocument}

// undecided reports whether an attempt ended without a decision of the replicated state, for
// example at a proxy. Such an attempt does not settle the outcome of an earlier one.
func undecided(err error) bool {
	if err == nil {
		return false
	}
	var apiErr *adminclient.Error
	return !errors.As(err, &apiErr) || !slices.Contains(decidingCodes, apiErr.Detail.Code)
}

// waitForGeneration returns when all daemons have the generation. If the context ends
// first, it returns a promotionPendingError.
func (p *promotion) waitForGeneration(ctx context.Context, client *adminclient.Client, generation uint64) ([]status.Daemon, error) {
	started := time.Now()
	var daemons []status.Daemon
	pending := &promotionPendingError{generation: generation}
	for {
		view, err := client.Status(ctx)
		var apiErr *adminclient.Error
		if errors.As(err, &apiErr) {
			// The daemon responds but cannot report the status. Waiting would not help.
			return daemons, err
		}
		if err == nil {
			daemons = view.Daemons
			pending = pendingDaemons(daemons, generation)
			if len(pending.behind)+len(pending.silent) == 0 {
				if !p.json {
					p.app.printf("in force on all %d daemons after %.1f s\n", len(daemons), time.Since(started).Seconds())
				}
				return daemons, nil
			}
			p.setProgress(pending.Error())
		}
		select {
		case <-ctx.Done():
			return daemons, pending
		case <-time.After(pollInterval):
		}
	}
}

// pendingDaemons returns the daemons that do not have the generation yet.
func pendingDaemons(daemons []status.Daemon, generation uint64) *promotionPendingError {
	pending := &promotionPendingError{generation: generation}
	for _, d := range daemons {
		switch {
		case d.Generation >= generation:
		case d.State == status.Silent:
			pending.silent = append(pending.silent, d.Name)
		default:
			pending.behind = append(pending.behind, d.Name)
		}
	}
	return pending
}
