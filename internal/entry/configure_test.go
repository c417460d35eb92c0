package entry

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/admit"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// singleDaemonCluster is a cluster without other daemons.
type singleDaemonCluster struct{}

func (singleDaemonCluster) Peers() []member.Peer                  { return nil }
func (singleDaemonCluster) Domains(time.Time) []member.DomainView { return nil }
func (singleDaemonCluster) SetPayload(string, []byte) error       { return nil }
func (singleDaemonCluster) Payloads(string) []member.Payload      { return nil }
func (singleDaemonCluster) Fetch(context.Context, string, string, string) ([]*member.Endpoint, error) {
	return nil, nil
}

const (
	configureRounds = 300
	configureCalls  = 8
)

// Guards against requests that are refused for an unknown rank because they
// arrive while another goroutine applies the first configuration.
func TestConcurrentRequestsSeeCompleteConfiguration(t *testing.T) {
	doc := &conf.Document{Ranks: []conf.Rank{{Name: "urgent", MaxWaitMS: 1000}}}
	for range configureRounds {
		store := conf.NewStore()
		store.Install(1, doc, "digest", time.Now())
		s := New(Options{Config: store, Registry: member.NewRegistry(), Cluster: singleDaemonCluster{}, Metrics: telemetry.NewRegistry(), Log: zap.NewNop()})
		start := make(chan struct{})
		refusals := make(chan error, configureCalls)
		var group sync.WaitGroup
		for range configureCalls {
			group.Go(func() {
				<-start
				s.configure()
				_, _, err := s.pools.get("m", time.Now()).admitter.Offer(admit.Request{Workspace: "w", Caller: "c"}, time.Now())
				refusals <- err
			})
		}
		close(start)
		group.Wait()
		s.Close()
		close(refusals)
		for err := range refusals {
			var refused *admit.RefusedError
			if errors.As(err, &refused) && refused.Reason == admit.UnknownRank {
				t.Fatalf("request refused while the configuration is put in force: %v", err)
			}
		}
	}
}
