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
	publishKeyCount = 48
	// publishTimeout bounds how long a caller resends a call. It is well above the
	// 6 s after which the claims of a dead daemon end.
	publishTimeout = 25 * time.Second
)

// publishFaults is the sequence of faults that a service applies to its calls; it repeats.
var publishFaults = []service.Fault{
	service.NoFault, service.CutAfter, service.FailBefore, service.NoFault, service.FailAfter,
	service.CutAnswer, service.NoFault, service.HangAfter, service.FailBefore, service.HangBefore,
}

// publisher resends the call with one key until its outcome is known.
type publisher struct {
	system *system
	number int
	// soleCaller is set if no other caller uses the key.
	soleCaller   bool
	lastResponse response
	// violations counts refusals that reported not_run although the call had run.
	violations int
}

func (p *publisher) path() string { return fmt.Sprintf("/portfolios/p%d", p.number) }
func (p *publisher) key() string  { return fmt.Sprintf("key-%d", p.number) }

func (p *publisher) run() {
	client := newClient()
	defer client.CloseIdleConnections()
	onlyNotRun := true
	for attempt, giveUpAt := p.number, time.Now().Add(publishTimeout); time.Now().Before(giveUpAt); attempt++ {
		resp, err := publish(p.system.daemon(attempt), client, p.path(), p.key(), `{"page":1}`)
		onlyNotRun = onlyNotRun && err == nil && resp.run == "not_run"
		if onlyNotRun && p.soleCaller && p.system.pathRuns(p.path()) > 0 {
			p.violations++
		}
		if err == nil {
			p.lastResponse = resp
		}
		if err == nil && (resp.code == "" || resp.code == "outcome_unknown" && resp.header.Get("Retry-After") == "") {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// sendUnkeyedCalls sends calls without a key, each once, until stop is set. It
// counts calls that ran more than once or whose response contradicts the runs.
func (s *system) sendUnkeyedCalls(stop *atomic.Bool, calls, violations *atomic.Int64) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ; !stop.Load(); time.Sleep(10 * time.Millisecond) {
		number := calls.Add(1)
		path := fmt.Sprintf("/portfolios/single-%d", number)
		resp, err := publish(s.daemon(int(number)), client, path, "", `{}`)
		runs := s.pathRuns(path)
		if runs > 1 || err == nil && (resp.run == "not_run" && runs != 0 || resp.status == 201 && runs != 1) {
			violations.Add(1)
		}
	}
}

var _ = Describe("Non-idempotent calls under failures", func() {
	// Guards against a call that runs twice, or that is refused as not_run after
	// it ran, when endpoints fail and the log leader is killed during resends.
	It("run at most once while the log leader is killed and restarted", func() {
		s := newSystem(rig.Config{Daemons: 4, Domains: 1})
		for _, endpoint := range s.addServices(3) {
			var script []service.Fault
			for range 20 {
				script = append(script, publishFaults...)
			}
			endpoint.SetFaults(script...)
		}
		var publishers []*publisher
		var keyed, unkeyed sync.WaitGroup
		for number := range publishKeyCount {
			soleCaller := number%2 == 0
			publishers = append(publishers, &publisher{system: s, number: number, soleCaller: soleCaller})
			if !soleCaller {
				publishers = append(publishers, &publisher{system: s, number: number})
			}
		}
		var stop atomic.Bool
		var calls, violations atomic.Int64
		for range 4 {
			unkeyed.Go(func() { s.sendUnkeyedCalls(&stop, &calls, &violations) })
		}
		// The callers start one after the other over 2.5 s, so that the kills hit
		// calls in every state.
		for i, p := range publishers {
			keyed.Go(func() {
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
		keyed.Wait()
		stop.Store(true)
		unkeyed.Wait()

		Expect(s.ServiceLedger.Repeated()).To(BeEmpty())
		Expect(violations.Load()).To(BeZero(), "calls without a key that ran twice or got a wrong response")
		records := make(map[int]string)
		outcomes := make(map[string]int)
		for _, p := range publishers {
			Expect(p.violations).To(BeZero(), p.key())
			runs := s.pathRuns(p.path())
			Expect(runs).To(BeNumerically("<=", 1), p.key())
			outcomes[fmt.Sprint(p.lastResponse.status, p.lastResponse.code)]++
			if p.lastResponse.status != 201 {
				continue
			}
			Expect(runs).To(Equal(1), p.key())
			if first, known := records[p.number]; known {
				Expect(p.lastResponse.body).To(Equal(first), "callers of %s got different records", p.key())
			}
			records[p.number] = p.lastResponse.body
		}
		GinkgoWriter.Printf("outcomes of %d callers with a key: %v; %d calls without a key\n", len(publishers), outcomes, calls.Load())
		Expect(records).NotTo(BeEmpty())

		for number := range records {
			path := fmt.Sprintf("/portfolios/p%d", number)
			resp, err := publish(s.daemon(number), newClient(), path, fmt.Sprintf("key-%d", number), `{"page":2}`)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.status).To(Equal(422), resp.body)
			Expect(resp.run).To(Equal("not_run"))
			Expect(s.pathRuns(path)).To(Equal(1))
		}
	})

	// Guards against calls with a key that are sent without a claim, and against
	// refused calls without a key, while the log has no quorum.
	It("are refused with a key and run once without a key while there is no quorum", func() {
		s := newSystem(rig.Config{Daemons: 4, Domains: 1})
		s.addServices(2)
		s.daemon(0).Kill()
		s.daemon(1).Kill()
		client := newClient()
		for _, number := range []int{2, 3} {
			path := fmt.Sprintf("/portfolios/no-quorum-%d", number)
			resp, err := publish(s.daemon(number), client, path, "no-quorum", `{}`)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.code).To(Equal("no_quorum"), resp.body)
			Expect(resp.run).To(Equal("not_run"))
			Expect(s.pathRuns(path)).To(BeZero())
			resp, err = publish(s.daemon(number), client, path, "", `{}`)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.status).To(Equal(201), resp.body)
			Expect(s.pathRuns(path)).To(Equal(1))
		}
		s.restart(0)
		Eventually(func() int {
			resp, err := publish(s.daemon(2), client, "/portfolios/later", "later", `{}`)
			Expect(err).NotTo(HaveOccurred())
			return resp.status
		}, 10*time.Second, 100*time.Millisecond).Should(Equal(201))
		Expect(s.pathRuns("/portfolios/later")).To(Equal(1))
	})
})
