package pick

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

// answerBackoff lets an endpoint answer an attempt with a back-off.
func answerBackoff(c *Choice, wanted time.Duration, now time.Time) {
	c.RecordAnswer(nil, now)
	c.RecordBackoff(wanted, now, now)
	c.End()
}

// Guards against an endpoint that wants no requests and gets some, also as the last one
// that is left, and after it was not listed for a while.
func TestBackoffIsKept(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"))
	answerBackoff(choose(g, b, newRequest(start)), 2*time.Second, start)
	_, err := b.Choose(newRequest(start.Add(1900 * time.Millisecond)))
	g.Expect(err).To(MatchError(ContainSubstring("endpoint one backs off since 1.9s")))
	b.Update(nil)
	b.Expire(start.Add(time.Second))
	b.Update([]registry.Endpoint{newEngine("one", "a")})
	_, err = b.Choose(newRequest(start.Add(1900 * time.Millisecond)))
	g.Expect(err).To(HaveOccurred())
	choose(g, b, newRequest(start.Add(2*time.Second)))
}

// Guards against an older or shorter back-off that ends a longer one, and against one
// that lasts for ever.
func TestLatestEndOfABackoffHolds(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"))
	first, second := choose(g, b, newRequest(start)), choose(g, b, newRequest(start))
	answerBackoff(first, 3*time.Second, start)
	answerBackoff(second, time.Second, start.Add(100*time.Millisecond))
	_, err := b.Choose(newRequest(start.Add(2900 * time.Millisecond)))
	g.Expect(err).To(HaveOccurred())
	third := choose(g, b, newRequest(start.Add(3*time.Second)))
	answerBackoff(third, 24*time.Hour, start.Add(3*time.Second))
	_, err = b.Choose(newRequest(start.Add(maxBackoff)))
	g.Expect(err).To(HaveOccurred())
	choose(g, b, newRequest(start.Add(3*time.Second+maxBackoff)))
}

// Guards against a back-off that holds for an incarnation which started after it, and
// against one that ends because the incarnation that asked for it is announced later.
func TestBackoffHoldsForTheIncarnationThatAsked(t *testing.T) {
	g := NewWithT(t)
	for lead, held := range map[time.Duration]bool{-time.Millisecond: true, time.Millisecond: false} {
		b := newBoard(newEngine("one", "a"))
		answerBackoff(choose(g, b, newRequest(start)), 2*time.Second, start)
		next := newEngine("one", "a")
		next.Born = start.Add(lead).UnixMilli()
		b.Update([]registry.Endpoint{next})
		_, err := b.Choose(newRequest(start.Add(time.Second)))
		g.Expect(err != nil).To(Equal(held))
		choose(g, b, newRequest(start.Add(2*time.Second)))

		// The new incarnation is announced before the answer to an earlier request.
		b = newBoard(newEngine("one", "a"))
		sent := choose(g, b, newRequest(start))
		b.Update([]registry.Endpoint{next})
		answerBackoff(sent, 2*time.Second, start)
		_, err = b.Choose(newRequest(start.Add(time.Second)))
		g.Expect(err != nil).To(Equal(held))
	}
}

// Guards against all waiting requests that reach an endpoint at once after its back-off,
// and against a load that stays limited.
func TestLoadGrowsAfterABackoff(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"))
	answerBackoff(choose(g, b, newRequest(start)), time.Second, start)
	now := start.Add(time.Second)
	for round := rampStart; round <= rampEnd; round *= 2 {
		var choices []*Choice
		for len(choices) <= 2*rampEnd {
			c, err := b.Choose(newRequest(now))
			if err != nil {
				g.Expect(err).To(MatchError(ContainSubstring("backoff")))
				break
			}
			choices = append(choices, c)
		}
		g.Expect(len(choices)).To(BeNumerically("<=", max(round*round, rampStart)))
		for _, c := range choices {
			c.RecordAnswer(nil, now)
			c.End()
		}
		if b.endpoints["one"].backoff.ramp == 0 {
			break
		}
	}
	for range 4 * rampEnd {
		choose(g, b, newRequest(now))
	}
}

// Guards against requests that wait for the end of a back-off that comes too late, and
// against callers that all return at the earliest end.
func TestEndOfBackoffsIsNamed(t *testing.T) {
	g := NewWithT(t)
	returns := map[time.Time]bool{}
	for range 20 {
		b := NewBoard(rand.Float64)
		b.Update([]registry.Endpoint{newEngine("one", "a"), newEngine("two", "a")})
		for i := range 2 {
			answerBackoff(choose(g, b, newRequest(start)), time.Duration(i+2)*time.Second, start)
		}
		var none *NoEndpointError
		_, err := b.Choose(newRequest(start))
		g.Expect(errors.As(err, &none)).To(BeTrue())
		g.Expect(none.AvailableAt).To(BeTemporally(">=", start.Add(2*time.Second)))
		g.Expect(none.AvailableAt).To(BeTemporally("<", start.Add(2500*time.Millisecond)))
		g.Expect(none.ReturnAt).To(BeTemporally(">=", none.AvailableAt))
		g.Expect(none.ReturnAt).To(BeTemporally("<", start.Add(4*time.Second)))
		returns[none.ReturnAt] = true
	}
	g.Expect(len(returns)).To(BeNumerically(">", 10))
}

