package adminhttp_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/boragelead/boragelead/internal/adapter/adminhttp"
	"github.com/boragelead/boragelead/internal/adapter/adminhttp/adminhttptest"
	"github.com/boragelead/boragelead/internal/adminclient"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/status"
	"github.com/boragelead/boragelead/internal/telemetry"
)

func TestAdminHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "adminhttp")
}

const key = "operators-secret"

func keyHash() string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

type fakePeers map[string]telemetry.Explanation

func (p fakePeers) ExplainFromPeers(_ context.Context, id string) (telemetry.Explanation, bool, error) {
	found, ok := p[id]
	return found, ok, nil
}

type fakeDaemon struct{}

func (fakeDaemon) Status(context.Context) (status.Status, error) {
	return status.Status{Daemon: "d1", Generation: 3}, nil
}

func (fakeDaemon) Drain(context.Context) (status.Drain, error) { return status.Drain{Streams: 2}, nil }

func (fakeDaemon) Fleet(context.Context) (status.Fleet, error) {
	return status.Fleet{Controller: "d1"}, nil
}

var _ = Describe("Server", func() {
	var (
		ledger   *adminhttptest.Ledger
		options  adminhttp.Options
		server   *httptest.Server
		client   *adminclient.Client
		document []byte
		ctx      = context.Background()
	)
	BeforeEach(func() {
		var err error
		document, err = os.ReadFile("../../../examples/portfolio.json")
		Expect(err).NotTo(HaveOccurred())
		ledger = adminhttptest.NewLedger()
		options = adminhttp.Options{KeySHA256: keyHash(), Ledger: ledger, Explainer: telemetry.NewExplainer(10), Timeout: time.Second}
	})
	JustBeforeEach(func() {
		server = httptest.NewServer(adminhttp.New(options).Handler())
		DeferCleanup(server.Close)
		client = adminclient.New(adminclient.Options{Address: server.URL, Key: key, Operator: "asha"})
	})
	promote := func(operation, etag string) (status.Config, error) {
		return client.Promote(ctx, adminclient.Promotion{Document: document, ETag: etag, OperationID: operation})
	}
	detail := func(err error) status.ErrorDetail {
		var clientErr *adminclient.Error
		ExpectWithOffset(1, errors.As(err, &clientErr)).To(BeTrue(), fmt.Sprint(err))
		return clientErr.Detail
	}

	It("promotes, shows and lists configurations", func() {
		_, err := client.Config(ctx)
		Expect(detail(err).Code).To(Equal(status.CodeNotFound))
		first, err := promote("op-1", "")
		Expect(err).NotTo(HaveOccurred())
		second, err := promote("op-2", first.ETag)
		Expect(err).NotTo(HaveOccurred())
		current, err := client.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(current.Generation).To(Equal(uint64(2)))
		Expect(current.ETag).To(Equal(second.ETag))
		Expect(current.Operator).To(Equal("asha"))
		Expect(current.Document).To(MatchJSON(document))
		history, err := client.History(ctx, 1, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(1))
		Expect(history[0].Document).To(BeNil())
	})

	// Guards against an operator who overwrites another operator's change, and
	// against a conflict that does not name the other operator.
	It("rejects a promotion of an outdated ETag with the current generation and its operator", func() {
		first, err := promote("op-1", "")
		Expect(err).NotTo(HaveOccurred())
		_, err = promote("op-2", first.ETag)
		Expect(err).NotTo(HaveOccurred())
		_, err = promote("op-3", first.ETag)
		Expect(detail(err)).To(And(HaveField("Code", status.CodeConflict), HaveField("Generation", uint64(2)), HaveField("Operator", "asha")))
		_, err = promote("op-4", "")
		Expect(detail(err).Code).To(Equal(status.CodeConflict))
		// This ETag has the current number but belongs to another environment.
		_, err = promote("op-5", `"2-0123456789abcdef"`)
		Expect(detail(err).Code).To(Equal(status.CodeConflict))
	})

	// Guards against more than one success when operators promote concurrently.
	It("accepts exactly one of several concurrent promotions", func() {
		first, err := promote("op-0", "")
		Expect(err).NotTo(HaveOccurred())
		var wg sync.WaitGroup
		generations := make(chan uint64, 8)
		for i := range 8 {
			wg.Go(func() {
				if g, err := promote(fmt.Sprint("op-c", i), first.ETag); err == nil {
					generations <- g.Generation
				}
			})
		}
		wg.Wait()
		Expect(generations).To(HaveLen(1))
	})

	// Guards against a resent promotion that is rejected because the first one
	// succeeded, or that takes effect twice.
	It("returns the first outcome when a promotion is resent after a lost answer", func() {
		first, err := promote("op-1", "")
		Expect(err).NotTo(HaveOccurred())
		ledger.PromoteErr, ledger.LoseAnswer = &port.NoQuorumError{Group: "main", Proposed: true}, true
		_, err = promote("op-2", first.ETag)
		Expect(*detail(err).MayTakeEffect).To(BeTrue())
		ledger.PromoteErr = nil
		second, err := promote("op-2", first.ETag)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Generation).To(Equal(uint64(2)))
		document = []byte(strings.Replace(string(document), `"worth": 8`, `"worth": 9`, 1))
		_, err = promote("op-2", first.ETag)
		Expect(detail(err).Code).To(Equal(status.CodeOperationReused))
	})

	// Guards against an error that leaves open whether the operator must resend
	// the promotion.
	It("says whether a promotion without quorum may take effect", func() {
		ledger.PromoteErr = &port.NoQuorumError{Group: "main"}
		_, err := promote("op-1", "")
		Expect(*detail(err).MayTakeEffect).To(BeFalse())
		ledger.PromoteErr = context.DeadlineExceeded
		_, err = promote("op-1", "")
		Expect(*detail(err).MayTakeEffect).To(BeTrue())
		ledger.ReadErr = &port.NoQuorumError{Group: "main", Proposed: true}
		_, err = promote("op-1", "")
		Expect(*detail(err).MayTakeEffect).To(BeFalse())
		_, err = client.Config(ctx)
		Expect(detail(err).Code).To(Equal(status.CodeNoQuorum))
	})

	// Guards against the promotion of an invalid document, or of the document of
	// another environment, such as trial settings in production.
	It("rejects invalid documents and lists all problems", func() {
		first, err := promote("op-1", "")
		Expect(err).NotTo(HaveOccurred())
		valid := string(document)
		document = []byte(strings.Replace(valid, `"production"`, `"trial"`, 1))
		_, err = promote("op-2", first.ETag)
		Expect(detail(err).Problems).To(ConsistOf(HaveField("Path", "$.environment")))
		document = []byte(strings.NewReplacer(`"worth": 8`, `"worth": 0`, `"worth": 3`, `"worth": -1`).Replace(valid))
		_, err = promote("op-2", first.ETag)
		Expect(detail(err).Code).To(Equal(status.CodeInvalidDocument))
		Expect(detail(err).Problems).To(HaveLen(2))
	})

	// Guards against malformed requests that take effect by accident.
	DescribeTable("rejects malformed requests", func(code int, method, path string, headers ...string) {
		request, err := http.NewRequest(method, server.URL+path, strings.NewReader(string(document)))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+key)
		for i := 0; i < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(code))
		var body status.ErrorBody
		Expect(json.NewDecoder(response.Body).Decode(&body)).To(Succeed())
		Expect(body.Error.Message).NotTo(BeEmpty())
	},
		Entry("no precondition", 428, "PUT", "/admin/config", "Operation-Id", "x"),
		Entry("no operation ID", 400, "PUT", "/admin/config", "If-None-Match", "*"),
		Entry("both preconditions", 400, "PUT", "/admin/config", "Operation-Id", "x", "If-None-Match", "*", "If-Match", `"1-a"`),
		Entry("wildcard instead of an ETag", 400, "PUT", "/admin/config", "Operation-Id", "x", "If-Match", "*"),
		Entry("generation 0", 400, "PUT", "/admin/config", "Operation-Id", "x", "If-Match", `"0-"`),
		Entry("limit", 400, "GET", "/admin/config/history?limit=0"),
		Entry("method", 404, "DELETE", "/admin/config"),
		Entry("status not configured", 501, "GET", "/admin/status"),
	)

	// Guards against paths that are accessible without the key, and against keys
	// in the log.
	Context("without a valid key", func() {
		logger, logs := observer.New(zap.DebugLevel)
		BeforeEach(func() { options.Log = zap.New(logger) })
		It("rejects requests to every path and logs no secret", func() {
			for _, path := range []string{"/admin/config", "/admin/status", "/admin/explain/x", "/admin/fleet", "/debug/vars", "/"} {
				for _, authorization := range []string{"", "Bearer ", "Bearer wrong-secret", "Bearer " + keyHash(), key} {
					request, err := http.NewRequest(http.MethodGet, server.URL+path, nil)
					Expect(err).NotTo(HaveOccurred())
					request.Header.Set("Authorization", authorization)
					response, err := http.DefaultClient.Do(request)
					Expect(err).NotTo(HaveOccurred())
					body, _ := io.ReadAll(response.Body)
					response.Body.Close()
					Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
					Expect(string(body)).NotTo(ContainSubstring(keyHash()))
				}
			}
			Expect(fmt.Sprint(logs.All())).NotTo(Or(ContainSubstring("secret"), ContainSubstring(keyHash())))
		})
	})

	Context("with all optional dependencies", func() {
		BeforeEach(func() {
			options.Status, options.Drain, options.Fleet = fakeDaemon{}, fakeDaemon{}, fakeDaemon{}
			options.Peers = fakePeers{"r-2": {Subject: telemetry.Subject{RequestID: "r-2", Daemon: "d2"}}}
			options.Vars = telemetry.NewRegistry().Handler()
		})
		// Guards against records that only the daemon that handled the request can find.
		It("explains requests of this daemon and of peers", func() {
			options.Explainer.Begin(telemetry.Subject{RequestID: "r-1", Daemon: "d1"}).Add(time.Now(), telemetry.Event{Type: telemetry.EventAdmitted})
			for id, name := range map[string]string{"r-1": "d1", "r-2": "d2"} {
				found, err := client.Explain(ctx, id)
				Expect(err).NotTo(HaveOccurred())
				Expect(found.Daemon).To(Equal(name))
			}
			_, err := client.Explain(ctx, "r-3")
			Expect(detail(err).Code).To(Equal(status.CodeNotFound))
		})
		It("serves status, drain and fleet", func() {
			daemonStatus, err := client.Status(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(daemonStatus.Generation).To(Equal(uint64(3)))
			drain, err := client.Drain(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(drain.Streams).To(Equal(2))
			fleet, err := client.Fleet(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(fleet.Controller).To(Equal("d1"))
		})
	})

	// Guards against a client that treats the response of another server, or no
	// response, as success.
	It("distinguishes responses of other servers from unreachable servers", func() {
		otherServer := httptest.NewServer(http.NotFoundHandler())
		otherClient := adminclient.New(adminclient.Options{Address: otherServer.URL, Key: key})
		_, err := otherClient.Status(ctx)
		Expect(detail(err).Code).To(Equal(status.CodeInternal))
		otherServer.Close()
		_, err = otherClient.Status(ctx)
		var unreachable *adminclient.UnreachableError
		Expect(errors.As(err, &unreachable)).To(BeTrue())
	})
})
