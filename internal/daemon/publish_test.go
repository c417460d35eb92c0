package daemon_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/standin/service"
)

const (
	publishKeys = 48
	// publishTime bounds how long a caller resends: claims of a dead daemon end after 6 s.
	publishTime = 25 * time.Second
)

// publishFaults is the cycle of what goes wrong with the calls of a service.
var publishFaults = []service.Fault{
	service.NoFault, service.CutAfter, service.FailBefore, service.NoFault, service.FailAfter,
	service.CutAnswer, service.NoFault, service.HangAfter, service.FailBefore, service.HangBefore,
}

// publisher resends the call of one key until its outcome is known.
type publisher struct {
	system *system
	number int
	// alone is set when no other caller uses the key.
	alone bool
	// ended is the last answer; lied counts refusals that said not_run of a key that had run.
	ended answer
	lied  int
}

func (p *publisher) path() string { return fmt.Sprintf("/portfolios/p%d", p.number) }
func (p *publisher) key() string  { return fmt.Sprintf("key-%d", p.number) }

func (p *publisher) run() {
	client := newClient()
	defer client.CloseIdleConnections()
	onlyNotRun := true
	for try, until := p.number, time.Now().Add(publishTime); time.Now().Before(until); try++ {
		a, err := publish(p.system.daemon(try), client, p.path(), p.key(), `{"page":1}`)
		onlyNotRun = onlyNotRun && err == nil && a.run == "not_run"
		if onlyNotRun && p.alone && p.system.pathRuns(p.path()) > 0 {
			p.lied++
		}
		if err == nil {
			p.ended = a
		}
		if err == nil && (a.code == "" || a.code == "outcome_unknown" && a.header.Get("Retry-After") == "") {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// single sends calls without a key, each once, and reports untrue refusals.
func (s *system) single(stop *atomic.Bool, calls, lied *atomic.Int64) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ; !stop.Load(); time.Sleep(10 * time.Millisecond) {
		number := calls.Add(1)
		path := fmt.Sprintf("/portfolios/single-%d", number)
		a, err := publish(s.daemon(int(number)), client, path, "", `{}`)
		runs := s.pathRuns(path)
		if runs > 1 || err == nil && (a.run == "not_run" && runs != 0 || a.status == 201 && runs != 1) {
			lied.Add(1)
		}
	}
}

var _ = Describe("Non-idempotent calls under failures", func() {
	// Guards against a publication that runs twice or is refused as not_run
	// after it ran, when endpoints fail and the log leader dies during resends.
	It("run at most once while the log leader is killed and started again", func() {
		s := newSystem(rig.Config{Daemons: 4, Domains: 1})
		for _, one := range s.addServices(3) {
			var script []service.Fault
			for range 20 {
				script = append(script, publishFaults...)
			}
			one.Script(script...)
		}
		var publishers []*publisher
		var group, singles sync.WaitGroup
		for number := range publishKeys {
			alone := number%2 == 0
			publishers = append(publishers, &publisher{system: s, number: number, alone: alone})
			if !alone {
				publishers = append(publishers, &publisher{system: s, number: number})
			}
		}
		var stop atomic.Bool
		var calls, lied atomic.Int64
		for range 4 {
			singles.Go(func() { s.single(&stop, &calls, &lied) })
		}
		// The callers start over 2.5 s, so that kills hit calls in each state.
		for i, p := range publishers {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 35 * time.Millisecond)
				p.run()
			})
		}
		for range 2 {
			time.Sleep(600 * time.Millisecond)
			leader := s.leader()
			s.daemon(leader).Kill()
			time.Sleep(500 * time.Millisecond)
			s.restart(leader)
		}
		group.Wait()
		stop.Store(true)
		singles.Wait()

		Expect(s.ServiceLedger.Repeated()).To(BeEmpty())
		Expect(lied.Load()).To(BeZero(), "calls without a key that ran twice or were refused untruthfully")
		records := make(map[int]string)
		outcomes := make(map[string]int)
		for _, p := range publishers {
			Expect(p.lied).To(BeZero(), p.key())
			runs := s.pathRuns(p.path())
			Expect(runs).To(BeNumerically("<=", 1), p.key())
			outcomes[fmt.Sprint(p.ended.status, p.ended.code)]++
			if p.ended.status != 201 {
				continue
			}
			Expect(runs).To(Equal(1), p.key())
			if first, known := records[p.number]; known {
				Expect(p.ended.body).To(Equal(first), "callers of %s got different records", p.key())
			}
			records[p.number] = p.ended.body
		}
		GinkgoWriter.Printf("%d keyed callers ended: %v; %d calls without a key\n", len(publishers), outcomes, calls.Load())
		Expect(records).NotTo(BeEmpty())

		for number := range records {
			path := fmt.Sprintf("/portfolios/p%d", number)
			a, err := publish(s.daemon(number), newClient(), path, fmt.Sprintf("key-%d", number), `{"page":2}`)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(422), a.body)
			Expect(a.run).To(Equal("not_run"))
			Expect(s.pathRuns(path)).To(Equal(1))
		}
	})

	// Guards against a keyed call that is sent without a claim, and against an
	// outage of calls without a key while the log has no quorum.
	It("are refused with a key and served once without one while there is no quorum", func() {
		s := newSystem(rig.Config{Daemons: 4, Domains: 1})
		s.addServices(2)
		s.daemon(0).Kill()
		s.daemon(1).Kill()
		client := newClient()
		for _, number := range []int{2, 3} {
			path := fmt.Sprintf("/portfolios/no-quorum-%d", number)
			a, err := publish(s.daemon(number), client, path, "no-quorum", `{}`)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.code).To(Equal("no_quorum"), a.body)
			Expect(a.run).To(Equal("not_run"))
			Expect(s.pathRuns(path)).To(BeZero())
			a, err = publish(s.daemon(number), client, path, "", `{}`)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(201), a.body)
			Expect(s.pathRuns(path)).To(Equal(1))
		}
		s.restart(0)
		Eventually(func() int {
			a, err := publish(s.daemon(2), client, "/portfolios/later", "later", `{}`)
			Expect(err).NotTo(HaveOccurred())
			return a.status
		}, 10*time.Second, 100*time.Millisecond).Should(Equal(201))
		Expect(s.pathRuns("/portfolios/later")).To(Equal(1))
	})
})
