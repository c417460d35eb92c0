package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/attempt"
)

const (
	// kvTimeout limits the export and import together: a prefill takes about a
	// second.
	kvTimeout = 2 * time.Second
	// transferShare is the share of the notice within which a transfer must be
	// expected to finish. The rest is left for the import and for the tokens
	// generated in the meantime.
	transferShare = 0.4
	// kvBytesPerS is the assumed transfer speed between two VMs of a region:
	// about half of a 10 Gbit/s link.
	kvBytesPerS = 600_000_000
)

// kvSource identifies a running attempt whose KV cache can be exported.
type kvSource struct {
	attempt, endpoint string
}

// transferKV moves the KV cache of a running attempt to the endpoint of the
// next attempt if the transfer can finish in time. It returns the handle to
// continue from, or "" if the next attempt must prefill.
func (g *generation) transferKV(ctx context.Context, source *kvSource, target *endpointState) string {
	if source == nil {
		return ""
	}
	old := g.service.directory.find(source.endpoint)
	if old == nil || old.crashed.Load() {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, min(kvTimeout, max(old.remainingNotice(time.Now()), time.Millisecond)))
	defer cancel()
	handle, err := g.service.options.Engine.KVExport(ctx, old.baseURL, source.attempt)
	if err != nil || !g.worthTransfer(handle, old, target) {
		return ""
	}
	err = g.service.options.Engine.KVImport(ctx, target.baseURL, endpoint.KVImportRequest{
		SourceURL: old.baseURL, Handle: handle.Handle, Tokens: handle.Tokens, Bytes: handle.Bytes,
	})
	if err != nil {
		g.service.log.Debug("KV cache could not be transferred; the attempt prefills instead.", zap.String("endpoint", target.id), zap.Error(err))
		return ""
	}
	return handle.Handle
}

// worthTransfer reports whether a transfer is cheaper than a new prefill, or
// short enough compared with the remaining notice.
func (g *generation) worthTransfer(handle endpoint.KVHandle, old, target *endpointState) bool {
	speed, known := g.service.router.Speed(target.id)
	cost := attempt.KVCost{
		Tokens: handle.Tokens, Bytes: handle.Bytes, TransferBytesPerSecond: kvBytesPerS,
		Remaining: old.remainingNotice(time.Now()),
	}
	if known && speed.PrefillS > 0 {
		cost.PrefillTokensPerSecond = 1 / speed.PrefillS
	}
	choice := attempt.ChooseKV(cost)
	// The old attempt continues during the transfer, so the caller does not
	// wait for it, while a prefill would take capacity from other requests.
	return choice.Transfer || choice.TransferTime <= time.Duration(transferShare*float64(cost.Remaining))
}
