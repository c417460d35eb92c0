package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragelead/boragelead/internal/core/payload"
)

const (
	// peerLease is how long the report of a peer counts.
	peerLease = 3 * time.Second
	// recentUse is how long a flow stays in the reports after its last use, so
	// that a lost report does no harm.
	recentUse = 3 * time.Second
	// maxReported bounds the flows of one report; those that used most are kept.
	maxReported = 256
	// maxSeen bounds the remembered flows of one peer.
	maxSeen = 4096
)

// usageReport is what one entry tells its peers.
type usageReport struct {
	Running []int
	Flows   []flowReport
}

// flowReport is the cumulative use of a caller since the entry started.
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
	at      time.Time
	running []int
	seen    map[flowKey]int64
}

// Usage encodes what this entry runs and served lately, for its peers.
func (a *Admitter) Usage(now time.Time) ([]byte, error) {
	a.mu.Lock()
	report := usageReport{Running: make([]int, len(a.ranks))}
	for i, r := range a.ranks {
		report.Running[i] = int(r.running.Load())
		for _, w := range r.flows {
			for _, c := range w.callers {
				if c.used > 0 && now.Sub(c.usedAt) <= recentUse {
					report.Flows = append(report.Flows, flowReport{i, w.tenant.name, c.name, int64(c.used)})
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

// MergeUsage takes the report of a peer.
func (a *Admitter) MergeUsage(name string, data []byte, now time.Time) error {
	var report usageReport
	if err := payload.Decode(data, &report); err != nil {
		return err
	}
	a.mu.Lock()
	p := a.peers[name]
	if p == nil {
		p = &peer{seen: make(map[flowKey]int64)}
		a.peers[name] = p
	}
	p.at, p.running = now, report.Running
	a.settlePeer(p.served(report.Flows))
	a.countPeers(now)
	notices := a.dispatch(now, nil)
	a.mu.Unlock()
	deliver(notices)
	return nil
}

// served returns what the flows used since the report before. A flow not seen
// before, or whose count started again, only sets its base.
func (p *peer) served(flows []flowReport) map[flowKey]float64 {
	if len(p.seen) > maxSeen {
		clear(p.seen)
	}
	served := make(map[flowKey]float64, len(flows))
	for _, f := range flows {
		key := flowKey{f.Rank, f.Workspace, f.Caller}
		before, known := p.seen[key]
		switch {
		case !known || f.Tokens < before/2:
			p.seen[key] = f.Tokens
		case f.Tokens > before:
			served[key] = float64(f.Tokens - before)
			p.seen[key] = f.Tokens
		}
	}
	return served
}

func (a *Admitter) settlePeer(served map[flowKey]float64) {
	for i, r := range a.ranks {
		workspaces := make(map[*workspaceFlow]float64)
		callers := make(map[*callerFlow]float64)
		for key, tokens := range served {
			if key.rank != i || r.flows[key.workspace] == nil {
				continue
			}
			w := r.flows[key.workspace]
			workspaces[w] += tokens
			if c := w.callers[key.caller]; c != nil {
				callers[c] += tokens
			}
		}
		settle(&r.ring, workspaces, a.quantum())
		for w := range workspaces {
			settle(&w.ring, callers, a.quantum())
		}
	}
}

func (a *Admitter) expirePeers(now time.Time) {
	for name, p := range a.peers {
		if now.Sub(p.at) > peerLease {
			delete(a.peers, name)
		}
	}
	a.countPeers(now)
}

func (a *Admitter) countPeers(now time.Time) {
	for i, r := range a.ranks {
		r.peerRunning = 0
		for _, p := range a.peers {
			if i < len(p.running) && now.Sub(p.at) <= peerLease {
				r.peerRunning += p.running[i]
			}
		}
	}
}
