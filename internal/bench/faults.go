package bench

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/standin/engine"
)

const (
	// reclaimNotice is the time between the notice and the end of a VM.
	reclaimNotice = time.Second
	// replaceDelay is the time until a lost engine is replaced.
	replaceDelay = time.Second
	watchPeriod  = 100 * time.Millisecond
	// chaosGap is the mean time between two faults of the chaos scenario.
	chaosGap   = 800 * time.Millisecond
	chaosStall = 700 * time.Millisecond
)

// faults injects the faults of a run and replaces the engines that they end.
type faults struct {
	rig    *rig.Rig
	target *balancer
	random *rand.Rand
	// duration of the run, which the moments of the faults are shares of.
	duration time.Duration
	mu       sync.Mutex
	// events lists what was done, and lost counts engines that ended.
	events []string
	lost   int
	// gone holds engines that are not replaced, because their domain is lost.
	gone map[string]bool
}

func (f *faults) note(event string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, event)
}

// inject runs the faults of a scenario until they are done or the context ends.
func (f *faults) inject(ctx context.Context, scenario string) {
	at := func(share float64) bool { return pause(ctx, time.Duration(share*float64(f.duration))) }
	switch scenario {
	case ReclaimWave:
		if at(0.3) {
			f.reclaimWave()
		}
	case DomainLoss:
		if at(0.4) {
			f.loseDomain()
		}
	case Silent:
		for _, share := range []float64{0.3, 0.3} {
			if at(share) {
				f.silence()
			}
		}
	case Chaos:
		f.chaos(ctx)
	}
}

// reclaimWave gives notice to all reclaimable engines of two failure domains.
func (f *faults) reclaimWave() {
	domains := f.rig.Domains()[1:3]
	for _, e := range f.rig.Engines() {
		if e.FailureDomain() == domains[0] || e.FailureDomain() == domains[1] {
			f.note("reclaim notice to " + e.ID())
			e.ReclaimNotice(reclaimNotice)
		}
	}
}

// loseDomain ends the daemons and engines of one failure domain at once.
func (f *faults) loseDomain() {
	domain := f.rig.Domains()[1]
	f.mu.Lock()
	for _, e := range f.rig.Engines() {
		f.gone[e.ID()] = e.FailureDomain() == domain
	}
	f.mu.Unlock()
	f.note("lost " + domain)
	for _, e := range f.rig.Engines() {
		if e.FailureDomain() == domain {
			e.Crash()
		}
	}
	for _, d := range f.rig.Daemons() {
		if d.FailureDomain() == domain {
			f.target.remove(d.CallerAddress())
			d.Kill()
		}
	}
}

// silence makes the open connections of every second engine silent.
func (f *faults) silence() {
	for i, e := range f.rig.Engines() {
		if i%2 == 0 {
			f.note("silenced the connections of " + e.ID())
			e.SilenceConnections()
		}
	}
}

// chaos injects faults at random moments, half of them together with another
// one, and some of them twice in a short time.
func (f *faults) chaos(ctx context.Context) {
	for pause(ctx, time.Duration((0.5+f.random.Float64())*float64(chaosGap))) {
		kind := f.random.IntN(4)
		f.hit(kind)
		switch f.random.IntN(4) {
		case 0, 1:
			f.hit(f.random.IntN(4))
		case 2:
			if pause(ctx, chaosGap/4) {
				f.hit(kind)
			}
		}
	}
}

// hit applies one kind of fault to a random engine.
func (f *faults) hit(kind int) {
	engines := f.rig.Engines()
	e := engines[f.random.IntN(len(engines))]
	switch kind {
	case 0:
		f.note("crash of " + e.ID())
		e.Crash()
	case 1:
		f.note("reclaim notice to " + e.ID())
		e.ReclaimNotice(reclaimNotice)
	case 2:
		f.note("stall of " + e.ID())
		e.Stall(chaosStall)
	case 3:
		f.note("silenced the connections of " + e.ID())
		e.SilenceConnections()
	}
}

// watch replaces engines that ended, as the platform would.
func (f *faults) watch(ctx context.Context) {
	dead := make(map[*engine.Engine]time.Time)
	for pause(ctx, watchPeriod) {
		for _, e := range f.rig.Engines() {
			since, known := dead[e]
			switch {
			case known && !since.IsZero() && time.Since(since) > replaceDelay:
				dead[e] = time.Time{}
				if !f.isGone(e.ID()) {
					if _, err := f.rig.ReplaceEngine(e); err != nil {
						f.note("could not replace " + e.ID() + ": " + err.Error())
					}
				}
			case !known && !listens(e.BaseURL()):
				dead[e] = time.Now()
				f.mu.Lock()
				f.lost++
				f.mu.Unlock()
			}
		}
	}
}

func (f *faults) isGone(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone[id]
}

func listens(baseURL string) bool {
	conn, err := net.DialTimeout("tcp", strings.TrimPrefix(baseURL, "http://"), watchPeriod)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// pause waits and reports whether the context is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
