package servicehttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/standin/service"
)

func TestServiceHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "servicehttp")
}

func startService() *service.Service {
	s, err := service.Start(service.Config{ID: "s1", Service: "publish"})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

func newCall(method, attempt, body string) *port.ServiceCall {
	header := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}, "X-Other": {"o"}}
	return &port.ServiceCall{AttemptID: attempt, Key: "k-" + attempt, Method: method, Path: "/items?x=1", Header: header, Body: []byte(body)}
}

// drain reads a response body to its end, so that its connection is reused.
func drain(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

func asTransportError(err error) *port.TransportError {
	var failed *port.TransportError
	ExpectWithOffset(1, errors.As(err, &failed)).To(BeTrue(), "%v", err)
	return failed
}

var _ = Describe("replays of calls", func() {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions} {
		for _, body := range []string{"", "text"} {
			It(fmt.Sprintf("are prevented for a %s with body %q when a reused connection is cut after the service read the call", method, body), func() {
				s := startService()
				c := NewClient(httpconn.Options{})
				for round := range 5 {
					_, err := c.Call(context.Background(), s.BaseURL(), newCall(method, fmt.Sprint("warm", round), body))
					Expect(err).NotTo(HaveOccurred())
					s.SetFaults(service.CutAfter)
					attempt := fmt.Sprint("cut", round)
					_, err = c.Call(context.Background(), s.BaseURL(), newCall(method, attempt, body))
					Expect(asTransportError(err).Sent).To(BeTrue())
					Expect(s.Ledger().AttemptRuns(attempt)).To(Equal(1))
					Expect(s.Ledger().KeyRuns("k-" + attempt)).To(Equal(1))
				}
				Expect(s.Ledger().Repeated()).To(BeEmpty())
			})
		}
	}

	It("are made by net/http without this package, so the test service can detect them", func() {
		s := startService()
		for _, fault := range []service.Fault{service.NoFault, service.CutAfter} {
			s.SetFaults(fault)
			req, _ := http.NewRequest(http.MethodPost, s.BaseURL(), strings.NewReader("x"))
			req.Header.Set("Idempotency-Key", "k")
			req.Header.Set(endpoint.HeaderAttempt, fmt.Sprint(fault))
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			drain(resp)
		}
		Expect(s.Ledger().AttemptRuns(fmt.Sprint(service.CutAfter))).To(Equal(2))
	})

	It("are blocked where net/http attempts one", func() {
		s := startService()
		pool := httpconn.NewPools(httpconn.Options{}, func(string) {}).Get(s.BaseURL(), time.Now())
		for _, fault := range []service.Fault{service.NoFault, service.CutAfter} {
			s.SetFaults(fault)
			ctx, use := httpconn.Track(context.Background(), 0)
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, s.BaseURL(), nil)
			req.Header.Set(endpoint.HeaderAttempt, fmt.Sprint(fault))
			resp, err := pool.Client.Do(req)
			if err == nil {
				drain(resp)
				continue
			}
			Expect(use.Sent()).To(BeTrue())
		}
		Expect(s.Ledger().AttemptRuns(fmt.Sprint(service.CutAfter))).To(Equal(1))
	})
})

var _ = Describe("result of a call", func() {
	It("says whether the call ran when it is refused before it runs, fails after it ran, is cut during the response or hangs", func() {
		s := startService()
		c := NewClient(httpconn.Options{})
		send := func(attempt string, fault service.Fault) (*port.ServiceResult, error) {
			s.SetFaults(fault)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			return c.Call(ctx, s.BaseURL(), newCall(http.MethodPost, attempt, "x"))
		}
		_, err := send("before", service.FailBefore)
		var refused *port.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Body.Run).To(Equal(endpoint.NotRun))
		Expect(s.Ledger().AttemptRuns("before")).To(BeZero())
		result, err := send("after", service.FailAfter)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(http.StatusInternalServerError))
		_, err = send("answer", service.CutAnswer)
		Expect(asTransportError(err).Sent).To(BeTrue())
		for _, fault := range []service.Fault{service.HangBefore, service.HangAfter} {
			_, err = send("hang", fault)
			failed := asTransportError(err)
			Expect(failed.Sent && failed.Silent).To(BeTrue())
		}
		result, err = send("good", service.NoFault)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(http.StatusCreated))
	})

	It("reports a call as not sent if the service could not be reached", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener.Close()
		_, err = NewClient(httpconn.Options{}).Call(context.Background(), "http://"+listener.Addr().String(), newCall(http.MethodPost, "a", "x"))
		Expect(asTransportError(err).Sent).To(BeFalse())
	})

	It("limits the response body that is kept in memory", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for range 100 {
				_, _ = w.Write(make([]byte, 1000))
			}
		}))
		defer server.Close()
		_, err := NewClient(httpconn.Options{}, WithMaxBody(5000)).Call(context.Background(), server.URL, newCall(http.MethodGet, "a", ""))
		var tooLong *BodyTooLongError
		Expect(errors.As(err, &tooLong)).To(BeTrue())
		Expect(asTransportError(err).Sent).To(BeTrue())
	})
})

var _ = Describe("headers", func() {
	It("are sent without secrets, forged attempt IDs and hop-by-hop headers", func() {
		original := http.Header{
			"Authorization": {"Bearer s"}, "Connection": {"x-hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"},
			endpoint.HeaderKey: {"forged"}, endpoint.HeaderAttempt: {"forged"}, "Accept": {"a"},
		}
		header := requestHeader(&port.ServiceCall{AttemptID: "a", Header: original})
		Expect(header).To(Equal(http.Header{"Accept": {"a"}, endpoint.HeaderAttempt: {"a"}}))
		Expect(original.Get("Authorization")).NotTo(BeEmpty())
	})
})

// Guards against a second copy of an answer that comes late, on a connection that is in use
// again: it must not become the answer of the next call.
var _ = Describe("answers to an earlier call", func() {
	It("are dropped, and the call counts as possibly run", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The second call receives the answer of the first one again.
			w.Header().Set(endpoint.HeaderAttempt, "first")
			_, _ = io.WriteString(w, "answer of "+r.Header.Get(endpoint.HeaderAttempt))
		})}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		c := NewClient(httpconn.Options{})
		DeferCleanup(c.Close)
		result, err := c.Call(context.Background(), "http://"+listener.Addr().String(), newCall(http.MethodPost, "first", "text"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(result.Body)).To(Equal("answer of first"))
		_, err = c.Call(context.Background(), "http://"+listener.Addr().String(), newCall(http.MethodPost, "second", "text"))
		Expect(asTransportError(err).Sent).To(BeTrue())
		other := &OtherAttemptError{}
		Expect(errors.As(err, &other)).To(BeTrue())
		Expect(other.Answered).To(Equal("first"))
	})
})
