package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/adapter/adminhttp"
	"github.com/boragelead/boragelead/internal/adapter/adminhttp/adminhttptest"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/status"
	"github.com/boragelead/boragelead/internal/telemetry"
	"github.com/boragelead/boragelead/internal/tlsconfig"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "boragelead")
}

const example = "../../examples/portfolio.json"

// fakeStatus reports the status of daemons. In the first catchUp responses one daemon
// lags behind and one is silent; after that, two daemons have generation 1.
type fakeStatus struct {
	requests atomic.Int32
	catchUp  int32
	daemons  []status.Daemon
}

func (s *fakeStatus) Status(context.Context) (status.Status, error) {
	view := status.Status{Daemon: "d1", Daemons: s.daemons}
	if s.requests.Add(1) > s.catchUp {
		view.Daemons = []status.Daemon{{Name: "d1", Generation: 1}, {Name: "d2", Generation: 1}}
	}
	return view, nil
}

func (s *fakeStatus) Fleet(context.Context) (status.Fleet, error) {
	return status.Fleet{
		Controller: "d7", Plan: []status.FleetStep{{Action: "drain", Reason: "cheaper pool"}},
		History: []status.FleetStep{{Action: "start", Outcome: "refused", AgeS: 42}},
	}, nil
}

var _ = Describe("Commands", func() {
	var (
		ledger  *adminhttptest.Ledger
		view    *fakeStatus
		handler http.Handler
		server  *httptest.Server
		out     bytes.Buffer
		errs    bytes.Buffer
	)
	BeforeEach(func() {
		ledger = adminhttptest.NewLedger()
		view = &fakeStatus{daemons: []status.Daemon{{Name: "d1", Generation: 1}, {Name: "d2"}, {Name: "d3", State: status.Silent}}}
		explainer := telemetry.NewExplainer(1)
		explainer.Begin(telemetry.Subject{RequestID: "r-1", Daemon: "d1", Arrived: time.Now()}).
			Add(time.Now(), telemetry.Event{Type: telemetry.EventRouted, Endpoint: "e7", Reasons: []string{"cached prefix"}})
		sum := sha256.Sum256([]byte("secret"))
		handler = adminhttp.New(adminhttp.Options{KeySHA256: hex.EncodeToString(sum[:]), Ledger: ledger, Status: view, Fleet: view, Explainer: explainer}).Handler()
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
		DeferCleanup(server.Close)
		GinkgoT().Setenv(keyVariable, "secret")
	})
	local := func(args ...string) int {
		out.Reset()
		errs.Reset()
		return newApp(&out, &errs).run(context.Background(), args)
	}
	run := func(args ...string) int { return local(append(args, "--address", server.URL, "--timeout", "3s")...) }
	changed := func(old, replacement string) string {
		data, err := os.ReadFile(example)
		Expect(err).NotTo(HaveOccurred())
		path := filepath.Join(GinkgoT().TempDir(), "changed.json")
		Expect(os.WriteFile(path, bytes.Replace(data, []byte(old), []byte(replacement), 1), 0o600)).To(Succeed())
		return path
	}

	It("promotes, compares, shows and lists", func() {
		Expect(run("config", "promote", example)).To(Equal(exitUsage))
		Expect(errs.String()).To(ContainSubstring("--first"))
		Expect(run("config", "promote", example, "--first", "--operator", "asha")).To(Equal(exitOK), errs.String())
		next := changed(`"worth": 8`, `"worth": 9`)
		Expect(run("config", "diff", next)).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(Equal("~ $.ranks[deadline].worth changed: 8 -> 9\n"))
		Expect(run("config", "promote", next)).To(Equal(exitOK), errs.String())
		Expect(run("config", "history")).To(Equal(exitOK))
		Expect(out.String()).To(MatchRegexp(`(?s)2 .*\n1 +asha`))
		Expect(run("config", "show")).To(Equal(exitOK))
		Expect(out.String()).To(ContainSubstring(`"worth": 9`))
		Expect(run("config", "show", "--generation", "1", "--json")).To(Equal(exitOK))
		var shown status.Config
		Expect(json.Unmarshal(out.Bytes(), &shown)).To(Succeed())
		Expect(shown.Generation).To(Equal(uint64(1)))
		Expect(run("config", "show", "--generation", "7")).To(Equal(exitNotFound))
	})

	// Guards against a check that accepts invalid documents or omits some of their problems.
	It("checks documents without a daemon", func() {
		Expect(local("config", "check", example)).To(Equal(exitOK))
		wrong := changed(`"worth": 8`, `"worth": 0, "extra": 1`)
		Expect(local("config", "check", wrong)).To(Equal(exitInvalid))
		Expect(errs.String()).To(And(ContainSubstring("$.ranks[0].worth"), ContainSubstring("$.ranks[0].extra")))
		Expect(local("config", "check", "--json", wrong)).To(Equal(exitInvalid))
		Expect(out.String()).To(ContainSubstring(`"valid": false`))
		Expect(run("config", "promote", wrong, "--first")).To(Equal(exitInvalid))
		Expect(local("config", "check", "/no/such/file")).To(Equal(exitUsage))
	})

	// Guards against a promotion that takes effect twice or is abandoned after its response
	// is lost.
	It("resends with the same operation ID after a lost answer", func() {
		inner := handler
		var puts atomic.Int32
		handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut && puts.Add(1) == 1 {
				inner.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			inner.ServeHTTP(w, r)
		})
		Expect(run("config", "promote", example, "--first")).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(ContainSubstring("generation 1 is promoted"))
		Expect(puts.Load()).To(BeNumerically(">", 1))
		history, err := ledger.History(context.Background(), 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(1))
	})

	// Guards against reporting that nothing was changed although an earlier attempt took
	// effect.
	It("reports the outcome as unknown when a resend finds no quorum", func() {
		inner := handler
		handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut && ledger.ReadErr == nil {
				inner.ServeHTTP(httptest.NewRecorder(), r)
				ledger.ReadErr = &port.NoQuorumError{Group: "main"}
				panic(http.ErrAbortHandler)
			}
			inner.ServeHTTP(w, r)
		})
		Expect(run("config", "promote", example, "--first")).To(BeElementOf(exitNoQuorum, exitTimeout))
		Expect(errs.String()).To(MatchRegexp(`the outcome is unknown; resend with --operation-id \S+ --first`))
	})

	// Guards against an operator who learns of the failure of a resend only, although an earlier attempt took effect: a proxy or a
	// daemon that fails decides nothing.
	It("reports the outcome as unknown when a resend fails without a decision", func() {
		inner := handler
		var puts atomic.Int32
		handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == http.MethodPut && puts.Add(1) == 1:
				inner.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			case r.Method == http.MethodPut:
				w.WriteHeader(http.StatusBadGateway)
			default:
				inner.ServeHTTP(w, r)
			}
		})
		Expect(run("config", "promote", example, "--first")).NotTo(Equal(exitOK))
		history, err := ledger.History(context.Background(), 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(1))
		Expect(errs.String()).To(MatchRegexp(`the outcome is unknown; resend with --operation-id \S+ --first`))
	})

	// Guards against an operator who cannot complete an attempt whose outcome is unknown.
	It("prints the flags for a resend and accepts them", func() {
		Expect(run("config", "promote", example, "--first")).To(Equal(exitOK))
		next := changed(`"worth": 8`, `"worth": 9`)
		ledger.PromoteErr, ledger.LoseAnswer = &port.NoQuorumError{Group: "main", Proposed: true}, true
		Expect(run("config", "promote", next)).To(Equal(exitNoQuorum))
		flags := regexp.MustCompile(`--operation-id (\S+) --if-match (\S+)`).FindStringSubmatch(errs.String())
		Expect(flags).To(HaveLen(3), errs.String())
		Expect(errs.String()).To(ContainSubstring("(2 s)"))
		ledger.PromoteErr = nil
		Expect(run("config", "promote", next, "--operation-id", flags[1])).To(Equal(exitUsage))
		Expect(run("config", "promote", next, "--operation-id", flags[1], "--if-match", flags[2])).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(ContainSubstring("generation 2 is promoted"))
		Expect(run("config", "promote", example, "--operation-id", flags[1], "--if-match", flags[2])).To(Equal(exitConflict))
	})

	// Guards against a wait that ends too early or does not name the missing daemons.
	It("waits for all daemons and names those that are missing", func() {
		view.catchUp = 3
		Expect(run("config", "promote", example, "--first", "--wait")).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(ContainSubstring("in force on all 2 daemons"))
		view.catchUp = 1000
		Expect(run("config", "promote", example, "--wait", "--json")).To(Equal(exitTimeout))
		Expect(errs.String()).To(ContainSubstring("not yet on [d1 d2]; no answer from [d3] (2 s)"))
		Expect(errs.String()).To(HaveSuffix("not yet on [d1 d2]; no answer from [d3]\n"))
	})

	// Guards against failures that scripts cannot tell apart.
	It("has distinct exit codes", func() {
		Expect(run("config", "promote", example, "--first")).To(Equal(exitOK))
		Expect(run("config", "promote", example, "--first")).To(Equal(exitConflict))
		Expect(run("explain", "r-2")).To(Equal(exitNotFound))
		ledger.PromoteErr = &port.NoQuorumError{Group: "main"}
		Expect(run("config", "promote", example)).To(Equal(exitNoQuorum))
		Expect(run("drain")).To(Equal(exitFailure))
		GinkgoT().Setenv(keyVariable, "wrong")
		Expect(run("status")).To(Equal(exitKey))
		GinkgoT().Setenv(keyVariable, "")
		Expect(run("status")).To(Equal(exitUsage))
		GinkgoT().Setenv(keyVariable, "secret")
		server.Close()
		Expect(run("status")).To(Equal(exitUnreachable))
		Expect(run("config", "promote", example, "--first")).To(Equal(exitUnreachable))
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		Expect(local("status", "--address", silent.Addr().String(), "--timeout", "100ms")).To(Equal(exitTimeout))
	})

	// Guards against fleet commands that print the wrong list of steps.
	It("shows the plan and the history of the fleet", func() {
		for name, parts := range map[string][]string{"show": {"d7", "cheaper pool", "refused"}, "plan": {"cheaper pool"}, "history": {"42", "refused"}} {
			Expect(run("fleet", name)).To(Equal(exitOK))
			for _, part := range parts {
				Expect(out.String()).To(ContainSubstring(part), name)
			}
		}
	})

	It("explains a request and shows the status", func() {
		key := filepath.Join(GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(key, []byte("secret\n"), 0o600)).To(Succeed())
		GinkgoT().Setenv(keyVariable, "")
		Expect(run("explain", "r-1", "--key-file", key)).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(ContainSubstring("routed  endpoint=e7  because=cached prefix"))
		Expect(run("status", "--key-file", key)).To(Equal(exitOK))
		Expect(out.String()).To(MatchRegexp(`d1 .*\n`))
	})

	// Guards against an explanation that depends on a daemon that may have left.
	It("explains a request from collected logs", func() {
		log := filepath.Join(GinkgoT().TempDir(), "log")
		Expect(os.WriteFile(log, []byte(`{"level":"warn","ts":"2026-12-04T12:00:01.900Z","msg":"Request refused.","daemon":"entry-1","request":"a1","status":429,"reason":"over_quota","ms":4}`+"\n"), 0o600)).To(Succeed())
		GinkgoT().Setenv(keyVariable, "")
		Expect(local("explain", "a1", "--log", log)).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(MatchRegexp(`\* +0.0 ms  entry-1 +Request refused\.  ms=4  reason=over_quota  status=429`))
		Expect(local("explain", "a2", "--log", log)).To(Equal(exitNotFound))
		Expect(local("explain", "a1", "--log", log+"x")).To(Equal(exitUsage))
	})

	// Guards against a quota that is nearly exceeded without an operator seeing it.
	It("shows the worst window of a quota from collected logs", func() {
		log := filepath.Join(GinkgoT().TempDir(), "log")
		Expect(os.WriteFile(log, []byte(`{"level":"info","ts":"2026-12-04T12:00:01.900Z","msg":"Request answered.","daemon":"entry-1","request":"a1","workspace":"w1","tried":["e1"],"ms":400,"quota_cost":90,"quota_source":"common","quota_per_s":10}`+"\n"), 0o600)).To(Succeed())
		Expect(local("quotas", "--log", log, "--overshoot", "0", "--allowance", "10")).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(MatchRegexp(`w1 +0\.900 +90 +100 +10 +12:00:01\.500 +0 +common=90`))
		Expect(local("quotas")).To(Equal(exitUsage))
		Expect(local("quotas", "--log", log+"x")).To(Equal(exitUsage))
	})

	// Guards against sending the key to a daemon with an untrusted certificate.
	It("refuses a daemon whose certificate another CA issued", func() {
		authority, err := tlsconfig.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
		files, err := authority.Issue(GinkgoT().TempDir(), "op", "op")
		Expect(err).NotTo(HaveOccurred())
		var asked atomic.Bool
		secure := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Store(true) }))
		defer secure.Close()
		Expect(local("status", "--address", secure.URL, "--ca-file", files.CA)).To(Equal(exitUnreachable))
		Expect(asked.Load()).To(BeFalse())
	})

	// Guards against a command or exit code that is not documented.
	It("documents every command and exit code, and shows examples", func() {
		page, err := os.ReadFile("../../docs/command-line.md")
		Expect(err).NotTo(HaveOccurred())
		a := newApp(&out, &errs)
		for _, c := range a.commands {
			Expect(c.AdditionalHelpAppend).To(ContainSubstring("Examples:\n  boragelead "), c.Name)
		}
		for _, name := range []string{"config check", "config diff", "config promote", "config history", "config show", "status", "drain", "explain", "quotas", "fleet show", "fleet plan", "fleet history"} {
			Expect(strings.Count(string(page), "| `"+name)).To(Equal(1), name)
		}
		for code := exitOK; code <= exitNotFound; code++ {
			Expect(string(page)).To(ContainSubstring(fmt.Sprintf("\n| %d | ", code)))
		}
	})
})
