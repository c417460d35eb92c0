package enginehttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/standin/engine"
)

const model = "m"

func startEngine(config engine.Config) *engine.Engine {
	config.Models = []endpoint.LoadedModel{{Name: model, Version: "1"}}
	e, err := engine.Start(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e
}

func request(attempt string, tokens int) *endpoint.GenerateRequest {
	return &endpoint.GenerateRequest{AttemptID: attempt, RequestID: attempt, Model: model, Prompt: "x", MaxTokens: tokens}
}

// drain reads a stream to its end and returns its text.
func drain(stream port.FrameStream) (string, error) {
	defer stream.Close()
	var text strings.Builder
	for {
		var frame endpoint.Frame
		if err := stream.Next(&frame); err != nil {
			if errors.Is(err, io.EOF) {
				return text.String(), nil
			}
			return text.String(), err
		}
		text.WriteString(frame.Text)
	}
}

func transportError(err error) *port.TransportError {
	var transportErr *port.TransportError
	ExpectWithOffset(1, errors.As(err, &transportErr)).To(BeTrue(), "%v", err)
	return transportErr
}

var _ = Describe("streams", func() {
	It("reuse the connection after a complete answer", func() {
		var mu sync.Mutex
		dialed := 0
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, tokenLine+`{"a":"a","t":"done","o":1}`+"\n")
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			if state == http.StateNew {
				dialed++
			}
		}
		server.Start()
		defer server.Close()
		c := NewClient(WithIdleTimeout(20 * time.Millisecond))
		for range 20 {
			stream, err := c.Generate(context.Background(), server.URL, request("a", 1))
			Expect(err).NotTo(HaveOccurred())
			_, err = drain(stream)
			Expect(err).NotTo(HaveOccurred())
			// A deadline that is still set would close the pooled connection within this time.
			time.Sleep(5 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		Expect(dialed).To(Equal(1))
	})

	// Guards against an idle timeout that runs while the caller does not read.
	It("do not treat a slow caller as a silent engine", func() {
		e := startEngine(engine.Config{TimeScale: 0.01, PingInterval: 10 * time.Millisecond})
		stream, err := NewClient(WithIdleTimeout(50*time.Millisecond)).Generate(context.Background(), e.BaseURL(), request("a", 50))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(150 * time.Millisecond)
		Expect(drain(stream)).To(Equal(engine.Answer(model, "", "x", 50)))
	})

	It("end when the engine is silent for the idle timeout, which may change while they run", func() {
		e := startEngine(engine.Config{TimeScale: 1})
		stream, err := NewClient(WithIdleTimeout(time.Hour)).Generate(context.Background(), e.BaseURL(), request("a", 100_000))
		Expect(err).NotTo(HaveOccurred())
		var frame endpoint.Frame
		Expect(stream.Next(&frame)).To(Succeed())
		e.SilenceConnections()
		stream.(port.IdleStream).SetIdle(100 * time.Millisecond)
		begin := time.Now()
		_, err = drain(stream)
		transportErr := transportError(err)
		Expect(transportErr.Silent && transportErr.Sent).To(BeTrue())
		// The idle timeout plus a quarter is 125 ms; on a busy machine it takes longer.
		Expect(time.Since(begin)).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<", time.Second)))
	})

	It("report a crash of the engine as an error", func() {
		e := startEngine(engine.Config{TimeScale: 1})
		stream, err := NewClient().Generate(context.Background(), e.BaseURL(), request("a", 100_000))
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(50*time.Millisecond, e.Crash)
		_, err = drain(stream)
		Expect(transportError(err).Silent).To(BeFalse())
	})
})

var _ = Describe("connection pools", func() {
	// Guards against requests that fail one after another because each uses the
	// next silent connection of the pool.
	It("are replaced when a pooled connection has gone silent", func() {
		e := startEngine(engine.Config{TimeScale: 0.01, Slots: 32})
		replaced := make(chan string, 10)
		c := NewClient(WithIdleTimeout(100*time.Millisecond), WithHeaderTimeout(100*time.Millisecond), WithOnPoolReplaced(func(url string) { replaced <- url }))
		generate := func() error {
			stream, err := c.Generate(context.Background(), e.BaseURL(), request(time.Now().String(), 50))
			if err == nil {
				_, err = drain(stream)
			}
			return err
		}
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() { defer GinkgoRecover(); Expect(generate()).To(Succeed()) })
		}
		wg.Wait()
		Expect(e.SilenceConnections()).To(BeNumerically(">", 4))
		Expect(transportError(generate()).Silent).To(BeTrue())
		Eventually(replaced).Should(Receive(Equal(e.BaseURL())))
		for range 16 {
			Expect(generate()).To(Succeed())
		}
	})

	It("are not replaced when the engine itself is stalled and does not answer", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		var replaced atomic.Int32
		c := NewClient(WithHeaderTimeout(30*time.Millisecond), WithProbeTimeout(30*time.Millisecond), WithOnPoolReplaced(func(string) { replaced.Add(1) }))
		_, err = c.Generate(context.Background(), "http://"+listener.Addr().String(), request("a", 1))
		transportErr := transportError(err)
		Expect(transportErr.Sent && transportErr.Silent).To(BeTrue())
		Consistently(replaced.Load).WithTimeout(100 * time.Millisecond).Should(BeZero())
	})
})

