package exchange

import (
	"errors"
	"net/http"

	"github.com/boragelead/boragelead/internal/adapter/httpconn"
)

// maxInterimAnswers bounds the interim answers before a final one, of which one or two are usual. The
// bound on the bytes of a head alone let 1000 of them pass.
const maxInterimAnswers = 16

// ErrTooManyInterim reports an answer that is preceded by more than maxInterimAnswers.
var ErrTooManyInterim = errors.New("too many interim answers")

// isInterim reports whether the final answer follows an answer with a status. The error is a
// *httpconn.StatusError. Status 101 is none of an interim answer: it ends HTTP on the connection.
func isInterim(status int) (bool, error) {
	if status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols {
		return true, nil
	}
	return false, httpconn.CheckStatus(status)
}
