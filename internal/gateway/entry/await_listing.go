package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// maxListingWait is how long the first events of a stream are held back while its endpoint is
	// not listed. An endpoint that wakes announces itself within a heartbeat, at most 1.2 s on
	// the agreed sites, and entries hear of it at once. Callers bear 2 s without an event.
	maxListingWait = 2 * time.Second
	// listingRecheck is the time between two looks at the list of endpoints.
	listingRecheck = 20 * time.Millisecond
)

// awaitIncarnation reports whether a stream that is bound to a software version may go on with the
// events of an endpoint. While the endpoint is not listed, it waits: if the endpoint is
// listed again with the chosen incarnation, that one was running all the time. The first events
// take heldBytes of the memory for events meanwhile; further ones are not read.
func (c *call) awaitIncarnation(ctx context.Context, h *hop, heldBytes int) bool {
	if h.viaPeer() {
		return !h.versionUnknown
	}
	identity := h.choice.Identity(time.Now())
	if identity != pick.Unlisted {
		return identity == pick.ChosenIncarnation
	}
	beyondFree := int64(max(heldBytes-freeBufferBytes, 0))
	if !c.entry.buffers.reserve(beyondFree) {
		return false
	}
	defer c.entry.buffers.used.Add(-beyondFree)
	return c.awaitListing(ctx, h)
}

// awaitListing waits until the endpoint is listed, and reports whether it is the chosen
// incarnation.
func (c *call) awaitListing(ctx context.Context, h *hop) bool {
	e, began := c.entry, time.Now()
	e.log.Info("Stream is held back until its endpoint is listed.", zap.String("request", c.meta.AttemptID), zap.String("endpoint", h.endpoint.ID))
	identity := pick.Unlisted
	for identity == pick.Unlisted && time.Since(began) < maxListingWait && wait.For(ctx, listingRecheck) {
		identity = h.choice.Identity(time.Now())
	}
	known := identity == pick.ChosenIncarnation
	e.log.Info("Stream is no longer held back.", zap.String("request", c.meta.AttemptID), zap.String("endpoint", h.endpoint.ID),
		zap.Bool("known", known), zap.Int64("ms", time.Since(began).Milliseconds()))
	return known
}
