package hangup_test

import (
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/hangup"
)

// errAtInit is set by the initialization of this package, which runs before the tests and
// after that of the imported packages. Without a handler the signal ends the process.
var errAtInit = hangUpSelf()

func hangUpSelf() error { return syscall.Kill(syscall.Getpid(), syscall.SIGHUP) }

// Guards against a process that ends because of a hangup signal during its
// initialization, and against signals that are lost.
func TestHangupDuringInitializationIsDelivered(t *testing.T) {
	g := NewWithT(t)
	g.Expect(errAtInit).NotTo(HaveOccurred())
	g.Expect(hangUpSelf()).To(Succeed())
	g.Eventually(hangup.Signals()).Should(Receive(Equal(syscall.SIGHUP)))
}
