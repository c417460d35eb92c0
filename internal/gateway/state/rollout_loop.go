package state

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
)

// rolloutInterval is how often the leader looks at the roll-outs that run.
const rolloutInterval = 100 * time.Millisecond

// stepRollouts takes the next step of each roll-out that runs. Only a leader that a majority
// has confirmed takes steps; a former one that does not know of its successor loses the
// compare-and-set on the revision.
func (s *State) stepRollouts(now time.Time) {
	table, _ := s.appliedRollouts()
	s.noteUnclearSteps(&table)
	s.dropEndedRollouts(&table)
	if !s.isLeader() {
		return
	}
	for i := range table.records {
		if !table.records[i].Ended() && !s.stepRollout(&table, &table.records[i], now) {
			// The next look starts from the table that the change made.
			return
		}
	}
}

// dropEndedRollouts drops what is kept in memory of roll-outs that ended or were replaced.
func (s *State) dropEndedRollouts(table *rolloutTable) {
	running := map[uint64]bool{}
	var kept []rollout.Record
	for i := range table.records {
		if r := &table.records[i]; !r.Ended() {
			running[r.ID] = true
			kept = append(kept, *r)
		}
	}
	s.rollouts.Retain(kept)
	for id := range s.judges {
		if !running[id] {
			delete(s.judges, id)
		}
	}
	s.options.Metrics.Gauge("state_rollouts_running").Set(int64(len(kept)))
}

// stepRollout takes the next step of one roll-out. It reports whether the table still holds.
func (s *State) stepRollout(table *rolloutTable, r *rollout.Record, now time.Time) bool {
	in := s.rolloutInput(r, now)
	next, changed := rollout.Step(*r, in)
	if !changed {
		return true
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	written := table.with(next, s.isServiceGone)
	if err := s.writeRollouts(ctx, &written); err != nil {
		s.options.Metrics.Counter("state_rollout_writes_failed").Inc()
		s.log.Warn("Step of a roll-out not committed, or not known to be.", append(recordFields(&next), zap.Error(err))...)
		s.unclearSteps[r.ID] = unclearStep{from: *r, to: *written.of(r.Service), in: in}
		return false
	}
	s.noteStep(r, written.of(r.Service), &in)
	return false
}

// unclearStep is a step whose write got no answer. It may be committed later.
type unclearStep struct {
	from, to rollout.Record
	in       rollout.Input
}

// noteUnclearSteps writes the log lines and metrics of steps that were committed after all,
// and forgets those that others have overtaken.
func (s *State) noteUnclearSteps(table *rolloutTable) {
	for id, step := range s.unclearSteps {
		if table.revision < step.to.Revision {
			continue
		}
		delete(s.unclearSteps, id)
		if r := table.of(step.to.Service); r != nil && sameStep(r, &step.to) {
			s.noteStep(&step.from, &step.to, &step.in)
		}
	}
}

// sameStep reports whether two records are the same step of one roll-out.
func sameStep(a, b *rollout.Record) bool {
	return a.ID == b.ID && a.Revision == b.Revision && a.Phase == b.Phase && a.PhaseAtNS == b.PhaseAtNS
}

// rolloutInput returns what this replica knows of a roll-out.
func (s *State) rolloutInput(r *rollout.Record, now time.Time) rollout.Input {
	judge := s.judges[r.ID]
	if judge == nil {
		judge = rollout.NewJudge(r)
		s.judges[r.ID] = judge
	}
	in := rollout.Input{Now: s.clock.Now(), Sums: s.rollouts.Sums(r, now), Removed: s.isServiceGone(r.Service)}
	in.Verdict = judge.Look(in.Sums.Evidence, in.Now)
	in.ReadyOld, in.ReadyNew = countVersions(s.registry.Live(), r.Service, r.To)
	in.LeadingFor = s.leadingFor()
	return in
}

// leadingFor returns for how long this replica has been the leader and could hear from all
// entries; 0 if it cannot have heard from all of them.
func (s *State) leadingFor() time.Duration {
	if !s.hearsAll() || !s.isLeader() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return bootclock.Now().Sub(s.leaderSince)
}

// countVersions returns the number of ready endpoints of a service with another version and
// with the given one.
func countVersions(live []registry.Endpoint, service, version string) (others, same int) {
	for i := range live {
		switch {
		case live[i].Service != service || live[i].State != registry.Ready:
		case live[i].SoftwareVersion == version:
			same++
		default:
			others++
		}
	}
	return others, same
}

// noteStep writes the log line and the metrics of a committed step.
func (s *State) noteStep(from, to *rollout.Record, in *rollout.Input) {
	counter := map[rollout.Phase]string{
		rollout.Shifting: "state_rollouts_shifted", rollout.Completed: "state_rollouts_completed", rollout.Reverted: "state_rollouts_reverted",
	}[to.Phase]
	if counter != "" && from.Phase != to.Phase {
		s.options.Metrics.Counter(counter).Inc()
	}
	total := in.Sums.Evidence.Total()
	share := 0.0
	if all := total.Old.Answers + total.New.Answers; all > 0 {
		share = float64(total.New.Answers) / float64(all)
	}
	s.log.Info("Roll-out step.", append(recordFields(to),
		zap.Stringer("from", from.Phase), zap.Float64("share", share), zap.Int64("exposed", in.Sums.Exposed),
		zap.Int64("old_answers", total.Old.Answers), zap.Int64("old_failures", total.Old.Failures),
		zap.Int64("new_answers", total.New.Answers), zap.Int64("new_failures", total.New.Failures),
		zap.Int("running_old", in.Sums.RunningOld), zap.Int("unconfirmed", in.Sums.Unconfirmed),
		zap.Int("ready_old", in.ReadyOld), zap.Int("ready_new", in.ReadyNew),
		zap.String("verdict", in.Verdict.Reason), zap.Int64("left_ms", to.Deadline().Sub(in.Now).Milliseconds()))...)
}