// Guards against log lines for each answer of an endpoint that backs off again and again,
// and against back-offs whose end is not logged.
func TestBackoffsAreLoggedBounded(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"))
	started, ended := 0, 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		c := choose(g, b, newRequest(now))
		c.RecordAnswer(nil, now)
		if c.RecordBackoff(10*time.Millisecond, now, now) != nil {
			started++
		}
		c.End()
		ended += len(b.Expire(now.Add(15 * time.Millisecond)))
	}
	g.Expect(started).To(Equal(2))
	g.Expect(ended).To(Equal(2))
}

// travelling is a request on its way to an endpoint, or its answer.
type travelling struct {
	at     time.Time
	entry  int
	choice *Choice
	// answer is the back-off in the answer; negative for other answers.
	answer  time.Duration
	arrived bool
}

// backoffWorld simulates entries that send requests to one endpoint. The endpoint answers
// with a back-off during random spells.
type backoffWorld struct {
	t      *rapid.T
	boards []*Board
	queue  []travelling
	// spells holds the begin and end of each spell.
	spells [][2]time.Time
	// windows holds, by entry, the times in which the endpoint wants no requests.
	windows map[int][]*quietWindow
	served  int
}

// quietWindow is the time from half a second after an answer with a back-off to its end.
type quietWindow struct {
	from, to time.Time
	arrivals int
}

const (
	simulated   = 20 * time.Second
	maxTravelMS = 120
)

func (w *backoffWorld) travelTime() time.Duration {
	return time.Duration(rapid.IntRange(1, maxTravelMS).Draw(w.t, "travel")) * time.Millisecond
}

// step sends one request of an entry and lets everything happen that is due until then.
func (w *backoffWorld) step(entry int, now time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(now) {
		m := w.queue[0]
		w.queue = w.queue[1:]
		if m.arrived {
			w.answer(m)
		} else {
			w.arrive(m)
		}
	}
	if choice, err := w.boards[entry].Choose(newRequest(now)); err == nil {
		w.enqueue(travelling{at: now.Add(w.travelTime()), entry: entry, choice: choice})
	}
}

// enqueue keeps the queue in the order of time.
func (w *backoffWorld) enqueue(m travelling) {
	at, _ := slices.BinarySearchFunc(w.queue, m.at, func(queued travelling, at time.Time) int { return queued.at.Compare(at) })
	w.queue = slices.Insert(w.queue, at, m)
}

func (w *backoffWorld) arrive(m travelling) {
	m.answer, m.arrived = -1, true
	for _, spell := range w.spells {
		if !m.at.Before(spell[0]) && m.at.Before(spell[1]) {
			m.answer = spell[1].Sub(m.at)
		}
	}
	for _, window := range w.windows[m.entry] {
		if !m.at.After(window.from) || !m.at.Before(window.to) {
			continue
		}
		if window.arrivals++; window.arrivals > 2 {
			w.t.Fatalf("request of entry %d arrives %s before the end of a back-off, as number %d", m.entry, window.to.Sub(m.at), window.arrivals)
		}
	}
	if m.answer >= 0 {
		w.windows[m.entry] = append(w.windows[m.entry], &quietWindow{from: m.at.Add(500 * time.Millisecond), to: m.at.Add(m.answer)})
	} else {
		w.served++
	}
	m.at = m.at.Add(w.travelTime())
	w.enqueue(m)
}

func (w *backoffWorld) answer(m travelling) {
	m.choice.RecordAnswer(nil, m.at)
	if m.answer >= 0 {
		m.choice.RecordBackoff(m.answer, m.at, m.at)
	}
	m.choice.End()
}

// Guards against more than two requests of an entry that reach an endpoint between half a
// second after it has asked for a back-off and its end, and against an endpoint that is
// not used again.
func TestArrivalsDuringBackoffsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &backoffWorld{t: t, windows: make(map[int][]*quietWindow)}
		for i := range rapid.IntRange(1, 88).Draw(t, "entries") {
			b := NewBoard(rand.New(rand.NewPCG(uint64(i), 1)).Float64)
			b.Update([]registry.Endpoint{newEngine("one", "a")})
			w.boards = append(w.boards, b)
		}
		begin := start
		for range rapid.IntRange(0, 4).Draw(t, "spells") {
			begin = begin.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
			end := begin.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "length")) * time.Millisecond)
			w.spells = append(w.spells, [2]time.Time{begin, end})
			begin = end
		}
		perS := rapid.IntRange(20, 400).Draw(t, "requests per second")
		last := start.Add(simulated)
		entry := 0
		for now := start; now.Before(last.Add(simulated / 2)); now = now.Add(time.Second / time.Duration(perS)) {
			if now.After(last) && w.served > 0 {
				break
			}
			w.step(entry%len(w.boards), now)
			entry++
		}
		if w.served == 0 {
			t.Fatal(fmt.Sprint("nothing was served after the spells ", w.spells))
		}
	})
}

// Guards against requests that were chosen for an endpoint before it drained or wanted no
// requests, and that are sent to it afterwards.
func TestChoiceIsWithdrawn(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"), newEngine("two", "a"))
	first, second := choose(g, b, newRequest(start)), choose(g, b, newRequest(start))
	g.Expect(first.Withdrawn(start) || second.Withdrawn(start)).To(BeFalse())
	answerBackoff(choose(g, b, &Request{Service: "pool", Domain: "a", Avoid: []string{second.Endpoint.ID}, Now: start}), time.Second, start)
	g.Expect(first.Withdrawn(start)).To(BeTrue())
	g.Expect(first.Withdrawn(start.Add(time.Second))).To(BeFalse())
	b.RecordDraining(second.Endpoint.ID, second.Endpoint.Born)
	g.Expect(second.Withdrawn(start)).To(BeTrue())
}
