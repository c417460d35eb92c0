package pick

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	simStep = 2 * time.Millisecond
	// tokensPerMS is the prefill rate of an endpoint of usual speed.
	tokensPerMS = 60
	// eventTime is the usual time between two events of a stream.
	eventTime = 28 * time.Millisecond
	// noiseTime is how long a VM is slowed by others, noiseShare how much of the time, and
	// noiseFactor by how much.
	noiseTime   = 600 * time.Millisecond
	noiseShare  = 0.15
	noiseFactor = 2.5
	// noticeDelay is the time after which other entries know of a long prompt.
	noticeDelay = 40 * time.Millisecond
)

// promptKind is a kind of request of the simulated load.
type promptKind struct {
	name string
	// tokens is the mean length, and spread the standard deviation of its logarithm.
	tokens int
	spread float64
	events int
	share  float64
}

var promptKinds = []promptKind{
	{"long", 6610, 0.8, 42, 0.23},
	{"chat", 628, 0.5, 32, 0.35},
	{"short", 1800, 0.3, 3, 0.42},
}

// unevenRun plays entries that send prompts of several lengths to endpoints of uneven speed.
type unevenRun struct {
	entries, endpoints int
	load               float64
	noise, notices     bool
	seed               uint64

	random *rand.Rand
	boards []*Board
	vms    []*simVM
	times  map[string][]time.Duration
	sent   []notice
}

type notice struct {
	at       time.Time
	from     int
	endpoint string
	tokens   int
}

// simVM processes its prompts in order, and streams events beside that.
type simVM struct {
	id      string
	speed   float64
	slowed  bool
	until   time.Time
	queue   []*simJob
	streams []*simJob
}

type simJob struct {
	kind      *promptKind
	choice    *Choice
	remaining float64
	sentAt    time.Time
	events    int
	nextEvent time.Time
}

func (v *simVM) rate() float64 {
	if v.slowed {
		return v.speed / noiseFactor
	}
	return v.speed
}

func (r *unevenRun) play(duration time.Duration) {
	r.random = rand.New(rand.NewPCG(r.seed, 11))
	r.times = make(map[string][]time.Duration)
	speeds := []float64{0.6, 1, 1.6}
	var list []registry.Endpoint
	capacity := 0.0
	for i := range r.endpoints {
		v := &simVM{id: fmt.Sprint("i-", i), speed: speeds[i%len(speeds)]}
		capacity += v.speed
		r.vms = append(r.vms, v)
		if r.noise {
			capacity -= v.speed * noiseShare * (1 - 1/noiseFactor)
		}
		list = append(list, registry.Endpoint{ID: v.id, Service: "pool", Address: v.id + ":1", Domain: "a", Slots: 64, State: registry.Ready, Born: 1})
	}
	for i := range r.entries {
		b := NewBoard(rand.New(rand.NewPCG(r.seed, uint64(100+i))).Float64)
		b.Update(list)
		r.boards = append(r.boards, b)
	}
	mean := 0.0
	for i := range promptKinds {
		mean += promptKinds[i].share * float64(promptKinds[i].tokens)
	}
	perStep := r.load * capacity * tokensPerMS * float64(simStep.Milliseconds()) / mean
	for now := start; now.Before(start.Add(duration)); now = now.Add(simStep) {
		r.deliverNotices(now)
		for n := r.poisson(perStep); n > 0; n-- {
			r.send(now)
		}
		for _, v := range r.vms {
			r.advance(v, now)
		}
	}
}

func (r *unevenRun) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := r.random.Float64(); u > p; u *= r.random.Float64() {
		n++
	}
	return n
}

func (r *unevenRun) send(now time.Time) {
	kind, u := &promptKinds[len(promptKinds)-1], r.random.Float64()
	for i := range promptKinds {
		if u -= promptKinds[i].share; u < 0 {
			kind = &promptKinds[i]
			break
		}
	}
	// The mean of a log-normal size is that of the kind.
	tokens := int(float64(kind.tokens) * math.Exp(kind.spread*r.random.NormFloat64()-kind.spread*kind.spread/2))
	entry := r.random.IntN(r.entries)
	choice, err := r.boards[entry].Choose(&Request{Service: "pool", Domain: "a", PromptTokens: tokens, Now: now})
	if err != nil {
		return
	}
	if tokens, long := choice.LongPrompt(); long && r.notices {
		r.sent = append(r.sent, notice{now.Add(noticeDelay), entry, choice.Endpoint.ID, tokens})
	}
	var index int
	_, _ = fmt.Sscanf(choice.Endpoint.ID, "i-%d", &index)
	v := r.vms[index]
	v.queue = append(v.queue, &simJob{kind: kind, choice: choice, remaining: float64(tokens), sentAt: now})
}

func (r *unevenRun) deliverNotices(now time.Time) {
	for len(r.sent) > 0 && !r.sent[0].at.After(now) {
		for i, b := range r.boards {
			if i != r.sent[0].from {
				b.NotePrompt(r.sent[0].endpoint, r.sent[0].tokens, noticeDelay, now)
			}
		}
		r.sent = r.sent[1:]
	}
}

