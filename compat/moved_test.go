package compat_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/entry"
)

// Guards against a client that does not know the moved event and takes the part before it for the whole answer.
func TestMovedStreamIsNoCompleteAnswer(t *testing.T) {
	g := NewWithT(t)
	client, server := startServer(g, func(ctx context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error) {
		if _, err := answerThreeTokens(ctx, req, sink); err != nil {
			return entry.Result{}, err
		}
		return entry.Result{}, &entry.MovedError{RequestID: req.ID, Peer: "entry-2"}
	})
	defer server.Close()
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	chunks := 0
	for stream.Next() {
		chunks++
	}
	g.Expect(chunks).To(BeNumerically(">", 0))
	g.Expect(stream.Err()).To(MatchError(ContainSubstring("/v1/requests/r-1")))
}
