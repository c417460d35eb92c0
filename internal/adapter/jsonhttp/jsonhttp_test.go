package jsonhttp

import (
	"errors"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/testutil/rawanswer"
)

// Guards against a malformed answer that counts as the answer of the cloud or the weight store.
func TestStatusOutsideRangeIsNoAnswer(t *testing.T) {
	for _, status := range rawanswer.OutOfRange {
		g := NewWithT(t)
		client := NewClient(rawanswer.ServeStatus(t, status, "{}"))
		_, err := client.Do(t.Context(), http.MethodPost, "/", nil)
		var failed *port.TransportError
		g.Expect(errors.As(err, &failed)).To(BeTrue(), "status %s: %v", status, err)
		g.Expect(failed.Sent).To(BeTrue())
	}
}
