//go:build !linux

package peerrpc

import "syscall"

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT. There only the
// probes detect silent connections.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
