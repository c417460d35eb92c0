package admit

import (
	"math/rand/v2"
	"slices"
	"time"
)

// modelTokenTime is the service time per token in the model.
const modelTokenTime = time.Millisecond

// source sends requests of one caller at a fixed mean rate.
type source struct {
	workspace, caller string
	rank              int
	perSecond         float64
	tokens            int
	// estimate is what the caller's requests are taken for; 0 means tokens.
	estimate int
	entry    int
}

type work struct {
	source  int
	ticket  *Ticket
	offered time.Duration
	ends    time.Duration
	tokens  int
}

// model runs requests of sources on the slots of entries, each request for its
// tokens. With fifo it ignores the admitter and keeps one queue.
type model struct {
	entries []*Admitter
	slots   int
	fifo    bool
	sources []source
	random  *rand.Rand
	at      time.Duration
	running [][]*work
	queue   []*work
	ready   [][]*work
	// Per source: seconds in the queue, seconds to the whole answer, tokens done.
	waits    [][]float64
	answers  [][]float64
	served   []float64
	offered  []float64
	refused  []int
	exchange time.Duration
}

func newModel(entries, slots int, sources ...source) *model {
	m := &model{
		slots: slots, sources: sources, random: rand.New(rand.NewPCG(7, 7)),
		running: make([][]*work, entries), ready: make([][]*work, entries),
		waits: make([][]float64, len(sources)), answers: make([][]float64, len(sources)), served: make([]float64, len(sources)), offered: make([]float64, len(sources)), refused: make([]int, len(sources)),
	}
	for range entries {
		a := New(testDocument())
		a.SetCapacity(slots, slots*entries, epoch)
		m.entries = append(m.entries, a)
	}
	return m
}

func (m *model) now() time.Time { return epoch.Add(m.at) }

func (m *model) run(duration time.Duration) *model {
	const step = 10 * time.Millisecond
	for end := m.at + duration; m.at < end; m.at += step {
		for i := range m.entries {
			m.finish(i)
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
			m.begin(i)
		}
		if m.exchange > 0 && m.at%m.exchange == 0 {
			m.share()
		}
	}
	return m
}

func (m *model) offer(i int) {
	s := &m.sources[i]
	// Equal lengths would make all slots end at the same moments.
	w := &work{source: i, offered: m.at, tokens: s.tokens/2 + m.random.IntN(s.tokens)}
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

func (m *model) begin(entry int) {
	for m.fifo && len(m.running[entry]) < m.slots && len(m.queue) > 0 {
		m.ready[entry] = append(m.ready[entry], m.queue[0])
		m.queue = m.queue[1:]
		m.launch(entry)
	}
	m.launch(entry)
}

func (m *model) launch(entry int) {
	for _, w := range m.ready[entry] {
		w.ends = m.at + time.Duration(w.tokens)*modelTokenTime
		m.waits[w.source] = append(m.waits[w.source], (m.at - w.offered).Seconds())
		m.running[entry] = append(m.running[entry], w)
	}
	m.ready[entry] = nil
}

func (m *model) finish(entry int) {
	var done []*work
	m.running[entry] = slices.DeleteFunc(m.running[entry], func(w *work) bool {
		if w.ends > m.at {
			return false
		}
		done = append(done, w)
		return true
	})
	for _, w := range done {
		m.answers[w.source] = append(m.answers[w.source], (w.ends - w.offered).Seconds())
		m.served[w.source] += float64(w.tokens)
		if !m.fifo {
			m.entries[entry].Done(w.ticket, w.tokens, m.now())
		}
	}
}

func (m *model) share() {
	for i, from := range m.entries {
		data, err := from.Usage(m.now())
		for j, to := range m.entries {
			if err == nil && i != j {
				_ = to.MergeUsage(string(rune('a'+i)), data, m.now())
			}
		}
	}
}

// shareOf returns the part of all served tokens that the sources got.
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
