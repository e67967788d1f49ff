package rpgateway

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// postTimeout bounds a write of a demand. One that takes longer is repeated.
const postTimeout = 800 * time.Millisecond

// postsWait is how long the planner's call waits for demands in the store.
const postsWait = 8 * time.Second

// posts carries demands through the store, for instances that reach the store
// but not the planner.
type posts struct {
	loop  *loop
	store *rpwire.Store
	log   zerolog.Logger
}

func (p *posts) write(cmd rpfleet.PostDemand) {
	value, err := cbor.Marshal(cmd.Demand)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
		defer cancel()
		err = p.store.Put(ctx, rpwire.Row{Table: rpwire.TableDemands, Key: string(cmd.Demand.Instance), Value: value})
	}
	if err != nil {
		p.log.Warn().Err(err).Msg("a demand was not left in the store")
		return
	}
	p.log.Info().Int("needs", len(cmd.Demand.Needs)).Msg("left a demand in the store")
}

// follower hands the demands in the store to the loop while this instance
// plans. Those that were there before are out of date.
func (p *posts) follower() *follower {
	return &follower{
		store: p.store, table: rpwire.TableDemands, retry: p.loop.storeRetry, log: p.log,
		wait: func() time.Duration { return postsWait },
		idle: func() bool { return !p.loop.leading() },
		apply: func(rows []rpwire.Row, _ uint64, complete bool) {
			if complete {
				return
			}
			for _, row := range rows {
				p.take(row)
			}
		},
	}
}

func (p *posts) take(row rpwire.Row) {
	event := rpfleet.DemandPosted{}
	if row.Removed {
		return
	}
	if err := cbor.Unmarshal(row.Value, &event.Demand); err != nil {
		p.log.Warn().Err(err).Str("key", row.Key).Msg("a demand in the store can't be read")
		return
	}
	event.Stamp = p.loop.stamp()
	p.loop.apply(event)
}
