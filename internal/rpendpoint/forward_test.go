package rpendpoint_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// Guards against an order that still reaches its engine after it was canceled.
// Without a reset, the kernel continues to send data that was not acknowledged.
func TestSendResetsConnectionOnCancel(t *testing.T) {
	g := NewWithT(t)
	read, ended := make(chan struct{}, 1), make(chan error, 1)
	address := withRawServer(t, func(conn net.Conn) {
		buf := make([]byte, 4096)
		_, err := conn.Read(buf)
		read <- struct{}{}
		for err == nil {
			_, err = conn.Read(buf)
		}
		ended <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/order", strings.NewReader("load"))
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		<-read
		cancel()
	}()
	var forward rpendpoint.Forwarder
	_, _, verdict, err := forward.Send(req, nil)
	g.Expect(err).To(HaveOccurred())
	g.Expect(verdict).To(Equal(rpverdict.MayHaveRun))
	var end error
	g.Eventually(ended, 5*time.Second).Should(Receive(&end))
	g.Expect(errors.Is(end, syscall.ECONNRESET)).To(BeTrue(), "%v", end)
}

// Guards against an order that is sent after its lease has ended because the
// instance was paused while the connection was established.
func TestSendChecksPermissionBeforeFirstByte(t *testing.T) {
	g := NewWithT(t)
	got := make(chan int, 1)
	address := withRawServer(t, func(conn net.Conn) {
		n, _ := conn.Read(make([]byte, 4096))
		got <- n
	})
	req, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/order", strings.NewReader("load"))
	g.Expect(err).NotTo(HaveOccurred())
	var forward rpendpoint.Forwarder
	asked := false
	_, _, verdict, err := forward.Send(req, func() bool {
		asked = true
		return false
	})
	g.Expect(err).To(HaveOccurred())
	g.Expect(asked).To(BeTrue())
	g.Expect(verdict).To(Equal(rpverdict.NotRun))
	g.Eventually(got, 5*time.Second).Should(Receive(Equal(0)))
}
