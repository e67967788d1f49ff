package rpgateway

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/fx/fxtest"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
)

// Guards against a SIGHUP that ends the process because it comes before the instance
// listens.
func TestHangupDuringStart(t *testing.T) {
	g := NewWithT(t)
	c := newComponents(fxtest.NewLifecycle(t), Instance{
		Settings: &Settings{}, Metrics: rpmetric.New(), Log: rplog.New(os.Stdout, rplog.FormatJSON, rplog.Levels{}),
	})
	defer signal.Stop(c.hangups)
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Eventually(c.hangups, 5*time.Second).Should(Receive(Equal(syscall.SIGHUP)))
}
