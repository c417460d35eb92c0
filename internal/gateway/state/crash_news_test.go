package state_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/adapter/peerrpc"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/gateway/entry"
	"github.com/boragelead/boragelead/internal/gateway/link"
)

// Guards against entries that learn of a crash only with their next poll, and
// against polls that do not wait any more after a crash.
func TestCrashEndsTheWaitOfPolls(t *testing.T) {
	gr := newGroup(t)
	const ip, wait = "127.0.0.1", 2 * time.Second
	request := &link.PollRequest{Entry: "e1", WaitMS: wait.Milliseconds()}
	gr.eventuallyPut(ip, document(1, "one"))
	first := gr.poll(ip, request)
	request.ReplicaRun, request.RegistryVersion, request.Generation = first.ReplicaRun, first.RegistryVersion, first.Generation
	tracker := suspect.NewTracker(entry.Quarantine)
	part := suspect.NewPartFingerprint("app", 1)
	tracker.Crash("e", 1, []suspect.Fingerprint{part}, time.Now())
	records, _, err := tracker.Changes(0, true, time.Now())
	gr.g.Expect(err).NotTo(HaveOccurred())
	report, err := link.Encode(&link.CrashRequest{Entry: "e2", Crashes: records})
	gr.g.Expect(err).NotTo(HaveOccurred())
	start := time.Now()
	go func() {
		time.Sleep(100 * time.Millisecond)
		caller := peerrpc.New(peerrpc.Options{})
		defer caller.Close()
		_, _ = caller.Call(t.Context(), gr.nodes[ip].address, link.MethodCrashes, report)
	}()
	reply := gr.poll(ip, request)
	gr.g.Expect(reply.Crashes).NotTo(BeEmpty())
	gr.g.Expect(time.Since(start)).To(BeNumerically("<", wait/2))
	request.CrashVersion = reply.CrashVersion
	start = time.Now()
	gr.g.Expect(gr.poll(ip, request).Crashes).To(BeEmpty())
	gr.g.Expect(time.Since(start)).To(BeNumerically(">=", wait*9/10))
}
