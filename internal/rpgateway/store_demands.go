package rpgateway

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// postTimeout limits the write of a demand. The reducer repeats a write that
// takes longer.
const postTimeout = 800 * time.Millisecond

// demandPollWait is the wait time of the planner's long poll for demands.
const demandPollWait = 8 * time.Second

// storeDemands passes demands through the store, for instances that can reach the
// store but not the planner.
type storeDemands struct {
	loop  *loop
	store *rpwire.Store
	log   zerolog.Logger
}

func (d *storeDemands) post(cmd rpfleet.PostDemand) {
	value, err := cbor.Marshal(cmd.Demand)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
		defer cancel()
		err = d.store.Put(ctx, rpwire.Row{Table: rpwire.TableDemands, Key: string(cmd.Demand.Instance), Value: value})
	}
	if err != nil {
		d.log.Warn().Err(err).Msg("failed to write a demand to the store")
		return
	}
	d.log.Info().Int("needs", len(cmd.Demand.Needs)).Msg("wrote a demand to the store")
}

// follower returns a follower that applies demands from the store to the loop
// while this instance is the planner. It ignores demands written before then,
// which are out of date.
func (d *storeDemands) follower() *follower {
	return &follower{
		store: d.store, table: rpwire.TableDemands, loop: d.loop, log: d.log,
		pollWait: func() time.Duration { return demandPollWait },
		idle:     func() bool { return !d.loop.isPlanner() },
		apply: func(rows []rpwire.Row, _ rpfleet.Revision, complete bool) {
			if complete {
				return
			}
			for _, row := range rows {
				d.receive(row)
			}
		},
	}
}

func (d *storeDemands) receive(row rpwire.Row) {
	event := rpfleet.DemandPosted{}
	if row.Removed {
		return
	}
	if err := cbor.Unmarshal(row.Value, &event.Demand); err != nil {
		d.log.Warn().Err(err).Str("key", row.Key).Msg("can't decode a demand from the store")
		return
	}
	event.Stamp = d.loop.stamp()
	d.loop.apply(event)
}
