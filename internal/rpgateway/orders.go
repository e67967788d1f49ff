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

// orders carries out the orders and questions to engines.
type orders struct {
	loop    *loop
	forward *rpendpoint.Forwarder
	holder  rpcore.InstanceID
	log     zerolog.Logger
	observe *observer

	mu       sync.Mutex
	underWay map[rpcore.OrderID]context.CancelFunc
}

// begin returns the context of an order, which ends with the lease that allows
// the order. end must be called when the order has ended.
func (o *orders) begin(cmd rpfleet.SendOrder) (ctx context.Context, end func()) {
	left := min(orderTimeout, time.Until(o.loop.clock.local(cmd.NotAfter)))
	ctx, cancel := context.WithTimeout(context.Background(), left)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.underWay == nil {
		o.underWay = map[rpcore.OrderID]context.CancelFunc{}
	}
	o.underWay[cmd.Order] = cancel
	return ctx, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.underWay, cmd.Order)
		cancel()
	}
}

// cancelAll gives up the orders under way. One that has not begun yet finds that
// the lease is not held any more.
func (o *orders) cancelAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, cancel := range o.underWay {
		cancel()
	}
}

// send sends an order at most once, and not after the lease that allows it has
// ended.
func (o *orders) send(cmd rpfleet.SendOrder) {
	event := rpfleet.OrderAnswered{Order: cmd.Order}
	event.Outcome, event.Detail = o.exchange(cmd)
	event.Stamp = o.loop.stamp()
	o.observe.orderEnded(cmd.Kind, event.Outcome)
	o.loop.apply(event)
}

func (o *orders) exchange(cmd rpfleet.SendOrder) (rpfleet.OrderOutcome, string) {
	ctx, end := o.begin(cmd)
	defer end()
	req, err := rpwire.NewOrder(ctx, cmd, o.holder)
	if err != nil {
		return rpfleet.OrderNotSent, err.Error()
	}
	if !o.loop.mayOrder(cmd) {
		return rpfleet.OrderNotSent, "the lease has ended"
	}
	// The lease may end while the connection is made, also because the instance is
	// paused.
	resp, done, verdict, err := o.forward.Send(req, func() bool { return o.loop.mayOrder(cmd) })
	if err != nil {
		if verdict == rpverdict.NotRun {
			return rpfleet.OrderNotSent, err.Error()
		}
		return rpfleet.OrderUnknown, err.Error()
	}
	defer done()
	return rpwire.OrderOutcome(resp.StatusCode), resp.Status
}

func (o *orders) report(cmd rpfleet.ReadReport) {
	event := rpfleet.EngineReported{Endpoint: cmd.Endpoint}
	report, err := o.readReport(cmd)
	if err != nil {
		o.log.Warn().Err(err).Str("endpoint", string(cmd.Endpoint)).Msg("the report of an engine was not read")
		event.Failed = true
	}
	event.Report = report
	event.Stamp = o.loop.stamp()
	o.loop.apply(event)
}

func (o *orders) readReport(cmd rpfleet.ReadReport) (rpfleet.EngineReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	req, err := rpwire.NewReport(ctx, cmd)
	if err != nil {
		return rpfleet.EngineReport{}, err
	}
	resp, done, _, err := o.forward.Send(req, nil)
	if err != nil {
		return rpfleet.EngineReport{}, err
	}
	defer done()
	return rpwire.DecodeReport(resp)
}
