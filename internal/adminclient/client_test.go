package adminclient

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/testutil/rawanswer"
)

// Guards against a malformed answer that counts as a refusal, after which a promotion is not sent again.
func TestStatusOutsideRangeIsNoAnswer(t *testing.T) {
	for _, status := range rawanswer.OutOfRange {
		g := NewWithT(t)
		_, err := New(Options{Address: rawanswer.ServeStatus(t, status, "{}")}).Promote(t.Context(), Promotion{Document: []byte("{}"), OperationID: "o"})
		var unreachable *UnreachableError
		g.Expect(errors.As(err, &unreachable)).To(BeTrue(), "status %s: %v", status, err)
	}
}
