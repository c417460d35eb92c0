package httpconn

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long sent data may stay unacknowledged before the
// kernel ends the connection.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