func (r *unevenRun) advance(v *simVM, now time.Time) {
	if r.noise && !now.Before(v.until) {
		v.slowed, v.until = r.random.Float64() < noiseShare, now.Add(noiseTime)
	}
	budget := tokensPerMS * float64(simStep.Milliseconds()) * v.rate()
	for len(v.queue) > 0 && budget > 0 {
		job := v.queue[0]
		used := min(budget, job.remaining)
		job.remaining -= used
		if budget -= used; job.remaining > 0 {
			break
		}
		v.queue = v.queue[1:]
		r.times[job.kind.name] = append(r.times[job.kind.name], now.Sub(job.sentAt))
		slowdown := 1.0
		if v.slowed {
			slowdown = noiseFactor
		}
		job.choice.RecordAnswer(&port.EndpointLoad{Running: len(v.streams), Waiting: len(v.queue), Slots: 64, Slowdown: slowdown}, now)
		job.choice.RecordSuccess(now)
		job.choice.RecordEvents(1, now)
		job.nextEvent = now.Add(v.eventTime())
		v.streams = append(v.streams, job)
	}
	v.streams = slices.DeleteFunc(v.streams, func(job *simJob) bool {
		if now.Before(job.nextEvent) {
			return false
		}
		job.choice.RecordProgress(now)
		job.choice.RecordEvents(1, now)
		job.nextEvent = now.Add(v.eventTime())
		if job.events++; job.events < job.kind.events {
			return false
		}
		job.choice.End()
		return true
	})
}

func (v *simVM) eventTime() time.Duration { return time.Duration(float64(eventTime) / v.rate()) }

// quantile returns a quantile of the times to the first event of a kind; of all kinds for "".
func (r *unevenRun) quantile(kind string, q float64) time.Duration {
	var list []time.Duration
	for name, times := range r.times {
		if kind == "" || kind == name {
			list = append(list, times[len(times)/5:]...)
		}
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)))]
}

// playUneven runs a simulation with the given load, as a part of what the endpoints can process.
func playUneven(seed uint64, load float64, noise, notices bool) *unevenRun {
	r := &unevenRun{entries: 26, endpoints: 60, load: load, noise: noise, notices: notices, seed: seed}
	r.play(30 * time.Second)
	return r
}

// Guards against prompts that wait at slow or slowed VMs while others are free: with VMs that are
// slowed by others for moments, the first events come hardly later than without, at the same
// part of what the endpoints can process.
func TestUnevenVMs(t *testing.T) {
	g := NewWithT(t)
	const load, maxRatio, seeds = 0.7, 1.3, 6
	var steady, noisy time.Duration
	for seed := range uint64(seeds) {
		steady += playUneven(seed, load, false, true).quantile("", 0.95) / seeds
		noisy += playUneven(seed, load, true, true).quantile("", 0.95) / seeds
	}
	g.Expect(noisy.Seconds()/steady.Seconds()).To(BeNumerically("<=", maxRatio), "%s with noise, %s without", noisy, steady)
}

// Guards against short prompts that wait behind long ones which other entries have sent: what
// entries tell each other must shorten the slowest twentieth of the times to the first event by
// four tenths, and may not lengthen those of the long ones.
func TestShortPromptsAvoidLongOnes(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []float64{0.5, 0.7} {
		alone, shared := playUneven(1, load, true, false), playUneven(1, load, true, true)
		for _, kind := range promptKinds {
			before, after := alone.quantile(kind.name, 0.95), shared.quantile(kind.name, 0.95)
			if kind.name != "long" {
				before = before * 6 / 10
			}
			g.Expect(after).To(BeNumerically("<=", before), "%s at load %.1f: %s allowed, %s with", kind.name, load, before, after)
		}
		g.Expect(shared.quantile("chat", 0.95)).To(BeNumerically("<", 500*time.Millisecond))
	}
}

// Guards against a pace that a few slow events decide.
func TestPaceIsThatOfUndisturbedEvents(t *testing.T) {
	g := NewWithT(t)
	p := &pace{}
	for n := range 300 {
		seconds := 0.02
		if n%4 == 0 {
			seconds = 0.3
		}
		p.observe(seconds)
	}
	p.observe(0)
	g.Expect(p.seconds).To(BeNumerically("~", 0.02, 0.004))
}

// Guards against a reported slowdown that counts long after it has ended.
func TestReportedSlowdownAges(t *testing.T) {
	g := NewWithT(t)
	s := &stats{slowness: 1, reportedLoad: port.EndpointLoad{Slowdown: 2.5}, reportedAt: start}
	g.Expect(s.slownessAt(0, start)).To(Equal(2.5))
	g.Expect(s.slownessAt(0, start.Add(slowdownTime))).To(BeNumerically("<", 1.6))
	g.Expect(s.slownessAt(0, start.Add(10*slowdownTime))).To(BeNumerically("~", 1, 0.01))
}
