package httpconn

import (
	"net"
	"syscall"
)

// NewDialer returns a dialer whose connections detect a dead peer early through TCP
// keepalive and TCP_USER_TIMEOUT.
func NewDialer(options Options) *net.Dialer {
	options = options.withDefaults()
	return &net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: options.KeepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, options.UserTimeout)
		},
	}
}
