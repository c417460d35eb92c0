package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/standin/engine"
)

// errStreamCutOff reports a stream that ended without [DONE] and without a moved or error event.
var errStreamCutOff = errors.New("stream cut off")

// partialStream is the part of a streamed answer that was received over one connection.
type partialStream struct {
	text   string
	lastID string
	// moved is the path at which the stream continues; empty if it is complete.
	moved string
}

func chatRequest(ctx context.Context, d *daemon.Daemon, call load.Call, stream bool) *http.Request {
	body, err := json.Marshal(map[string]any{
		"model": call.Model, "stream": stream, "max_tokens": call.MaxTokens,
		"messages": []map[string]string{{"role": "user", "content": call.Prompt}},
	})
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.CallerAddress()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	return req
}

func resumeRequest(ctx context.Context, d *daemon.Daemon, path, lastID string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.CallerAddress()+path, nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	return req
}

// readPartialStream reads the events of one connection until [DONE] or a moved event.
func readPartialStream(client *http.Client, req *http.Request) (partialStream, error) {
	var part partialStream
	resp, err := client.Do(req)
	if err != nil {
		return part, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSeeOther {
		part.moved = resp.Header.Get("Location")
		return part, nil
	}
	if resp.StatusCode != http.StatusOK {
		return part, fmt.Errorf("status %d", resp.StatusCode)
	}
	var event string
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			part.lastID = value
		case name == "event":
			event = value
		case name == "data" && value == "[DONE]":
			return part, nil
		case name == "data" && event == "moved":
			var moved struct{ Location string }
			err := json.Unmarshal([]byte(value), &moved)
			part.moved = moved.Location
			return part, err
		case name == "data" && event != "":
			return part, fmt.Errorf("event %s: %s", event, value)
		case name == "data":
			part.text += deltaContent(value)
		}
	}
	return part, errors.Join(errStreamCutOff, lines.Err(), fmt.Errorf("%s %s after %d bytes, last event ID %q, request %s", req.Method, req.URL.Path, len(part.text), part.lastID, resp.Header.Get("X-Request-Id")))
}

