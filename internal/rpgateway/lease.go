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

// leaseTimeout limits a store call for the lease. A slow store takes 60 times the
// usual 4 ms. A call that takes longer than the timeout leaves no time for a retry
// before the lease ends.
const leaseTimeout = 500 * time.Millisecond

// keyLease is the key of the planner's lease in TablePlanner.
const keyLease = "planner"

// leaseBody is the value of the lease row in the store.
type leaseBody struct {
	Holder   rpcore.InstanceID `json:"holder"`
	Address  netip.AddrPort    `json:"address"`
	Epoch    uint64            `json:"epoch"`
	Renewals uint64            `json:"renewals"`
	// ValidUntilMs is the end of the lease, on the store's clock.
	ValidUntilMs int64 `json:"valid_until_ms"`
	// OrdersFromMs is the latest time of the holder's first order, on the store's
	// clock.
	OrdersFromMs int64 `json:"orders_from_ms"`
	// Released is set when the holder gave the lease up. OrderAgesMs is then the
	// time since its last order to each engine.
	Released    bool                        `json:"given,omitempty"`
	OrderAgesMs map[rpcore.EndpointID]int64 `json:"order_ages_ms,omitempty"`
	// Era is the era of the store in which the row was written. Earlier versions of
	// the program neither write nor read it.
	Era uint64 `json:"era,omitempty"`
	// Instances is the number of instances that the holder knows. Earlier versions
	// of the program neither write nor read it.
	Instances int `json:"instances,omitempty"`
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
		Instances: row.Instances, Era: row.Era,
	})
}

// milliseconds rounds up, so that no instance assumes that the holder stopped
// earlier than it did.
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
	lease.Released, lease.Era = body.Released, body.Era
	lease.Instances = max(0, body.Instances)
	for _, id := range slices.Sorted(maps.Keys(body.OrderAgesMs)) {
		age := time.Duration(body.OrderAgesMs[id]) * time.Millisecond
		lease.RecentOrders = append(lease.RecentOrders, rpfleet.RecentOrder{Endpoint: id, Age: age})
	}
	lease.ValidUntil = rpfleet.StoreTime(time.Duration(body.ValidUntilMs) * time.Millisecond)
	return lease, nil
}

// leaseClient reads and writes the planner's lease in the store.
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
		l.log.Warn().Err(err).Msg("failed to read the planner's lease")
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
		if err == nil && event.Row.Revision.Era() != cmd.Row.Era {
			// The store has come back from a copy since the row was decided on.
			err = rpwire.ErrEarlierEra
		}
	}
	if err != nil {
		l.handleWriteError(&event, err)
	}
	event.Stamp = l.loop.stamp()
	l.loop.apply(event)
}

// readAfterEra reads the row after a write whose condition was from an earlier era of the
// store, and reports it as a conflict.
func (l *leaseClient) readAfterEra(event *rpfleet.LeaseWritten) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	event.Outcome = rpcore.WriteUnknown
	event.AskedAt = l.loop.clock.Now()
	row, storeNow, err := l.store.Read(ctx, rpwire.TablePlanner, keyLease)
	if err != nil {
		l.log.Warn().Err(err).Msg("failed to read the planner's lease")
		return
	}
	current, err := decodeLease(row)
	if err != nil {
		l.log.Error().Err(err).Msg("can't decode the planner's lease")
		return
	}
	event.Outcome, event.Row, event.StoreNow = rpcore.WriteConflict, current, rpfleet.StoreTime(storeNow)
}

// handleWriteError sets the outcome of a failed write, and after a conflict the
// current lease.
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
				l.log.Error().Err(err).Msg("can't decode the planner's lease")
			}
		}
	case errors.As(err, &status) && (status.Status == http.StatusServiceUnavailable || status.Status == http.StatusTooManyRequests):
		event.Outcome = rpcore.WriteUnavailable
	case errors.Is(err, rpwire.ErrEarlierEra):
		l.readAfterEra(event)
	default:
		event.Outcome = rpcore.WriteUnknown
	}
	l.log.Warn().Err(err).Str("outcome", string(event.Outcome)).Uint64("epoch", event.Row.Epoch).
		Msg("failed to write the planner's lease")
}
