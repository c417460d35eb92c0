package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/platform"
)

// fakeRollouts answers orders. The first failures ones get no clear answer.
type fakeRollouts struct {
	failures atomic.Int32
	order    rollout.Order
	err      error
}

func (f *fakeRollouts) answer(phase rollout.Phase) (rollout.Record, error) {
	if f.failures.Add(-1) >= 0 {
		return rollout.Record{}, &port.NoQuorumError{Group: "main", Err: context.DeadlineExceeded}
	}
	return rollout.Record{Service: "chat", To: "v2", Phase: phase, Reason: rollout.ReasonOrdered}, f.err
}

func (f *fakeRollouts) StartRollout(_ context.Context, o rollout.Order, _ string) (rollout.Record, error) {
	f.order = o
	return f.answer(rollout.Canary)
}

func (f *fakeRollouts) AbortRollout(context.Context, string, string) (rollout.Record, error) {
	return f.answer(rollout.Reverted)
}

func (f *fakeRollouts) Rollout(context.Context, string) (rollout.Record, error) {
	return f.answer(rollout.Completed)
}

var _ = Describe("Commands for roll-outs", func() {
	var replicas fakeRollouts
	var server *httptest.Server
	var out, errs bytes.Buffer
	run := func(args ...string) int {
		out.Reset()
		errs.Reset()
		address := strings.TrimPrefix(server.URL, "http://")
		return newApp(&out, &errs).run(context.Background(), append([]string{"rollout", args[0], "--address", address}, args[1:]...))
	}
	BeforeEach(func() {
		replicas.failures.Store(0)
		replicas.err = nil
		server = httptest.NewServer(platform.ControlHandler(nil, nil, &replicas))
		DeferCleanup(server.Close)
	})

	// Guards against an order that is changed on its way, and against a command that gives up
	// while the replicas have no leader.
	It("start, show and abort", func() {
		replicas.failures.Store(2)
		Expect(run("start", "--duration", "10m", "chat", "v2")).To(Equal(exitOK), errs.String())
		Expect(replicas.order).To(Equal(rollout.Order{Service: "chat", To: "v2", Duration: 600e9}))
		Expect(out.String()).To(Equal("in_service to v2, canary: ordered\n"))
		Expect(run("show", "--json", "chat")).To(Equal(exitOK), errs.String())
		var info platform.RolloutInfo
		Expect(json.Unmarshal(out.Bytes(), &info)).To(Succeed())
		Expect(info.State).To(Equal("completed"))
		Expect(run("abort", "chat")).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(HavePrefix("reverted to v2"))
	})

	// Guards against an operator who learns of the last, unsent call only, although an earlier call of the order took effect.
	It("say that an order may have taken effect if its answer was lost", func() {
		inner, carriedOut := server.Config.Handler, make(chan struct{}, 1)
		server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			inner.ServeHTTP(httptest.NewRecorder(), r)
			carriedOut <- struct{}{}
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		})
		Expect(run("start", "--duration", "10m", "--timeout", "400ms", "chat", "v2")).NotTo(Equal(exitOK))
		Expect(carriedOut).To(Receive())
		Expect(replicas.order).To(Equal(rollout.Order{Service: "chat", To: "v2", Duration: 600e9}))
		Expect(errs.String()).To(MatchRegexp("outcome is unknown|may (still )?(have taken|take) effect"))
	})

	// Guards against a refusal that a script takes for a success or for another one.
	It("tell refusals apart by exit code", func() {
		Expect(run("start", "chat", "v2")).To(Equal(exitUsage))
		replicas.err = &rollout.RunningError{Service: "chat", To: "v3"}
		Expect(run("start", "--duration", "10m", "chat", "v2")).To(Equal(exitConflict))
		replicas.err = &rollout.NoneError{Service: "chat"}
		Expect(run("show", "chat")).To(Equal(exitNotFound))
		replicas.err = &port.NoQuorumError{Group: "main", Err: context.DeadlineExceeded}
		Expect(run("abort", "--timeout", "300ms", "chat")).To(Equal(exitNoQuorum))
		server.Close()
		Expect(run("show", "--timeout", "300ms", "chat")).To(Equal(exitUnreachable), errs.String())
	})
})
