//go:build !linux

package httpconn

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT. There TCP
// keepalive and the idle deadlines of streams detect dead connections.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
