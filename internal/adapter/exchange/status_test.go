package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/port"
)

// answerTo returns what the client makes of a text that an endpoint writes and closes.
func answerTo(t *testing.T, text string) (string, error) {
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, text)
	})
	c := New(Options{})
	defer c.Close()
	return get(c, address)
}

// oddBodies follow the head of an answer whose status cannot be used.
var oddBodies = []string{okResponse, "text", ""}

// expectNoAnswer checks that the client reports an answer of a status as a failed attempt.
func expectNoAnswer(t *testing.T, statuses ...string) {
	for _, status := range statuses {
		for _, body := range oddBodies {
			_, err := answerTo(t, "HTTP/1.1 "+status+" Odd\r\n\r\n"+body)
			var failure *port.TransportError
			if !errors.As(err, &failure) || !failure.Sent {
				t.Errorf("status %q, body %q: error %v", status, body, err)
			}
		}
	}
}

// Guards against the body of an answer with such a status that counts as the answer.
func TestUnusableStatusIsNotSkippedAsInterim(t *testing.T) {
	expectNoAnswer(t, "000", "001", "+20", "099", "101")
}

// Guards against a status that HTTP does not have and that reaches the caller.
func TestStatusAbove599IsNotPassedOn(t *testing.T) { expectNoAnswer(t, "600", "999") }

// Guards against a status line that cannot be parsed and that counts as an answer.
func TestMalformedStatusIsNoAnswer(t *testing.T) { expectNoAnswer(t, "-01", "2000", "20", "") }

// Guards against interim answers without end that hold an attempt up.
func TestInterimAnswersAreLimited(t *testing.T) {
	g := NewWithT(t)
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	for _, count := range []int{maxInterimAnswers + 1, 1000} {
		_, err := answerTo(t, strings.Repeat(interim, count)+okResponse)
		var failure *port.TransportError
		g.Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
		g.Expect(failure.Sent).To(BeTrue())
		g.Expect(err).To(MatchError(ErrTooManyInterim))
	}
	body, err := answerTo(t, strings.Repeat(interim, maxInterimAnswers)+okResponse)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
}

// Guards against a sound answer that is rejected for its status or its interim answers.
func TestSoundStatusIsPassedOn(t *testing.T) {
	for _, text := range []string{
		okResponse,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n" + okResponse,
		"HTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok",
	} {
		body, err := answerTo(t, text)
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), text)
		NewWithT(t).Expect(body).To(Equal("ok"), text)
	}
}

// Guards against an error of a status that its callers cannot tell from a lost connection.
func TestUnusableStatusHasATypedError(t *testing.T) {
	var failure *httpconn.StatusError
	_, err := answerTo(t, "HTTP/1.1 099 Odd\r\n\r\n"+okResponse)
	NewWithT(t).Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
	NewWithT(t).Expect(failure.Status).To(Equal(99))
}
