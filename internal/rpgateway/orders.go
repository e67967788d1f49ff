package rpgateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

const (
	// orderTimeout bounds the wait for the answer to an order, which engines
	// give before they carry it out.
	orderTimeout = 800 * time.Millisecond
	// reportTimeout bounds the wait for a report.
	reportTimeout = 800 * time.Millisecond
)

// orderSender carries out the orders and questions to engines.
type orderSender struct {
	loop      *loop
	forwarder *rpendpoint.Forwarder
	holder    rpcore.InstanceID
	log       zerolog.Logger
	observer  *observer

	mu       sync.Mutex
	inFlight map[rpcore.OrderID]context.CancelFunc
}

// begin returns the context of an order, which ends with the lease that allows
// the order. end must be called when the order has ended.
func (s *orderSender) startOrder(cmd rpfleet.SendOrder) (ctx context.Context, end func()) {
	left := min(orderTimeout, time.Until(s.loop.clock.runtimeTime(cmd.NotAfter)))
	ctx, cancel := context.WithTimeout(context.Background(), left)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil {
		s.inFlight = map[rpcore.OrderID]context.CancelFunc{}
	}
	s.inFlight[cmd.Order] = cancel
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, cmd.Order)
		cancel()
	}
}

// cancelAll gives up the orders under way. One that has not begun yet finds that
// the lease is not held any more.
func (s *orderSender) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.inFlight {
		cancel()
	}
}

// send sends an order at most once, and not after the lease that allows it has
// ended.
func (s *orderSender) send(cmd rpfleet.SendOrder) {
	event := rpfleet.OrderAnswered{Order: cmd.Order}
	event.Outcome, event.Detail = s.deliver(cmd)
	event.Stamp = s.loop.stamp()
	s.observer.orderEnded(cmd.Kind, event.Outcome)
	s.loop.apply(event)
}

func (s *orderSender) deliver(cmd rpfleet.SendOrder) (rpfleet.OrderOutcome, string) {
	ctx, end := s.startOrder(cmd)
	defer end()
	req, err := rpwire.NewOrderRequest(ctx, cmd, s.holder)
	if err != nil {
		return rpfleet.OrderNotSent, err.Error()
	}
	if !s.loop.mayOrder(cmd) {
		return rpfleet.OrderNotSent, "the lease has ended"
	}
	// The lease may end while the connection is made, also because the instance is
	// paused.
	resp, done, verdict, err := s.forwarder.Send(req, func() bool { return s.loop.mayOrder(cmd) })
	if err != nil {
		if verdict == rpverdict.NotRun {
			return rpfleet.OrderNotSent, err.Error()
		}
		return rpfleet.OrderUnknown, err.Error()
	}
	defer done()
	return rpwire.OrderOutcome(resp.StatusCode), resp.Status
}

func (s *orderSender) reportEngine(cmd rpfleet.ReadReport) {
	event := rpfleet.EngineReported{Endpoint: cmd.Endpoint}
	report, err := s.fetchReport(cmd)
	if err != nil {
		s.log.Warn().Err(err).Str("endpoint", string(cmd.Endpoint)).Msg("the report of an engine was not read")
		event.Failed = true
	}
	event.Report = report
	event.Stamp = s.loop.stamp()
	s.loop.apply(event)
}

func (s *orderSender) fetchReport(cmd rpfleet.ReadReport) (rpfleet.EngineReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	req, err := rpwire.NewReportRequest(ctx, cmd)
	if err != nil {
		return rpfleet.EngineReport{}, err
	}
	resp, done, _, err := s.forwarder.Send(req, nil)
	if err != nil {
		return rpfleet.EngineReport{}, err
	}
	defer done()
	return rpwire.DecodeReport(resp)
}
