package entry

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// silentReplica is a caller whose replicas never answer.
type silentReplica struct{ called chan struct{} }

func (r *silentReplica) Call(ctx context.Context, _, _ string, _ []byte) ([]byte, error) {
	select {
	case r.called <- struct{}{}:
	default:
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (r *silentReplica) Notify(context.Context, string, string, []byte) error { return nil }

// Guards against an entry that never ends when it is closed during a transfer of a
// document.
func TestCloseEndsATransfer(t *testing.T) {
	g := NewWithT(t)
	replica := &silentReplica{called: make(chan struct{}, 1)}
	e := New(Options{Settings: &settings.Gateway{Name: "e"}, Caller: replica, Log: zap.NewNop(), Metrics: telemetry.NewRegistry()})
	e.documents.offer("r", 1)
	e.Start()
	g.Eventually(replica.called).Should(Receive())
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		e.Close()
	}()
	g.Eventually(closed, "2s").Should(BeClosed())
}

// Guards against an entry that asks two unreachable replicas for the document in turn, because the pause after a failure is
// shorter than a call, and never one that it reaches.
func TestUnreachableReplicasDoNotKeepADocumentFromAnEntry(t *testing.T) {
	g := NewWithT(t)
	e := New(Options{Settings: &settings.Gateway{Name: "e"}, Log: zap.NewNop(), Metrics: telemetry.NewRegistry()})
	replicas := []string{"a", "b", "c", "d"}
	for _, replica := range replicas {
		e.documents.offer(replica, 1)
	}
	now, asked := time.Now(), map[string]bool{}
	for range replicas {
		replica, _ := e.documents.nextReplica(now)
		asked[replica] = true
		now = now.Add(documentCallTimeout)
		e.documents.noteFailure(replica, now)
	}
	g.Expect(asked).To(HaveLen(len(replicas)))
}
