package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragelead/boragelead/internal/core/payload"
)

const (
	// peerReportLifetime is the time for which the report of a peer is valid.
	peerReportLifetime = 3 * time.Second
	// usageReportWindow is the time for which a flow stays in the reports after its
	// last use. Several reports contain each use, so that a lost report has no
	// effect.
	usageReportWindow = 3 * time.Second
	// maxReported is the maximum number of flows in one report. The flows with
	// the most tokens are kept.
	maxReported = 256
	// maxPeerFlows is the number of flows of one peer above which their counters
	// are cleared.
	maxPeerFlows = 4096
)

// usageReport is the usage of one entry that is sent to its peers.
type usageReport struct {
	Running []int
	Flows   []flowReport
}

// flowReport is the cumulative cost of a caller's requests since the entry
// started.
type flowReport struct {
	Rank              int
	Workspace, Caller string
	Tokens            int64
}

type flowKey struct {
	rank              int
	workspace, caller string
}

type peer struct {
	reportedAt time.Time
	running    []int
	lastTokens map[flowKey]int64
}

// Usage encodes the running requests and the recently used flows of this entry
// as a report for its peers.
func (a *Admitter) Usage(now time.Time) ([]byte, error) {
	a.mu.Lock()
	report := usageReport{Running: make([]int, len(a.ranks))}
	for i, r := range a.ranks {
		report.Running[i] = int(r.running.Load())
		for _, w := range r.flows {
			for _, c := range w.callers {
				if c.usedTokens > 0 && now.Sub(c.usedAt) <= usageReportWindow {
					report.Flows = append(report.Flows, flowReport{i, w.config.name, c.name, int64(c.usedTokens)})
				}
			}
		}
	}
	a.mu.Unlock()
	slices.SortFunc(report.Flows, func(x, y flowReport) int {
		return cmp.Or(cmp.Compare(y.Tokens, x.Tokens), cmp.Compare(x.Rank, y.Rank),
			cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(x.Caller, y.Caller))
	})
	report.Flows = report.Flows[:min(len(report.Flows), maxReported)]
	return payload.Encode(&report)
}

// MergeUsage applies the usage report of a peer.
func (a *Admitter) MergeUsage(name string, data []byte, now time.Time) error {
	var report usageReport
	if err := payload.Decode(data, &report); err != nil {
		return err
	}
	a.mu.Lock()
	p := a.peers[name]
	if p == nil {
		p = &peer{lastTokens: make(map[flowKey]int64)}
		a.peers[name] = p
	}
	p.reportedAt, p.running = now, report.Running
	a.chargePeerUsage(p.usedSinceLastReport(report.Flows))
	a.updatePeerRunning(now)
	calls := a.dispatch(now, nil)
	a.mu.Unlock()
	runReadyCalls(calls)
	return nil
}

// usedSinceLastReport returns the tokens that each flow has used since the
// previous report of the peer. If a flow is new or its counter was reset, the
// reported value only becomes the baseline for the next report.
func (p *peer) usedSinceLastReport(flows []flowReport) map[flowKey]float64 {
	if len(p.lastTokens) > maxPeerFlows {
		clear(p.lastTokens)
	}
	used := make(map[flowKey]float64, len(flows))
	for _, f := range flows {
		key := flowKey{f.Rank, f.Workspace, f.Caller}
		before, known := p.lastTokens[key]
		switch {
		case !known || f.Tokens < before/2:
			p.lastTokens[key] = f.Tokens
		case f.Tokens > before:
			used[key] = float64(f.Tokens - before)
			p.lastTokens[key] = f.Tokens
		}
	}
	return used
}

func (a *Admitter) chargePeerUsage(used map[flowKey]float64) {
	for i, r := range a.ranks {
		workspaces := make(map[*workspaceFlow]float64)
		callers := make(map[*callerFlow]float64)
		for key, tokens := range used {
			if key.rank != i || r.flows[key.workspace] == nil {
				continue
			}
			w := r.flows[key.workspace]
			workspaces[w] += tokens
			if c := w.callers[key.caller]; c != nil {
				callers[c] += tokens
			}
		}
		chargeExcess(&r.ring, workspaces, a.quantum())
		for w := range workspaces {
			chargeExcess(&w.ring, callers, a.quantum())
		}
	}
}

func (a *Admitter) expirePeers(now time.Time) {
	for name, p := range a.peers {
		if now.Sub(p.reportedAt) > peerReportLifetime {
			delete(a.peers, name)
		}
	}
	a.updatePeerRunning(now)
}

func (a *Admitter) updatePeerRunning(now time.Time) {
	for i, r := range a.ranks {
		r.peerRunning = 0
		for _, p := range a.peers {
			if i < len(p.running) && now.Sub(p.reportedAt) <= peerReportLifetime {
				r.peerRunning += p.running[i]
			}
		}
	}
}
