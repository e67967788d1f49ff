package rpgateway

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
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
	if err := d.put(string(cmd.Demand.Instance), cmd.Demand); err != nil {
		d.log.Warn().Err(err).Msg("failed to write a demand to the store")
		return
	}
	d.log.Info().Int("needs", len(cmd.Demand.Needs)).Msg("wrote a demand to the store")
}

// useSuffix ends the keys of the rows with the use of accounts. Earlier versions of the
// program can't decode these rows, and skip them.
const useSuffix = "/use"

func (d *storeDemands) postUse(cmd rpfleet.PostUse) {
	if err := d.put(string(cmd.Instance)+useSuffix, cmd.Load); err != nil {
		d.log.Warn().Err(err).Msg("failed to write the use of accounts to the store")
		return
	}
	d.log.Info().Int("accounts", len(cmd.Load.Accounts)).Msg("wrote the use of accounts to the store")
}

func (d *storeDemands) put(key string, value any) error {
	body, err := cbor.Marshal(value)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
	defer cancel()
	return d.store.Put(ctx, rpwire.Row{Table: rpwire.TableDemands, Key: key, Value: body})
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
	if row.Removed {
		return
	}
	if instance, ok := strings.CutSuffix(row.Key, useSuffix); ok {
		d.receiveUse(rpcore.InstanceID(instance), row.Value)
		return
	}
	event := rpfleet.DemandPosted{}
	if err := cbor.Unmarshal(row.Value, &event.Demand); err != nil {
		d.log.Warn().Err(err).Str("key", row.Key).Msg("can't decode a demand from the store")
		return
	}
	event.Stamp = d.loop.stamp()
	d.loop.apply(event)
}

func (d *storeDemands) receiveUse(instance rpcore.InstanceID, body []byte) {
	event := rpfleet.UsePosted{Instance: instance}
	if err := cbor.Unmarshal(body, &event.Load); err != nil {
		d.log.Warn().Err(err).Str("instance", string(instance)).Msg("can't decode the use of accounts from the store")
		return
	}
	event.Stamp = d.loop.stamp()
	d.loop.apply(event)
}
