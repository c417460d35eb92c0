//go:build !linux

package httpconn

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing where TCP_USER_TIMEOUT does not exist; TCP
// keepalive and the idle deadlines of streams remain.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
