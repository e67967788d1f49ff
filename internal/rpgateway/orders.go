package rpgateway

import (
	"context"
	"errors"
	"net/http"
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
	// orderTimeout limits the wait for the response to an order. Engines respond
	// before they execute it.
	orderTimeout = 800 * time.Millisecond
	// reportTimeout limits the wait for a report of an engine.
	reportTimeout = 800 * time.Millisecond
)

// orderSender sends orders to engines and reads their reports.
type orderSender struct {
	loop      *loop
	forwarder *rpendpoint.Forwarder
	holder    rpcore.InstanceID
	log       zerolog.Logger
	observer  *observer

	mu       sync.Mutex
	inFlight map[rpcore.OrderID]context.CancelFunc
}

// startOrder registers an order and returns its context, which ends with the
// lease that allows the order. The caller must call end when the order has ended.
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

// cancelAll cancels the orders in flight. An order that has not started yet is
// stopped by maySendOrder, because the lease is no longer held.
func (s *orderSender) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.inFlight {
		cancel()
	}
}

// send sends an order at most once, and never after the lease that allows it has
// ended. It applies the outcome to the loop.
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
	if !s.loop.maySendOrder(cmd) {
		return rpfleet.OrderNotSent, "the lease has ended"
	}
	// The lease may end while the connection is established, for example because
	// the process is paused. Send checks it again before the first byte.
	resp, done, verdict, err := s.forwarder.Send(req, func() bool { return s.loop.maySendOrder(cmd) })
	if err != nil {
		if verdict == rpverdict.NotRun {
			return rpfleet.OrderNotSent, err.Error()
		}
		return rpfleet.OrderUnknown, err.Error()
	}
	defer done()
	s.applyNotice(resp, cmd.Endpoint, cmd.Incarnation)
	return rpwire.OrderOutcome(resp.StatusCode), resp.Status
}

// readReport reads the report of an engine and applies it to the loop.
func (s *orderSender) readReport(cmd rpfleet.ReadReport) {
	event := rpfleet.EngineReported{Endpoint: cmd.Endpoint}
	report, err := s.fetchReport(cmd)
	if err != nil {
		s.log.Warn().Err(err).Str("endpoint", string(cmd.Endpoint)).Msg("failed to read the report of an engine")
		event.Failed = true
	}
	event.Report = report
	event.Stamp = s.loop.stamp()
	s.loop.apply(event)
}

// checkEngine asks an engine for its report to find out whether the incarnation still
// runs.
func (s *orderSender) checkEngine(cmd rpfleet.CheckEngine) {
	event := s.askEngine(cmd)
	event.Stamp = s.loop.stamp()
	s.loop.apply(event)
}

// askEngine returns the answer to a check, without its time.
func (s *orderSender) askEngine(cmd rpfleet.CheckEngine) rpfleet.EngineChecked {
	event := rpfleet.EngineChecked{Endpoint: cmd.Endpoint, Incarnation: cmd.Incarnation}
	report, err := s.fetchReport(rpfleet.ReadReport{Endpoint: cmd.Endpoint, Incarnation: cmd.Incarnation, Address: cmd.Address})
	if err != nil {
		s.log.Info().Err(err).Str("endpoint", string(cmd.Endpoint)).Msg("an engine does not answer after it broke a stream off")
		// A busy engine rejects the call, and one in trouble may send a malformed
		// head. 421 means that another engine has the address.
		var status rpwire.ReportStatusError
		event.Alive = errors.As(err, &status) && status.Status != http.StatusMisdirectedRequest || errors.Is(err, rpendpoint.ErrMalformedHead)
		return event
	}
	event.Alive = report.Incarnation == "" || cmd.Incarnation == "" || report.Incarnation == cmd.Incarnation
	return event
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
	s.applyNotice(resp, cmd.Endpoint, cmd.Incarnation)
	return rpwire.DecodeReport(resp)
}

// applyNotice applies what an engine says about itself in its response to an order
// or in its report.
func (s *orderSender) applyNotice(resp *http.Response, id rpcore.EndpointID, incarnation rpcore.Incarnation) {
	head := rpwire.ReadResponseHead(resp)
	if head.Problem != "" {
		s.log.Warn().Str("endpoint", string(id)).Str("problem", head.Problem).Msg("ignoring a header of an engine")
	}
	if head.EndpointNotice != (rpfleet.EndpointNotice{}) {
		s.loop.applyNotice(id, incarnation, head.EndpointNotice)
	}
}
