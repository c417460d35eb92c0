package entry

import (
	"context"
	"net"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Guards against holding back requests that ran at endpoints which were cut off or
// lost with their VM: a failure domain behind a partition crashed none of them.
func TestOnlyRefusedConnectionsShowCrash(t *testing.T) {
	g := NewWithT(t)
	dialError := func(errno error) error {
		return &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", errno)}
	}
	g.Expect(showsCrash(dialError(unix.ECONNREFUSED))).To(BeTrue())
	g.Expect(showsCrash(dialError(unix.EHOSTUNREACH))).To(BeFalse())
	g.Expect(showsCrash(dialError(unix.ETIMEDOUT))).To(BeFalse())
	g.Expect(showsCrash(&net.OpError{Op: "dial", Err: context.DeadlineExceeded})).To(BeFalse())
}
