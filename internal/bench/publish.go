package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/standin/service"
)

const (
	// publishRate is the number of non-idempotent calls per second.
	publishRate = 25
	// publishTries bounds the sends of one call with one key.
	publishTries = 3
	publishWait  = 3 * time.Second
	publishPause = 50 * time.Millisecond
	// faultEvery is the mean number of calls per scripted fault of a service.
	faultEvery = 5
	runNotRun  = "not_run"
)

// Publications is the check of non-idempotent calls against what the services ran.
type Publications struct {
	Calls int `json:"calls"`
	Sends int `json:"sends"`
	// Done, Refused and Unknown count calls by their last answer.
	Done    int `json:"done"`
	Refused int `json:"refused_not_run"`
	Unknown int `json:"unknown"`
	// Doubled counts calls that ran more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun counts answers "not run" to calls that had run.
	FalseNotRun int `json:"false_not_run"`
	// Missing counts calls that were answered as done and did not run.
	Missing int `json:"missing"`
}

// publisher sends non-idempotent calls and resends them with the same key
// when the answer is lost or is a refusal.
type publisher struct {
	rig    *rig.Rig
	target *balancer
	key    string
	path   string
	method string
	client *http.Client
	random *rand.Rand
	mu     sync.Mutex
	result Publications
	done   []string
	bodies []string
}

func newPublisher(r *rig.Rig, target *balancer, key string, seed uint64) (*publisher, error) {
	for _, s := range r.Document().Services {
		for _, rule := range s.Rules {
			if !rule.Idempotent {
				return &publisher{
					rig: r, target: target, key: key, method: rule.Method, path: publishPath(s, rule),
					client: &http.Client{Timeout: publishWait}, random: rand.New(rand.NewPCG(seed, 2)),
				}, nil
			}
		}
	}
	return nil, &DocumentError{Reason: "it has no service with non-idempotent calls"}
}

func publishPath(s conf.Service, rule conf.ServiceRule) string {
	return "/services/" + s.Name + rule.PathPrefix + "measure"
}

// run sends calls until the context ends, and waits for their answers.
func (p *publisher) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; pause(ctx, time.Duration(p.random.ExpFloat64()*float64(time.Second)/publishRate)); number++ {
		p.scriptFault()
		body := fmt.Sprintf(`{"publication":%d}`, number)
		p.mu.Lock()
		p.bodies = append(p.bodies, body)
		p.mu.Unlock()
		group.Go(func() { p.publish(body, fmt.Sprintf("measure-%d", number)) })
	}
}

// scriptFault now and then makes the next call of a random service fail.
func (p *publisher) scriptFault() {
	kinds := []service.Fault{service.FailBefore, service.FailAfter, service.HangBefore, service.HangAfter, service.CutAfter, service.CutAnswer}
	services := p.rig.Services()
	if p.random.IntN(faultEvery) == 0 {
		services[p.random.IntN(len(services))].Script(kinds[p.random.IntN(len(kinds))])
	}
}

// publish sends one call until it is answered as done or the tries are used up.
func (p *publisher) publish(body, key string) {
	status, run := 0, ""
	sends := 0
	for sends < publishTries && !isDone(status) {
		status, run = p.send(body, key)
		sends++
		if run == runNotRun && p.runsOf(body) > 0 {
			p.mu.Lock()
			p.result.FalseNotRun++
			p.mu.Unlock()
		}
		if !isDone(status) {
			time.Sleep(publishPause)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Calls++
	p.result.Sends += sends
	switch {
	case isDone(status):
		p.result.Done++
		p.done = append(p.done, body)
	case run == runNotRun:
		p.result.Refused++
	default:
		p.result.Unknown++
	}
}

func isDone(status int) bool { return status >= 200 && status < 300 }

// send sends a call once. The state of a lost answer is empty.
func (p *publisher) send(body, key string) (status int, run string) {
	req, err := http.NewRequest(p.method, p.target.next().BaseURL+p.path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	req.Header.Set("Idempotency-Key", key)
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var answer struct {
		Error struct {
			Run string `json:"run"`
		} `json:"error"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	if isDone(resp.StatusCode) && err != nil {
		return 0, ""
	}
	return resp.StatusCode, answer.Error.Run
}

func (p *publisher) runsOf(body string) int {
	count := 0
	for _, run := range p.rig.ServiceLedger.Runs() {
		if run.Body == body {
			count++
		}
	}
	return count
}

// check compares all answers with the ledger of the services.
func (p *publisher) check() *Publications {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, body := range p.bodies {
		if p.runsOf(body) > 1 {
			p.result.Doubled++
		}
	}
	for _, body := range p.done {
		if p.runsOf(body) == 0 {
			p.result.Missing++
		}
	}
	return &p.result
}