func deltaContent(data string) string {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// requestOutcome is the outcome of a request that was accepted before a drain.
type requestOutcome struct {
	// moved is set if another daemon continued the request, complete if the
	// answer was correct to its end.
	moved, complete bool
	err             error
}

// streamAndResume streams an answer from one daemon and, if the stream moves,
// resumes it at another.
func streamAndResume(from, to *daemon.Daemon, call load.Call) (out requestOutcome) {
	client := newClient()
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	first, err := readPartialStream(client, chatRequest(ctx, from, call, true))
	text := first.text
	if err == nil && first.moved != "" {
		out.moved = true
		var rest partialStream
		resumeReq := resumeRequest(ctx, to, first.moved, first.lastID)
		// If the stream moved before its first event, there is no event ID to send,
		// and the Accept header alone asks for a stream.
		resumeReq.Header.Set("Accept", "text/event-stream")
		rest, err = readPartialStream(client, resumeReq)
		text += rest.text
	}
	out.err, out.complete = err, err == nil && rig.Verify(call, text)
	return out
}

// requestAndFollow requests an answer that is not streamed and follows a redirect
// to another daemon.
func requestAndFollow(from, to *daemon.Daemon, call load.Call) (out requestOutcome) {
	client := newClient()
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, err := client.Do(chatRequest(ctx, from, call, false))
	if err == nil && resp.StatusCode == http.StatusSeeOther {
		out.moved = true
		_ = resp.Body.Close()
		resp, err = client.Do(resumeRequest(ctx, to, resp.Header.Get("Location"), ""))
	}
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	var body struct {
		Choices []struct{ Message struct{ Content string } }
	}
	out.err = json.NewDecoder(resp.Body).Decode(&body)
	if out.err == nil && len(body.Choices) != 1 {
		out.err = fmt.Errorf("status %d without an answer", resp.StatusCode)
	}
	out.complete = out.err == nil && rig.Verify(call, body.Choices[0].Message.Content)
	return out
}

var _ = Describe("Drain of an entry daemon under load", func() {
	// Guards against streams that break off, lose tokens or repeat them when their
	// daemon stops before they end, and against callers that get no answer.
	It("breaks off no request", func() {
		const streams, unstreamed = 24, 8
		s := newSystem(rig.Config{Daemons: 3, Domains: 1})
		for range 3 {
			(&fleet{s.Rig}).addEngine(engine.Config{})
		}
		Expect(s.Await(5 * time.Second)).To(Succeed())
		draining, other := s.daemon(0), s.daemon(1)
		outcomes := make([]requestOutcome, streams+unstreamed)
		var group sync.WaitGroup
		for i := range outcomes {
			// Every third answer is short enough to end before the drain deadline.
			call := load.Call{Key: testKey, Model: testModel, Prompt: fmt.Sprintf("drain %d", i), MaxTokens: 1000}
			if i%3 == 0 {
				call.MaxTokens = 100
			}
			group.Go(func() {
				if i < streams {
					outcomes[i] = streamAndResume(draining, other, call)
				} else {
					outcomes[i] = requestAndFollow(draining, other, call)
				}
			})
		}
		Eventually(draining.Entry().InFlight, 5*time.Second, time.Millisecond).Should(BeNumerically(">=", (streams+unstreamed)*2/3))
		started := time.Now()
		draining.Drain(600 * time.Millisecond)
		Eventually(draining.Drained(), 10*time.Second).Should(BeClosed())
		drained := time.Since(started)
		group.Wait()
		moved := map[bool]int{}
		for i, out := range outcomes {
			Expect(out.err).NotTo(HaveOccurred(), "request %d, moved=%t", i, out.moved)
			Expect(out.complete).To(BeTrue(), "request %d, moved=%t", i, out.moved)
			if out.moved {
				moved[i < streams]++
			}
		}
		GinkgoWriter.Printf("drained in %v; %d of %d streams and %d of %d unstreamed answers moved\n", drained, moved[true], streams, moved[false], unstreamed)
		Expect(moved[true]).To(BeNumerically(">", 0))
		Expect(moved[false]).To(BeNumerically(">", 0))
	})

	// Guards against requests that are refused after a part of the drain timeout,
	// although they end within the rest of it, because no peer takes them.
	DescribeTable("lets requests that no peer takes go on until its end", func(daemons int) {
		const timeout = 6 * time.Second
		s := newSystem(rig.Config{Daemons: daemons, Domains: 1})
		// One token takes 5 ms, so the answers take about 5 s. Hand-over begins
		// after 4.2 s.
		(&fleet{s.Rig}).addEngine(engine.Config{Slots: 4, TimeScale: 5 * float64(time.Millisecond) / float64(fastSpeed.DecodeStep)})
		Expect(s.Await(5 * time.Second)).To(Succeed())
		draining := s.daemon(0)
		for number := range daemons - 1 {
			peer := s.daemon(number + 1)
			peer.Entry().Drain()
		}
		call := load.Call{Key: testKey, Model: testModel, Prompt: "drain", MaxTokens: 1000}
		var streamed, whole requestOutcome
		var group sync.WaitGroup
		group.Go(func() { streamed = streamAndResume(draining, draining, call) })
		group.Go(func() { whole = requestAndFollow(draining, draining, call) })
		Eventually(draining.Entry().InFlight, 5*time.Second, time.Millisecond).Should(Equal(2))
		started := time.Now()
		draining.Drain(timeout)
		group.Wait()
		GinkgoWriter.Printf("answers ended after %v\n", time.Since(started))
		for _, out := range []requestOutcome{streamed, whole} {
			Expect(out.err).NotTo(HaveOccurred())
			Expect(out.complete).To(BeTrue())
			Expect(out.moved).To(BeFalse())
		}
		Expect(time.Since(started)).To(BeNumerically(">", timeout*7/10), "the answers ended before the hand-over")
	},
		Entry("no live peer", 1),
		Entry("all peers drain", 3),
	)
})
