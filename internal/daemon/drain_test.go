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

// errCutOff says that a stream ended neither whole nor by an event.
var errCutOff = errors.New("stream cut off")

// streamPart is what one connection brought of a streamed answer.
type streamPart struct {
	text   string
	lastID string
	// moved is the path at which the stream continues, empty at a whole end.
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

func continueRequest(ctx context.Context, d *daemon.Daemon, path, lastID string) *http.Request {
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

// readPart reads the events of one connection up to [DONE] or the moved event.
func readPart(client *http.Client, req *http.Request) (streamPart, error) {
	var part streamPart
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
			part.text += deltaOf(value)
		}
	}
	return part, errors.Join(errCutOff, lines.Err(), fmt.Errorf("%s %s after %d bytes, last event ID %q, request %s", req.Method, req.URL.Path, len(part.text), part.lastID, resp.Header.Get("X-Request-Id")))
}

func deltaOf(data string) string {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// drainOutcome is how a request that was accepted before a drain ended.
type drainOutcome struct {
	moved, whole bool
	err          error
}

// streamThrough streams an answer from one daemon and continues it at another.
func streamThrough(from, to *daemon.Daemon, call load.Call) (out drainOutcome) {
	client := newClient()
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	first, err := readPart(client, chatRequest(ctx, from, call, true))
	text := first.text
	if err == nil && first.moved != "" {
		out.moved = true
		var rest streamPart
		again := continueRequest(ctx, to, first.moved, first.lastID)
		// A stream that moved before its first event has no event ID to ask with.
		again.Header.Set("Accept", "text/event-stream")
		rest, err = readPart(client, again)
		text += rest.text
	}
	out.err, out.whole = err, err == nil && rig.Verify(call, text)
	return out
}

// askThrough asks for a whole answer and follows a redirect to another daemon.
func askThrough(from, to *daemon.Daemon, call load.Call) (out drainOutcome) {
	client := newClient()
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, err := client.Do(chatRequest(ctx, from, call, false))
	if err == nil && resp.StatusCode == http.StatusSeeOther {
		out.moved = true
		_ = resp.Body.Close()
		resp, err = client.Do(continueRequest(ctx, to, resp.Header.Get("Location"), ""))
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
	out.whole = out.err == nil && rig.Verify(call, body.Choices[0].Message.Content)
	return out
}

var _ = Describe("Drain of an entry daemon under load", func() {
	// Guards against streams that are cut off, lose or repeat tokens when their
	// daemon leaves before they can end, and against callers left without an answer.
	It("cuts no request off", func() {
		const streams, whole = 24, 8
		s := newSystem(rig.Config{Daemons: 3, Domains: 1})
		for range 3 {
			(&fleet{s.Rig}).addEngine(engine.Config{})
		}
		Expect(s.Await(5 * time.Second)).To(Succeed())
		leaving, other := s.daemon(0), s.daemon(1)
		outcomes := make([]drainOutcome, streams+whole)
		var group sync.WaitGroup
		for i := range outcomes {
			// Every third answer is short and ends within the deadline.
			call := load.Call{Key: testKey, Model: testModel, Prompt: fmt.Sprintf("drain %d", i), MaxTokens: 1000}
			if i%3 == 0 {
				call.MaxTokens = 100
			}
			group.Go(func() {
				if i < streams {
					outcomes[i] = streamThrough(leaving, other, call)
				} else {
					outcomes[i] = askThrough(leaving, other, call)
				}
			})
		}
		Eventually(leaving.Entry().InFlight, 5*time.Second, time.Millisecond).Should(BeNumerically(">=", (streams+whole)*2/3))
		started := time.Now()
		leaving.Drain(600 * time.Millisecond)
		Eventually(leaving.Drained(), 10*time.Second).Should(BeClosed())
		drained := time.Since(started)
		group.Wait()
		moved := map[bool]int{}
		for i, out := range outcomes {
			Expect(out.err).NotTo(HaveOccurred(), "request %d, moved=%t", i, out.moved)
			Expect(out.whole).To(BeTrue(), "request %d, moved=%t", i, out.moved)
			if out.moved {
				moved[i < streams]++
			}
		}
		GinkgoWriter.Printf("drained in %v; %d of %d streams and %d of %d whole answers moved\n", drained, moved[true], streams, moved[false], whole)
		Expect(moved[true]).To(BeNumerically(">", 0))
		Expect(moved[false]).To(BeNumerically(">", 0))
	})
})
