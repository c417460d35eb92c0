package entry

import (
	"time"

	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
)

// hop is what an attempt is sent to: an endpoint, or a peer entry that chooses the endpoint.
type hop struct {
	// choice is the chosen endpoint, or the chosen peer.
	choice *pick.Choice
	// peerKey is the secret of the peer; empty if the attempt is sent to an endpoint.
	peerKey string
	// endpoint is the endpoint that runs the request. That of a peer is known once the peer
	// answers.
	endpoint registry.Endpoint
	// versionUnknown is set if the peer does not know the software version of the endpoint.
	versionUnknown bool
	// side is that which a roll-out selected, and exposure the charge for it.
	side     rollout.Side
	exposure *rollout.Exposure
	// keptOnly is set if the request may be sent over a kept connection only, because new
	// ones are refused.
	keptOnly bool
	// returnBy is set if a run goes on at the endpoint that has stopped it, although that one
	// drains. The request must be sent before.
	returnBy time.Time
	// mayBeStopped is set if an earlier order may still stop the run at the endpoint.
	mayBeStopped bool
	// gated is set if the attempt counts at the gate of its service, and full if the endpoint
	// rejected it because it was full.
	gated, full bool
}

func directHop(choice *pick.Choice) *hop { return &hop{choice: choice, endpoint: choice.Endpoint} }

// viaPeer reports whether a peer chooses the endpoint. What this entry cannot see of the
// endpoint, such as its crashes and its load, the peer observes.
func (h *hop) viaPeer() bool { return h.peerKey != "" }

// peerName returns the name of the peer; empty if there is none.
func (h *hop) peerName() string {
	if !h.viaPeer() {
		return ""
	}
	return h.choice.Endpoint.ID
}

// recordFailure records an attempt without a usable answer. behindPeer is set if a peer passed
// on all that the endpoint sent, so that the failure is not its own.
func (h *hop) recordFailure(now time.Time, behindPeer bool) {
	if !h.viaPeer() || !behindPeer {
		h.choice.RecordFailure(now)
	}
}

// recordError records an answer of the endpoint with a server error.
func (h *hop) recordError(now time.Time) {
	if !h.viaPeer() {
		h.choice.RecordError(now)
	}
}

// versionIsDoubtful reports whether the endpoint may be at another software version than the
// announced one.
func (h *hop) versionIsDoubtful(now time.Time) bool {
	if h.viaPeer() {
		return h.versionUnknown
	}
	return h.choice.VersionIsDoubtful(now)
}
