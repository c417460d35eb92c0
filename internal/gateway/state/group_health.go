package state

import (
	"slices"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/replica"
)

// groupHealth is what the leader last told operators about the group.
type groupHealth struct {
	voters, tolerableLosses int
	silent                  []string
}

// reportGroupHealth sets the gauges of the group and writes a log line whenever its voters, the
// losses that it can still bear or its silent members change. Only the leader knows them: the
// other gauges hold where state_leads is 1.
func (s *State) reportGroupHealth(status *replica.Status) {
	gauge := func(name string, value int) { s.options.Metrics.Gauge(name).Set(int64(value)) }
	if status.Role != replica.RoleLeader {
		gauge("state_leads", 0)
		s.health = groupHealth{}
		return
	}
	now := groupHealth{voters: len(status.Config.Voters), tolerableLosses: status.TolerableLosses(), silent: status.SilentMembers()}
	gauge("state_leads", 1)
	gauge("state_voters", now.voters)
	gauge("state_tolerable_losses", now.tolerableLosses)
	gauge("state_silent_members", len(now.silent))
	if now.voters == s.health.voters && now.tolerableLosses == s.health.tolerableLosses && slices.Equal(now.silent, s.health.silent) {
		return
	}
	s.health = now
	write := s.log.Info
	if now.tolerableLosses < 1 {
		write = s.log.Warn
	}
	write("Voters of the group, or the losses that it can bear, changed.", zap.Int("voters", now.voters),
		zap.Int("tolerable_losses", now.tolerableLosses), zap.Strings("silent", now.silent))
}
