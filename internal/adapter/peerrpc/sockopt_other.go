//go:build !linux

package peerrpc

import "syscall"

// setUserTimeout does nothing where the option does not exist; the probe alone detects silence.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
