package rpendpoint

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeInterval is the time between keep-alive probes, and the idle time before
// the first probe.
const probeInterval = time.Second

// NewDialer returns a dialer whose connections fail if the other side acknowledges
// nothing for AckTimeout. A zero limit means its default.
func NewDialer(l Limits) *net.Dialer {
	l = l.withDefaults()
	return &net.Dialer{
		Timeout: l.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval,
			Count: max(1, int(l.AckTimeout/probeInterval)),
		},
		Control: func(_, _ string, conn syscall.RawConn) error {
			return setAckTimeout(conn, l.AckTimeout)
		},
	}
}

// setAckTimeout sets the time within which the other side must acknowledge data and
// accept it into its receive window; 0 means no limit.
func setAckTimeout(conn syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
