package rplog_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
)

// blockedWriter blocks all writes until the channel released is closed.
type blockedWriter struct {
	released chan struct{}
}

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// Guards against a program that blocks because the reader of its log has stopped
// reading.
func TestBlockedReaderBlocksNothing(t *testing.T) {
	g := NewWithT(t)
	out := blockedWriter{released: make(chan struct{})}
	dropped := make(chan int, 1000)
	log, closeLog := rplog.NewNonBlocking(out, rplog.FormatJSON, rplog.Levels{}, func(lines int) { dropped <- lines })
	part := log.Part("requests")
	const lines = 20000
	done := make(chan struct{})
	go func() {
		for i := range lines {
			part.Info().Int("line", i).Msg("sends a request to an endpoint")
		}
		close(done)
	}()
	g.Eventually(done, 20*time.Second).Should(BeClosed())
	close(out.released)
	g.Eventually(dropped, 20*time.Second).Should(Receive(BeNumerically(">", 0)))
	g.Expect(closeLog()).To(Succeed())
}
