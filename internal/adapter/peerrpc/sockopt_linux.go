package peerrpc

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT: the kernel closes a connection whose sent
// data stays unacknowledged for SilenceTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
