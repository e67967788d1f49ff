package rpendpoint

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// kernelConn plays the kernel: a write in progress gets the error of the connection, and
// reads find its end.
type kernelConn struct {
	net.Conn
	// writing is closed when a write has begun. Its end is what ended receives.
	writing chan struct{}
	ended   chan error
}

func (c *kernelConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *kernelConn) Write([]byte) (int, error) {
	close(c.writing)
	return 0, <-c.ended
}

func (c *kernelConn) SetWriteDeadline(time.Time) error {
	select {
	case c.ended <- os.ErrDeadlineExceeded:
	default:
	}
	return nil
}

// Guards against an end of the connection that is read before the write in progress
// reports the reset.
func TestReadAwaitsWriteInProgress(t *testing.T) {
	for _, c := range []struct{ write, want error }{{syscall.ECONNRESET, ErrReset}, {syscall.EPIPE, ErrReset}, {nil, io.EOF}} {
		g := NewWithT(t)
		kernel := &kernelConn{writing: make(chan struct{}), ended: make(chan error, 1)}
		conn := &resetConn{Conn: kernel}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = conn.Write([]byte("POST"))
		}()
		<-kernel.writing
		if c.write != nil {
			kernel.ended <- c.write
		}
		_, err := conn.Read(nil)
		g.Expect(err).To(MatchError(c.want))
		<-done
		_, err = conn.Read(nil)
		g.Expect(err).To(MatchError(c.want))
	}
}
