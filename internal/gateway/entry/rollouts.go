package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
)

// applyRollouts takes over the roll-out records in the answer of a replica. It must run before
// the endpoints of the answer are used, since those of a new version are not trusted. answeredAt
// is a time before the replica answered.
func (c *replicaClient) applyRollouts(address string, reply *link.PollReply, answeredAt bootclock.Instant) {
	e := c.entry
	var knownAt bootclock.Instant
	if reply.RolloutAgeMS >= 0 {
		knownAt = answeredAt.Add(-time.Duration(reply.RolloutAgeMS) * time.Millisecond)
		e.rollouts.Confirm(knownAt)
	}
	if !e.options.Settings.Bounds.OffersRollouts() && reply.RolloutVersion == 0 {
		return
	}
	update := rollout.Update{
		Records: reply.Rollouts, KnownAt: knownAt, Entries: max(reply.Entries, c.entries()),
		StartedAt: e.clock.Now().Add(-bootclock.Now().Sub(e.startedAt)),
	}
	for _, r := range e.rollouts.Apply(update) {
		e.log.Info("Roll-out changed.", zap.String("service", r.Service), zap.String("to", r.To), zap.Stringer("phase", r.Phase), zap.String("reason", r.Reason),
			zap.Float64("share", r.Bounds.Share), zap.Uint64("id", r.ID), zap.Uint64("revision", r.Revision), zap.Time("deadline", r.Deadline()), zap.String("replica", address))
	}
}

// noteVersions tells which versions the endpoints have, before requests are sent to them.
func (e *Entry) noteVersions(list []registry.Endpoint) {
	if !e.options.Settings.Bounds.OffersRollouts() {
		return
	}
	oldest := make(map[[2]string]int64)
	for i := range list {
		key := [2]string{list[i].Service, list[i].SoftwareVersion}
		if born, known := oldest[key]; list[i].State == registry.Ready && (!known || list[i].Born < born) {
			oldest[key] = list[i].Born
		}
	}
	ready := make([]rollout.ReadyVersion, 0, len(oldest))
	for key, born := range oldest {
		ready = append(ready, rollout.ReadyVersion{Service: key[0], Version: key[1], Born: born})
	}
	e.rollouts.NoteVersions(ready, bootclock.Now())
}

// chooseBySplit picks an endpoint of the version that the roll-out of the service allows. The
// error is a *pick.NoEndpointError.
func (c *call) chooseBySplit(request *pick.Request) (*hop, error) {
	e := c.entry
	decision := e.rollouts.Split(c.rolloutAttempt(), e.clock.Now(), bootclock.Now())
	h, err := c.chooseAt(request, &decision, decision.Side)
	if err == nil || decision.OrElse == rollout.Any {
		return h, err
	}
	return c.chooseAt(request, &rollout.Decision{To: decision.To}, decision.OrElse)
}

// mayMissRollouts reports whether a roll-out may have been ordered of which this entry does not
// know: roll-outs are offered, and no replica with the newest records has answered lately.
// The newest of several versions is then not trusted.
func (e *Entry) mayMissRollouts() bool {
	return e.options.Settings.Bounds.OffersRollouts() && !e.rollouts.Confirmed(bootclock.Now())
}

// rolloutAttempt describes the next attempt for a roll-out.
func (c *call) rolloutAttempt() rollout.Attempt {
	return rollout.Attempt{
		Service: c.service.Name, Route: c.route.Name, Ticket: c.ticket,
		Attempts: len(c.avoidedEndpoints()), SentToNew: c.sentToNew, Bound: c.softwareVersion,
	}
}

// chooseAt picks an endpoint at one side. If there is none, the charge is given back.
func (c *call) chooseAt(request *pick.Request, d *rollout.Decision, side rollout.Side) (*hop, error) {
	request.Rule = nil
	if side != rollout.Any {
		request.Rule = &pick.VersionRule{To: d.To, New: side == rollout.New, Focus: d.Focus, Turn: d.Turn}
	}
	if side != rollout.New && request.SoftwareVersion == nil && c.entry.mayMissRollouts() {
		if request.Rule == nil {
			request.Rule = &pick.VersionRule{}
		}
		request.Rule.Avoid = c.entry.board.NewestVersion(request.Service)
	}
	choice, err := c.entry.board.Choose(request)
	if err != nil {
		c.entry.rollouts.Return(d.Exposure)
		return nil, err
	}
	h := directHop(choice)
	h.exposure, h.side = d.Exposure, side
	return h, nil
}

// checkSend reports whether an endpoint may still get the request, once it is connected and just
// before the request is sent. The error is a *WithdrawnError.
func (c *call) checkSend(h *hop) error {
	choice := h.choice
	choice.RecordConnected(time.Now())
	if !h.returnBy.IsZero() {
		if time.Now().Before(h.returnBy) {
			return nil
		}
		return &WithdrawnError{Endpoint: choice.Endpoint.ID}
	}
	if !c.entry.rollouts.MayReceive(choice.Endpoint.Service, choice.Endpoint.SoftwareVersion, bootclock.Now()) {
		return &WithdrawnError{Endpoint: choice.Endpoint.ID}
	}
	if c.softwareVersion != nil && choice.Identity(time.Now()) == pick.PossiblyAnother {
		return &WithdrawnError{Endpoint: choice.Endpoint.ID}
	}
	return checkChoice(choice)
}

// settleRollout ends what an attempt at an endpoint means for the roll-out of its service: the
// evidence, and the charge of an attempt that was not sent.
func (c *call) settleRollout(h *hop, result *outcome) {
	c.endTrial(result)
	if !result.sent {
		c.entry.rollouts.Return(h.exposure)
		return
	}
	if h.exposure != nil {
		c.entry.metrics.rolloutExposed.Inc()
	}
	if h.side == rollout.New && !result.done && result.moved == nil {
		c.entry.metrics.rolloutFailed.Inc()
		c.entry.log.Info("Attempt at the new version of a roll-out failed.", zap.String("request", c.meta.AttemptID), zap.String("service", c.service.Name),
			zap.String("endpoint", h.endpoint.ID), zap.String("software_version", h.endpoint.SoftwareVersion), zap.Bool("exposed", h.exposure != nil), zap.Error(result.err))
	}
}
