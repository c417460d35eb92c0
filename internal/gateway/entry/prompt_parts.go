package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/pick"
)

const (
	// maxSuspectParts bounds the prompt parts of a request that can be suspect.
	maxSuspectParts = 16
	// survivalTime is how long a stream must have been written until its prompt
	// parts no longer count as suspects of a crash.
	survivalTime = 500 * time.Millisecond
	// crashVerdictWait limits how long a request waits, before it is sent again,
	// for the probe that tells whether its endpoint crashed.
	crashVerdictWait = 30 * time.Millisecond
)

// PartError reports which part of a prompt is the reason of a refusal.
type PartError struct {
	Part uint64
	Err  error
}

// Error implements error.
func (e *PartError) Error() string { return "prompt part " + partName(e.Part) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PartError) Unwrap() error { return e.Err }

// suspectParts returns the fingerprints of the prompt parts that requests share, in
// the order of the prompt.
func (c *call) suspectParts() []suspect.Fingerprint {
	shared := pick.SharedParts(c.meta.Prefix)
	list := make([]suspect.Fingerprint, 0, maxSuspectParts)
	for _, part := range shared[:min(len(shared), maxSuspectParts)] {
		list = append(list, suspect.NewPartFingerprint(c.service.Name, part.ID))
	}
	return list
}

// checkParts refuses the request while one of its prompt parts is quarantined,
// unless it may run as the probe of that part.
func (c *call) checkParts(ctx context.Context) error {
	for i, part := range c.parts {
		err := c.entry.crashes.tracker.CheckPart(part, time.Now())
		if err == nil || c.mayProbePart(ctx, part) {
			continue
		}
		return c.suspectRefusal(&PartError{Part: c.meta.Prefix[i].ID, Err: err})
	}
	return nil
}

// mayProbePart reports whether the request may run although a part is quarantined. The
// leading replica grants the probes, so that the whole deployment has one at a time.
func (c *call) mayProbePart(ctx context.Context, part suspect.Fingerprint) bool {
	e := c.entry
	if !e.crashes.tracker.TakePartProbe(part, time.Now()) {
		return false
	}
	reply := &link.PartProbeReply{}
	if _, err := e.replicaClient.callLeader(ctx, link.MethodPartProbe, &link.PartProbeRequest{Part: part[:]}, reply); err != nil {
		e.log.Warn("Probe of a prompt part not granted.", zap.String("request", c.meta.AttemptID), zap.Error(err))
		return false
	}
	e.log.Info("Probe of a prompt part.", zap.String("request", c.meta.AttemptID), c.sharedPartsField(), zap.Bool("granted", reply.Granted))
	return reply.Granted
}

// checkForCrash starts a check whether an endpoint whose answer broke off has crashed, and
// waits for it shortly. The endpoint of a peer is checked by the peer.
func (c *call) checkForCrash(ctx context.Context, h *hop) {
	if h.viaPeer() {
		return
	}
	c.entry.reach.suspect(h.endpoint.Service)
	c.awaitCrashVerdict(ctx, c.entry.crashes.answerLost(&h.endpoint))
}

// awaitCrashVerdict waits until a probe tells whether the endpoint has crashed, so
// that a request that crashed it is recognized before it is sent again.
func (c *call) awaitCrashVerdict(ctx context.Context, probed <-chan struct{}) {
	if len(c.watch.parts) == 0 {
		return
	}
	timer := time.NewTimer(crashVerdictWait)
	defer timer.Stop()
	select {
	case <-probed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
