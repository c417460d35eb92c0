package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/standin/service"
)

// serviceTimeoutMS replaces the 10 s of the example, so that calls that hang end early.
const serviceTimeoutMS = "1500"

// system is a rig whose daemons can be killed and started again on their
// addresses and data folders.
type system struct {
	*rig.Rig
	document []byte
	mu       sync.Mutex
	settings []*settings.Settings
	daemons  []*daemon.Daemon
}

func newSystem(config rig.Config) *system {
	data, err := os.ReadFile("../../examples/portfolio.json")
	Expect(err).NotTo(HaveOccurred())
	s := &system{}
	s.document = bytes.Replace(data, []byte(`"timeout_ms": 10000`), []byte(`"timeout_ms": `+serviceTimeoutMS), 1)
	config.Document = s.document
	config.Settings = func(one *settings.Settings) {
		one.DrainWaitMS = 100
		s.settings = append(s.settings, one)
	}
	s.Rig, err = rig.Start(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	s.daemons = s.Rig.Daemons()
	s.awaitVoters(min(3, len(s.daemons)))
	return s
}

// awaitVoters waits until the log has its full number of voters. A new log
// starts with one voter and adds the others; until then it outlives fewer losses.
func (s *system) awaitVoters(count int) {
	Eventually(func() int {
		status := s.daemon(s.leader()).ReplicaStatus()
		if status == nil {
			return 0
		}
		return len(status.Config.Voters)
	}, 10*time.Second, 20*time.Millisecond).Should(Equal(count))
}

// daemon returns the present life of a daemon.
func (s *system) daemon(number int) *daemon.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[number%len(s.daemons)]
}

// restart starts a killed daemon with its addresses and its data folder.
func (s *system) restart(number int) {
	old := s.daemon(number)
	config := *s.settings[number]
	config.Listen = settings.Listen{
		Callers: old.CallerAddress(), Endpoints: old.EndpointAddress(), Peers: old.PeerAddress(), Admin: old.AdminAddress(),
	}
	config.Peers = nil
	for _, other := range s.Rig.Daemons() {
		if other.Name() != old.Name() {
			config.Peers = append(config.Peers, settings.Peer{Name: other.Name(), Address: other.PeerAddress()})
		}
	}
	var again *daemon.Daemon
	Eventually(func() (err error) {
		again, err = daemon.Start(&config, zap.NewNop(), daemon.Options{})
		return err
	}, 5*time.Second, 50*time.Millisecond).Should(Succeed())
	DeferCleanup(again.Kill)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons[number] = again
}

// leader returns the number of the daemon whose replica leads the log.
func (s *system) leader() int {
	var found int
	Eventually(func() bool {
		s.mu.Lock()
		daemons := slices.Clone(s.daemons)
		s.mu.Unlock()
		found = slices.IndexFunc(daemons, (*daemon.Daemon).IsLeader)
		return found >= 0
	}, 10*time.Second, 20*time.Millisecond).Should(BeTrue(), "no leader")
	return found
}

func (s *system) addServices(count int) []*service.Service {
	var list []*service.Service
	for range count {
		one, err := s.AddService(service.Config{
			FailureDomain: testDomain, Service: "publishing", AnnounceInterval: 200 * time.Millisecond, Lease: 3 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		list = append(list, one)
	}
	Expect(s.Await(5 * time.Second)).To(Succeed())
	return list
}

// pathRuns returns how often calls of a path were run.
func (s *system) pathRuns(path string) int {
	count := 0
	for _, run := range s.ServiceLedger.Runs() {
		if run.Path == path {
			count++
		}
	}
	return count
}

// answer is what a caller got. Run and Code are those of a refusal.
type answer struct {
	status    int
	body      string
	code, run string
	header    http.Header
}

// do sends a request to a daemon as a caller. It follows no redirect.
func do(d *daemon.Daemon, client *http.Client, method, path, body string, header http.Header) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.CallerAddress()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	a := answer{status: resp.StatusCode, body: string(data), header: resp.Header}
	var refusal struct {
		Error struct{ Code, Run string }
	}
	if json.Unmarshal(data, &refusal) == nil {
		a.code, a.run = refusal.Error.Code, refusal.Error.Run
	}
	return a, nil
}

// newClient returns a client that follows no redirect.
func newClient() *http.Client {
	return &http.Client{
		Transport:     load.NewTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// publish sends a non-idempotent call; an empty key sends none.
func publish(d *daemon.Daemon, client *http.Client, path, key, body string) (answer, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	return do(d, client, http.MethodPost, "/services/publishing"+path, body, header)
}
