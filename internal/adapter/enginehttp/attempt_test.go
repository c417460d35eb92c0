package enginehttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/attempt"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/standin/engine"
)

// driver executes the actions of one attempt.Machine with a Client.
type driver struct {
	client  *Client
	req     endpoint.GenerateRequest
	engines []*engine.Engine
	machine *attempt.Machine
	// events are applied to the machine one at a time.
	events        chan func() []attempt.Action
	cancel        map[string]context.CancelFunc
	failedEngines map[string]bool
	text          strings.Builder
	attempts      int
	outcome       *attempt.Action
}

// run executes a request until it has an outcome.
func (d *driver) run() {
	d.perform(d.machine.Begin())
	for d.outcome == nil {
		d.perform((<-d.events)())
	}
}

func (d *driver) perform(actions []attempt.Action) {
	for _, a := range append([]attempt.Action(nil), actions...) {
		switch a.Kind {
		case attempt.Ask:
			d.attempts++
			id := fmt.Sprintf("%s-%d", d.req.RequestID, d.attempts)
			d.perform(d.machine.Granted(id, d.chooseEngine()))
		case attempt.Send:
			d.send(a.Attempt, a.Endpoint)
		case attempt.Deliver:
			d.text.WriteString(a.Text)
		case attempt.Cancel:
			d.cancel[a.Attempt]()
		default:
			d.outcome = &a
		}
	}
}

// chooseEngine distributes the attempts over the engines on which no attempt of
// this request has failed.
func (d *driver) chooseEngine() string {
	for i := range d.engines {
		url := d.engines[(i+len(d.req.Prompt)+d.attempts)%len(d.engines)].BaseURL()
		if !d.failedEngines[url] {
			return url
		}
	}
	return d.engines[0].BaseURL()
}

func (d *driver) send(id, url string) {
	req := d.req
	req.AttemptID = id
	req.Emitted, req.EmittedTokens, _ = d.machine.Sent(id)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel[id] = cancel
	go func() {
		stream, err := d.client.Generate(ctx, url, &req)
		for err == nil {
			var frame endpoint.Frame
			if err = stream.Next(&frame); err == nil {
				d.events <- func() []attempt.Action { return d.machine.Frame(id, &frame) }
			}
		}
		if stream != nil {
			_ = stream.Close()
		}
		d.events <- func() []attempt.Action { return d.handleError(id, url, err) }
	}()
}

func (d *driver) handleError(id, url string, err error) []attempt.Action {
	var refused *port.RefusedError
	var transportErr *port.TransportError
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case errors.As(err, &refused):
		d.failedEngines[url] = true
		return d.machine.Refused(id, refused.Body.Run, err)
	case errors.As(err, &transportErr):
		d.failedEngines[url] = true
		return d.machine.Lost(id, transportErr.Sent, err)
	}
	return d.machine.Abandon(err)
}

var _ = Describe("attempts over real connections", func() {
	// Guards against incomplete or wrong answers while engines crash, leave, go
	// silent and send wrong frames.
	It("complete every answer despite failing engines", func() {
		const requests, tokens = 40, 300
		ledger := engine.NewLedger()
		var engines []*engine.Engine
		for i, fault := range []engine.FrameFaultKind{engine.DuplicateFrames, engine.CrossFrames, engine.NoFrameFault, engine.NoFrameFault, engine.NoFrameFault, engine.GarbageFrames} {
			e := startEngine(engine.Config{ID: fmt.Sprint(i), Slots: 64, TimeScale: 0.2, Ledger: ledger, PingInterval: 50 * time.Millisecond})
			e.SetFrameFault(engine.FrameFault{Kind: fault, Every: 20})
			engines = append(engines, e)
		}
		client := NewClient(WithIdleTimeout(200*time.Millisecond), WithHeaderTimeout(200*time.Millisecond))
		var drivers []*driver
		var wg sync.WaitGroup
		for i := range requests {
			d := &driver{
				client: client, engines: engines, events: make(chan func() []attempt.Action, 10_000),
				cancel: make(map[string]context.CancelFunc), failedEngines: make(map[string]bool),
				req:     endpoint.GenerateRequest{RequestID: fmt.Sprint(i), Model: model, Prompt: strings.Repeat("p", i), MaxTokens: tokens},
				machine: attempt.New(attempt.Config{MaxTokens: tokens}),
			}
			drivers = append(drivers, d)
			wg.Go(d.run)
		}
		time.Sleep(300 * time.Millisecond)
		engines[2].ReclaimNotice(400 * time.Millisecond)
		for _, d := range drivers {
			d.events <- func() []attempt.Action {
				d.failedEngines[engines[2].BaseURL()] = true
				return d.machine.Notice(engines[2].BaseURL())
			}
		}
		engines[3].Crash()
		engines[4].SilenceConnections()
		wg.Wait()
		takeovers := 0
		for _, d := range drivers {
			Expect(d.outcome.Kind).To(Equal(attempt.Finish), "%v", d.outcome.Cause)
			Expect(d.text.String()).To(Equal(engine.Answer(model, "", d.req.Prompt, tokens)))
			takeovers += d.machine.Stats().Takeovers
		}
		Expect(takeovers).To(BeNumerically(">", 0))
		AddReportEntry("totals", fmt.Sprintf("%+v, %d takeovers", ledger.Totals(), takeovers))
	})
})
