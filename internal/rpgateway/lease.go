package rpgateway

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// leaseTimeout bounds a call about the lease. A slow store takes 60 times the
// usual 4 ms; a call that takes longer leaves no time for another one before the
// lease ends.
const leaseTimeout = 500 * time.Millisecond

// keyLease is the key of the row of the planner's lease.
const keyLease = "planner"

// leaseBody is the row of the lease.
type leaseBody struct {
	Holder   rpcore.InstanceID `json:"holder"`
	Address  netip.AddrPort    `json:"address"`
	Epoch    uint64            `json:"epoch"`
	Renewals uint64            `json:"renewals"`
	// ValidUntilMs is the end of the lease by the clock of the store.
	ValidUntilMs int64 `json:"valid_until_ms"`
	// OrdersFromMs is when the holder gives its first order at the latest, by
	// the same clock.
	OrdersFromMs int64 `json:"orders_from_ms"`
	// Released says that the holder gave the lease up, and OrderAgesMs how long
	// before it had given the last order to each engine.
	Released    bool                        `json:"given,omitempty"`
	OrderAgesMs map[rpcore.EndpointID]int64 `json:"order_ages_ms,omitempty"`
}

func encodeLease(row rpfleet.LeaseRow) ([]byte, error) {
	ages := make(map[rpcore.EndpointID]int64, len(row.RecentOrders))
	for _, order := range row.RecentOrders {
		ages[order.Endpoint] = order.Age.Milliseconds()
	}
	return json.Marshal(leaseBody{
		Released: row.Released, OrderAgesMs: ages,
		Holder: row.Holder, Address: row.Address, Epoch: row.Epoch, Renewals: row.Renewals,
		ValidUntilMs: milliseconds(row.ValidUntil), OrdersFromMs: milliseconds(row.OrdersFrom),
	})
}

// milliseconds rounds up: a holder must not be thought to have stopped before it
// has.
func milliseconds(t rpfleet.StoreTime) int64 {
	return int64(math.Ceil(float64(t) / float64(time.Millisecond)))
}

func decodeLease(row rpwire.Row) (rpfleet.LeaseRow, error) {
	lease := rpfleet.LeaseRow{Revision: row.Revision}
	if row.Revision == 0 {
		return lease, nil
	}
	var body leaseBody
	if err := json.Unmarshal(row.Value, &body); err != nil {
		return lease, err
	}
	lease.Holder, lease.Address, lease.Epoch, lease.Renewals = body.Holder, body.Address, body.Epoch, body.Renewals
	lease.OrdersFrom = rpfleet.StoreTime(time.Duration(body.OrdersFromMs) * time.Millisecond)
	lease.Released = body.Released
	for _, id := range slices.Sorted(maps.Keys(body.OrderAgesMs)) {
		age := time.Duration(body.OrderAgesMs[id]) * time.Millisecond
		lease.RecentOrders = append(lease.RecentOrders, rpfleet.RecentOrder{Endpoint: id, Age: age})
	}
	lease.ValidUntil = rpfleet.StoreTime(time.Duration(body.ValidUntilMs) * time.Millisecond)
	return lease, nil
}

// leaseClient carries out the calls about the planner's lease.
type leaseClient struct {
	loop  *loop
	store *rpwire.Store
	log   zerolog.Logger
}

func (l *leaseClient) read() {
	event := rpfleet.LeaseRead{AskedAt: l.loop.clock.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	row, storeNow, err := l.store.Read(ctx, rpwire.TablePlanner, keyLease)
	event.StoreNow = rpfleet.StoreTime(storeNow)
	if err == nil {
		event.Row, err = decodeLease(row)
	}
	if err != nil {
		l.log.Warn().Err(err).Msg("the planner's lease can't be read")
		event.Failed = true
	}
	event.Stamp = l.loop.stamp()
	l.loop.apply(event)
}

func (l *leaseClient) write(cmd rpfleet.WriteLease) {
	event := rpfleet.LeaseWritten{AskedAt: l.loop.clock.Now(), Outcome: rpcore.WriteApplied, Row: cmd.Row}
	value, err := encodeLease(cmd.Row)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
		defer cancel()
		row := rpwire.Row{Table: rpwire.TablePlanner, Key: keyLease, Value: value}
		var storeNow time.Duration
		event.Row.Revision, storeNow, err = l.store.Write(ctx, row, cmd.Expected)
		event.StoreNow = rpfleet.StoreTime(storeNow)
	}
	if err != nil {
		l.handleWriteError(&event, err)
	}
	event.Stamp = l.loop.stamp()
	l.loop.apply(event)
}

func (l *leaseClient) handleWriteError(event *rpfleet.LeaseWritten, err error) {
	var conflict rpwire.ConflictError
	var status rpwire.StatusError
	switch {
	case errors.As(err, &conflict):
		event.Outcome = rpcore.WriteConflict
		event.Row = rpfleet.LeaseRow{}
		event.StoreNow = rpfleet.StoreTime(conflict.StoreNow)
		for _, row := range conflict.Rows {
			if row.Key != keyLease {
				continue
			}
			if event.Row, err = decodeLease(row); err != nil {
				l.log.Error().Err(err).Msg("the row of the planner's lease can't be read")
			}
		}
	case errors.As(err, &status) && (status.Status == http.StatusServiceUnavailable || status.Status == http.StatusTooManyRequests):
		event.Outcome = rpcore.WriteUnavailable
	default:
		event.Outcome = rpcore.WriteUnknown
	}
	l.log.Warn().Err(err).Str("outcome", string(event.Outcome)).Uint64("epoch", event.Row.Epoch).
		Msg("the planner's lease was not written")
}
