package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/attempt"
)

const (
	// kvTimeout bounds the export and import together: a prefill takes about a second.
	kvTimeout = 2 * time.Second
	// transferShare is the part of the notice within which a transfer must be
	// expected to end; the rest is for the import and what was generated since.
	transferShare = 0.4
	// kvBytesPerS is the assumed speed of a transfer between two VMs of a
	// region: 10 Gbit/s, half of it in use.
	kvBytesPerS = 600_000_000
)

// kvSource is the running attempt that a KV cache can come from.
type kvSource struct {
	attempt, endpoint string
}

// transferKV moves the KV cache of a running attempt to the endpoint of the
// next one where that is in time. It returns the
// handle to continue from, or "": then the next attempt prefills.
func (g *generation) transferKV(ctx context.Context, source *kvSource, target *endpointState) string {
	if source == nil {
		return ""
	}
	old := g.service.directory.find(source.endpoint)
	if old == nil || old.crashed.Load() {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, min(kvTimeout, max(old.noticeLeft(time.Now()), time.Millisecond)))
	defer cancel()
	handle, err := g.service.options.Engine.KVExport(ctx, old.baseURL, source.attempt)
	if err != nil || !g.worthTransfer(handle, old, target) {
		return ""
	}
	err = g.service.options.Engine.KVImport(ctx, target.baseURL, endpoint.KVImportRequest{
		SourceURL: old.baseURL, Handle: handle.Handle, Tokens: handle.Tokens, Bytes: handle.Bytes,
	})
	if err != nil {
		g.service.log.Debug("KV cache not transferred.", zap.String("endpoint", target.id), zap.Error(err))
		return ""
	}
	return handle.Handle
}

func (g *generation) worthTransfer(handle endpoint.KVHandle, old, target *endpointState) bool {
	speed, known := g.service.router.Speed(target.id)
	cost := attempt.KVCost{
		Tokens: handle.Tokens, Bytes: handle.Bytes, TransferBytesPerSecond: kvBytesPerS,
		Remaining: old.noticeLeft(time.Now()),
	}
	if known && speed.PrefillS > 0 {
		cost.PrefillTokensPerSecond = 1 / speed.PrefillS
	}
	choice := attempt.ChooseKV(cost)
	// The old attempt goes on during the transfer, so that the caller does not
	// wait for it, and a prefill would take capacity from other requests.
	return choice.Transfer || choice.TransferTime <= time.Duration(transferShare*float64(cost.Remaining))
}
