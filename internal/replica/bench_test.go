package replica_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/replica"
)

// Numbers of concurrent claimers. With one sync per claim, more claimers would only
// wait longer, and their requests would exceed the time after which a client resends.
const (
	groupCommitClaimers = 512
	unbatchedClaimers   = 64
)

// BenchmarkClaims measures the throughput and latency of claims on three replicas with
// synced writes. It measures with group commit and with one sync per claim, both on the
// disk of the machine and with 2 ms added to each sync.
func BenchmarkClaims(b *testing.B) {
	for _, v := range []struct {
		name     string
		batch    int
		sync     time.Duration
		claimers int
	}{
		{"group", 0, 0, groupCommitClaimers},
		{"single", 1, 0, unbatchedClaimers},
		{"group-2ms-sync", 0, 2 * time.Millisecond, groupCommitClaimers},
		{"single-2ms-sync", 1, 2 * time.Millisecond, unbatchedClaimers},
	} {
		b.Run(v.name, func(b *testing.B) {
			c := newCluster(b, 3, func(o *replica.Options) {
				o.MaxBatch, o.FS = v.batch, &slowFS{o.FS, v.sync}
			})
			leader := c.nodes[c.leader()]
			syncs := c.status(c.leader()).Syncs
			var next atomic.Int64
			var wait sync.WaitGroup
			times := make([][]time.Duration, v.claimers)
			b.ResetTimer()
			for w := range v.claimers {
				wait.Add(1)
				go func() {
					defer wait.Done()
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						begin := time.Now()
						key := fmt.Sprintf("%s-%d", b.Name(), n)
						if _, err := leader.Claim(context.Background(), claimRequest(key, key)); err != nil {
							b.Error(err)
						}
						times[w] = append(times[w], time.Since(begin))
					}
				}()
			}
			wait.Wait()
			b.StopTimer()
			all := slices.Concat(times...)
			slices.Sort(all)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(b.N)/float64(c.status(c.leader()).Syncs-syncs), "claims/sync")
		})
	}
}

// slowFS adds a delay to every sync, to simulate a network disk.
type slowFS struct {
	wal.FS
	syncDelay time.Duration
}

type slowFile struct {
	wal.File
	syncDelay time.Duration
}

func (s *slowFS) Append(name string) (wal.File, error) {
	f, err := s.FS.Append(name)
	return &slowFile{f, s.syncDelay}, err
}

func (s *slowFS) Create(name string) (wal.File, error) {
	f, err := s.FS.Create(name)
	return &slowFile{f, s.syncDelay}, err
}

func (s *slowFile) Sync() error {
	time.Sleep(s.syncDelay)
	return s.File.Sync()
}

// BenchmarkSync measures one write of the size of a claim with its sync. This is the
// lower bound for the latency of a claim without group commit.
func BenchmarkSync(b *testing.B) {
	file, err := os.Create(b.TempDir() + "/sync")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	data := make([]byte, 256)
	for b.Loop() {
		if _, err := file.Write(data); err != nil {
			b.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkServiceGap measures the longest time between two granted claims while the
// leader is stopped, at default settings. b.N is the number of stops.
func BenchmarkServiceGap(b *testing.B) {
	c := newCluster(b, 3, nil)
	ctx := context.Background()
	var gaps []time.Duration
	for round := range b.N {
		client, last, gap := c.client(), time.Now(), time.Duration(0)
		stopped := -1
		for i := 0; time.Since(last) < 10*time.Second && (stopped < 0 || i < 400); i++ {
			key := fmt.Sprintf("%d-%d-%d", b.N, round, i)
			result, err := client.Claim(ctx, claimRequest(key, key))
			if err == nil && result.State == port.ClaimGranted {
				gap, last = max(gap, time.Since(last)), time.Now()
			}
			if i == 100 {
				stopped = c.leader()
				last = time.Now()
				// Closing the connections without Resign simulates a crash.
				go c.stop(stopped)
			}
		}
		gaps = append(gaps, gap)
		time.Sleep(100 * time.Millisecond)
		c.start(stopped)
		c.waitVoters(3)
	}
	slices.Sort(gaps)
	b.ReportMetric(gaps[len(gaps)/2].Seconds(), "median-gap-s")
	b.ReportMetric(gaps[len(gaps)-1].Seconds(), "max-gap-s")
}