var _ = Describe("proof that nothing was sent", func() {
	It("is given for an engine that was never reached", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener.Close()
		_, err = NewClient().Generate(context.Background(), "http://"+listener.Addr().String(), request("a", 1))
		Expect(transportError(err).Sent).To(BeFalse())
	})

	It("is not given for a request whose connection was closed after the engine read it", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		var read atomic.Int32
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					read.Add(1)
				}
				conn.Close()
			}
		}()
		_, err = NewClient().Generate(context.Background(), "http://"+listener.Addr().String(), request("a", 1))
		Expect(transportError(err).Sent).To(BeTrue())
		Expect(errors.Is(err, io.EOF)).To(BeFalse(), "io.EOF means the end of a complete stream")
		Expect(read.Load()).To(Equal(int32(1)))
	})

	// Guards against requests that fail without being sent because the engine
	// had closed the pooled connection.
	It("leads to a retry when the engine had closed the pooled connection", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusNoContent)
		}))
		defer server.Close()
		c := NewClient()
		for range 200 {
			err := c.Cancel(context.Background(), server.URL, "a")
			var transportErr *port.TransportError
			// The engine may close a connection while a request is in transit; that request is reported as sent.
			Expect(err == nil || errors.As(err, &transportErr) && transportErr.Sent).To(BeTrue(), "%v", err)
			server.CloseClientConnections()
		}
	})

	It("is not inferred from a refusal that does not say not_run", func() {
		bodies := map[string]endpoint.RunState{
			`{"code":"overloaded","run":"not_run"}`: endpoint.NotRun,
			`{"code":"internal","run":"maybe"}`:     endpoint.RunUnknown,
			`<html>bad gateway`:                     endpoint.RunUnknown,
		}
		for body, want := range bodies {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, body)
			}))
			_, err := NewClient().Generate(context.Background(), server.URL, request("a", 1))
			server.Close()
			var refused *port.RefusedError
			Expect(errors.As(err, &refused)).To(BeTrue())
			Expect(refused.Body.Run).To(Equal(want))
		}
	})
})

var _ = Describe("calls", func() {
	It("send the trace context with all requests and the controller token only with orders", func() {
		seen := make(chan http.Header, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen <- r.Header
			_, _ = io.WriteString(w, "{}")
		}))
		defer server.Close()
		c := NewClient(WithControllerToken("secret"), WithHeaders(func(_ context.Context, h http.Header) { h.Set("traceparent", "00-1") }))
		_, err := c.Order(context.Background(), server.URL, endpoint.Order{})
		Expect(err).NotTo(HaveOccurred())
		header := <-seen
		Expect(header.Get("traceparent") + header.Get(endpoint.HeaderController)).To(Equal("00-1secret"))
		Expect(c.Cancel(context.Background(), server.URL, "a")).To(Succeed())
		Expect((<-seen).Get(endpoint.HeaderController)).To(BeEmpty())
	})

	It("transfer a KV cache from one engine to another", func() {
		source, target := startEngine(engine.Config{ID: "1"}), startEngine(engine.Config{ID: "2"})
		c := NewClient()
		stream, err := c.Generate(context.Background(), source.BaseURL(), request("a", 100_000))
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		var frame endpoint.Frame
		Expect(stream.Next(&frame)).To(Succeed())
		handle, err := c.KVExport(context.Background(), source.BaseURL(), "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.KVImport(context.Background(), target.BaseURL(), endpoint.KVImportRequest{SourceURL: source.BaseURL(), Handle: handle.Handle})).To(Succeed())
		Expect(c.Cancel(context.Background(), source.BaseURL(), "a")).To(Succeed())
	})
})
