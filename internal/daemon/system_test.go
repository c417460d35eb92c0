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

// serviceTimeoutMS replaces the time-out of 10 s in the example document, so that
// calls that hang end early.
const serviceTimeoutMS = "1500"

// system is a rig whose daemons can be killed and restarted with the same
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
	config.Settings = func(daemonSettings *settings.Settings) {
		daemonSettings.DrainWaitMS = 100
		s.settings = append(s.settings, daemonSettings)
	}
	s.Rig, err = rig.Start(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	s.daemons = s.Rig.Daemons()
	s.awaitVoters(min(3, len(s.daemons)))
	return s
}

// awaitVoters waits until the log has the given number of voters. A new log
// starts with one voter and adds the others; before that it survives fewer failures.
func (s *system) awaitVoters(count int) {
	Eventually(func() int {
		status := s.daemon(s.leader()).ReplicaStatus()
		if status == nil {
			return 0
		}
		return len(status.Config.Voters)
	}, 10*time.Second, 20*time.Millisecond).Should(Equal(count))
}

// daemon returns the daemon with a number, modulo the number of daemons. After a
// restart this is the new instance.
func (s *system) daemon(number int) *daemon.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[number%len(s.daemons)]
}

// restart restarts a killed daemon with the same addresses and data folder.
func (s *system) restart(number int) {
	previous := s.daemon(number)
	config := *s.settings[number]
	config.Listen = settings.Listen{
		Callers: previous.CallerAddress(), Endpoints: previous.EndpointAddress(), Peers: previous.PeerAddress(), Admin: previous.AdminAddress(),
	}
	config.Peers = nil
	for _, other := range s.Rig.Daemons() {
		if other.Name() != previous.Name() {
			config.Peers = append(config.Peers, settings.Peer{Name: other.Name(), Address: other.PeerAddress()})
		}
	}
	var restarted *daemon.Daemon
	Eventually(func() (err error) {
		restarted, err = daemon.Start(&config, zap.NewNop(), daemon.Options{})
		return err
	}, 5*time.Second, 50*time.Millisecond).Should(Succeed())
	DeferCleanup(restarted.Kill)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons[number] = restarted
}

// leader returns the number of the daemon whose replica leads the log.
func (s *system) leader() int {
	var index int
	Eventually(func() bool {
		s.mu.Lock()
		daemons := slices.Clone(s.daemons)
		s.mu.Unlock()
		index = slices.IndexFunc(daemons, (*daemon.Daemon).IsLeader)
		return index >= 0
	}, 10*time.Second, 20*time.Millisecond).Should(BeTrue(), "no replica leads the log")
	return index
}

func (s *system) addServices(count int) []*service.Service {
	var list []*service.Service
	for range count {
		endpoint, err := s.AddService(service.Config{
			FailureDomain: testDomain, Service: "publishing", AnnounceInterval: 200 * time.Millisecond, Lease: 3 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		list = append(list, endpoint)
	}
	Expect(s.Await(5 * time.Second)).To(Succeed())
	return list
}

// pathRuns returns how often the services ran calls of a path.
func (s *system) pathRuns(path string) int {
	count := 0
	for _, run := range s.ServiceLedger.Runs() {
		if run.Path == path {
			count++
		}
	}
	return count
}

// response is the response to a caller. The fields code and run are set for refusals.
type response struct {
	status    int
	body      string
	code, run string
	header    http.Header
}

// sendRequest sends a request to a daemon with the key of a caller.
func sendRequest(d *daemon.Daemon, client *http.Client, method, path, body string, header http.Header) (response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.CallerAddress()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, err
	}
	out := response{status: resp.StatusCode, body: string(data), header: resp.Header}
	var refusal struct {
		Error struct{ Code, Run string }
	}
	if json.Unmarshal(data, &refusal) == nil {
		out.code, out.run = refusal.Error.Code, refusal.Error.Run
	}
	return out, nil
}

// newClient returns a client that does not follow redirects.
func newClient() *http.Client {
	return &http.Client{
		Transport:     load.NewTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// publish sends a non-idempotent call. With an empty key the call carries no
// idempotency key.
func publish(d *daemon.Daemon, client *http.Client, path, key, body string) (response, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	return sendRequest(d, client, http.MethodPost, "/services/publishing"+path, body, header)
}
