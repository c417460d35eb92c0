package entry

import (
	"sync"
	"time"
)

// workWindow is the time over which the work of a service is averaged.
const workWindow = 3 * time.Second

// workMeter measures the work that callers ask of each service, served or not,
// for the planner of endpoints. It is safe for concurrent use.
type workMeter struct {
	mu       sync.Mutex
	services map[string]*workRate
}

type workRate struct {
	perS float64
	at   time.Time
}

func newWorkMeter() *workMeter { return &workMeter{services: make(map[string]*workRate)} }

// add notes work in tokens, or in requests for plain services.
func (m *workMeter) add(service string, amount float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.services[service]
	if r == nil {
		r = &workRate{at: now}
		m.services[service] = r
	}
	r.perS = r.decayed(now) + amount/workWindow.Seconds()
	r.at = now
}

func (r *workRate) decayed(now time.Time) float64 {
	return r.perS * max(1-now.Sub(r.at).Seconds()/workWindow.Seconds(), 0)
}

// rates returns the work per second by service.
func (m *workMeter) rates(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make(map[string]float64, len(m.services))
	for name, r := range m.services {
		list[name] = r.decayed(now)
	}
	return list
}
