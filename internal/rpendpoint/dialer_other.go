//go:build !linux

package rpendpoint

import (
	"net"
	"syscall"
	"time"
)

// NewDialer returns a dialer with the DialTimeout of the limits. A zero limit means
// its default. AckTimeout is supported on Linux only.
func NewDialer(l Limits) *net.Dialer {
	return &net.Dialer{Timeout: l.withDefaults().DialTimeout}
}

func setAckTimeout(syscall.RawConn, time.Duration) error { return nil }
