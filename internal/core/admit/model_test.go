package admit

import (
	"math/rand/v2"
	"slices"
	"time"
)

// modelTokenTime is the simulated service time per token.
const modelTokenTime = time.Millisecond

// source offers requests of one caller at a fixed mean rate.
type source struct {
	workspace, caller string
	rank              int
	perSecond         float64
	tokens            int
	// estimate is the estimated cost of a request in tokens; 0 means tokens.
	estimate int
	entry    int
}

type simulatedRequest struct {
	source    int
	ticket    *Ticket
	offeredAt time.Duration
	endsAt    time.Duration
	tokens    int
}

// model simulates the requests of the sources on the slots of the entries. Each
// request occupies a slot for a time proportional to its tokens. With fifo set,
// the model uses a single FIFO queue instead of the admitters.
type model struct {
	entries []*Admitter
	slots   int
	fifo    bool
	sources []source
	random  *rand.Rand
	elapsed time.Duration
	running [][]*simulatedRequest
	queue   []*simulatedRequest
	ready   [][]*simulatedRequest
	// Per source: queue times and response times in seconds, then the tokens
	// served and offered, and the number of refused requests.
	waits            [][]float64
	responseTimes    [][]float64
	served           []float64
	offered          []float64
	refused          []int
	exchangeInterval time.Duration
}

func newModel(entries, slots int, sources ...source) *model {
	m := &model{
		slots: slots, sources: sources, random: rand.New(rand.NewPCG(7, 7)),
		running: make([][]*simulatedRequest, entries), ready: make([][]*simulatedRequest, entries),
		waits: make([][]float64, len(sources)), responseTimes: make([][]float64, len(sources)), served: make([]float64, len(sources)), offered: make([]float64, len(sources)), refused: make([]int, len(sources)),
	}
	for range entries {
		a := New(testDocument())
		a.SetCapacity(slots, slots*entries, epoch)
		m.entries = append(m.entries, a)
	}
	return m
}

func (m *model) now() time.Time { return epoch.Add(m.elapsed) }

func (m *model) run(duration time.Duration) *model {
	const step = 10 * time.Millisecond
	for end := m.elapsed + duration; m.elapsed < end; m.elapsed += step {
		for i := range m.entries {
			m.finishRequests(i)
		}
		for i := range m.sources {
			for due := m.sources[i].perSecond * step.Seconds(); m.random.Float64() < due; due-- {
				m.offer(i)
			}
		}
		for i, a := range m.entries {
			if !m.fifo {
				a.Tick(m.now())
			}
			m.startRequests(i)
		}
		if m.exchangeInterval > 0 && m.elapsed%m.exchangeInterval == 0 {
			m.exchangeUsage()
		}
	}
	return m
}

func (m *model) offer(i int) {
	s := &m.sources[i]
	// Lengths vary, since equal lengths would make all slots free at the same times.
	w := &simulatedRequest{source: i, offeredAt: m.elapsed, tokens: s.tokens/2 + m.random.IntN(s.tokens)}
	m.offered[i] += float64(w.tokens)
	if m.fifo {
		m.queue = append(m.queue, w)
		return
	}
	estimate := s.estimate
	if estimate == 0 {
		estimate = s.tokens
	}
	ticket, started, err := m.entries[s.entry].Offer(Request{
		Workspace: s.workspace, Caller: s.caller, Rank: s.rank, Tokens: estimate,
		Ready: func(err error) {
			if err != nil {
				m.refused[i]++
				return
			}
			m.ready[s.entry] = append(m.ready[s.entry], w)
		},
	}, m.now())
	if err != nil {
		m.refused[i]++
		return
	}
	w.ticket = ticket
	if started {
		m.ready[s.entry] = append(m.ready[s.entry], w)
	}
}

func (m *model) startRequests(entry int) {
	for m.fifo && len(m.running[entry]) < m.slots && len(m.queue) > 0 {
		m.ready[entry] = append(m.ready[entry], m.queue[0])
		m.queue = m.queue[1:]
		m.startReady(entry)
	}
	m.startReady(entry)
}

func (m *model) startReady(entry int) {
	for _, w := range m.ready[entry] {
		w.endsAt = m.elapsed + time.Duration(w.tokens)*modelTokenTime
		m.waits[w.source] = append(m.waits[w.source], (m.elapsed - w.offeredAt).Seconds())
		m.running[entry] = append(m.running[entry], w)
	}
	m.ready[entry] = nil
}

func (m *model) finishRequests(entry int) {
	var done []*simulatedRequest
	m.running[entry] = slices.DeleteFunc(m.running[entry], func(w *simulatedRequest) bool {
		if w.endsAt > m.elapsed {
			return false
		}
		done = append(done, w)
		return true
	})
	for _, w := range done {
		m.responseTimes[w.source] = append(m.responseTimes[w.source], (w.endsAt - w.offeredAt).Seconds())
		m.served[w.source] += float64(w.tokens)
		if !m.fifo {
			m.entries[entry].Done(w.ticket, w.tokens, m.now())
		}
	}
}

func (m *model) exchangeUsage() {
	for i, from := range m.entries {
		data, err := from.Usage(m.now())
		for j, to := range m.entries {
			if err == nil && i != j {
				_ = to.MergeUsage(string(rune('a'+i)), data, m.now())
			}
		}
	}
}

// shareOf returns the share of the given sources in all served tokens.
func (m *model) shareOf(sources ...int) float64 {
	part, total := 0.0, 0.0
	for i, tokens := range m.served {
		total += tokens
		if slices.Contains(sources, i) {
			part += tokens
		}
	}
	return part / total
}

func quantile(values []float64, q float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}
