package rpgateway

import (
	"bytes"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcaller"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
)

// Guards against limits that end requests or connections without a trace of what
// holds the memory, and against a log line each second when nothing happens.
func TestUsageIsRecorded(t *testing.T) {
	g := NewWithT(t)
	s := &callerConns{maxOpen: 2}
	s.budget.Limit = 1 << 20
	l := withConns(t, s)
	dial(t, l)
	_, active := dial(t, l)
	active.setPhase(phaseActive)
	g.Expect(active.hold.Grow(rpcaller.UseBody, 1000)).To(Succeed())
	quiet := s.usage()
	dial(t, l)
	usage := s.usage()
	metrics := rpmetric.New()
	(&observer{metrics: metrics}).callerUsage(usage, quiet)
	answer := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`rattanpaddle_caller_memory_bytes{use="body"} 1000`,
		`rattanpaddle_caller_connections{state="active"} 1`,
		`rattanpaddle_caller_connections{state="new"} 1`,
		`rattanpaddle_caller_limits_total{cause="connection_closed"} 1`,
		`rattanpaddle_caller_limits_total{cause="evicted"} 0`,
	} {
		g.Expect(answer.Body.String()).To(ContainSubstring(line + "\n"))
	}
	var out bytes.Buffer
	logUsage(zerolog.New(&out), usage, quiet)
	g.Expect(out.String()).To(ContainSubstring(`"closed":1,"rejected":0,"limit":2,"new":1,"idle":0,"header":0,"active":1`))
	out.Reset()
	logUsage(zerolog.New(&out), usage, usage)
	g.Expect(out.String()).To(BeEmpty())
	usage.memory.Short++
	logUsage(zerolog.New(&out), usage, quiet)
	g.Expect(out.String()).To(ContainSubstring(`"refused":1,"limit_bytes":1048576,"header_bytes":0,"body_bytes":1000,"request_bytes":0`))
}
