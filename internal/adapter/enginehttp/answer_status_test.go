package enginehttp

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/testutil/rawanswer"
)

// Guards against a malformed answer that counts as a refusal, which could say that the attempt did not run.
func TestStatusOutsideRangeIsNoAnswer(t *testing.T) {
	for _, status := range rawanswer.OutOfRange {
		g := NewWithT(t)
		baseURL := rawanswer.ServeStatus(t, status, `{"run":"not_run"}`)
		client := NewClient()
		_, err := client.Generate(t.Context(), baseURL, &endpoint.GenerateRequest{AttemptID: "a"})
		var failed *port.TransportError
		g.Expect(errors.As(err, &failed)).To(BeTrue(), "status %s: %v", status, err)
		g.Expect(failed.Sent).To(BeTrue())
		client.Close()
	}
}
