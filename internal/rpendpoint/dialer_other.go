//go:build !linux

package rpendpoint

import "net"

// NewDialer returns a dialer with the connection timeout of the limits. A zero
// limit stands for its default.
func NewDialer(l Limits) *net.Dialer {
	return &net.Dialer{Timeout: l.withDefaults().DialTimeout}
}
