package rpgateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcaller"
)

// usageInterval is how often the use of memory and connections by callers is
// recorded. A log line about a limit is also written at most that often, because
// callers determine how often they meet it.
const usageInterval = time.Second

// callerUsage is what callers hold, and how often limits have ended that.
type callerUsage struct {
	memory      rpcaller.Stats
	limit       int64
	connections [connPhases]int
	maxOpen     int
	stats       connStats
}

func (s *callerConns) usage() callerUsage {
	usage := callerUsage{memory: s.budget.Stats(), limit: s.budget.Limit, maxOpen: s.maxOpen}
	s.mu.Lock()
	defer s.mu.Unlock()
	usage.stats = s.stats
	for c := range s.open {
		usage.connections[c.currentPhase()]++
	}
	return usage
}

func (c *callerConn) currentPhase() connPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// watchUsage records the use by callers until the context ends.
func (c *callerServer) watchUsage(ctx context.Context) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	var last callerUsage
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			usage := c.conns.usage()
			c.observer.callerUsage(usage, last)
			logUsage(c.log, usage, last)
			last = usage
		}
	}
}

var (
	memoryUses = [rpcaller.Uses]string{rpcaller.UseHeader: "header", rpcaller.UseBody: "body", rpcaller.UseRequest: "request"}
	connStates = [connPhases]string{phaseNew: "new", phaseIdle: "idle", phaseHeader: "header", phaseActive: "active"}
)

// callerUsage records what has changed since the last time.
func (o *observer) callerUsage(usage, last callerUsage) {
	for use, name := range memoryUses {
		o.metrics.CallerMemory(name, usage.memory.Bytes[use])
	}
	for phase, name := range connStates {
		o.metrics.CallerConnections(name, usage.connections[phase])
	}
	o.metrics.CallerLimit("header_too_large", usage.stats.headerTooLarge-last.stats.headerTooLarge)
	o.metrics.CallerLimit("evicted", usage.memory.Evicted-last.memory.Evicted)
	o.metrics.CallerLimit("memory_short", usage.memory.Short-last.memory.Short)
	o.metrics.CallerLimit("connection_closed", usage.stats.closed-last.stats.closed)
	o.metrics.CallerLimit("connection_rejected", usage.stats.rejected-last.stats.rejected)
}

// logUsage logs who holds the memory or the connections if a limit ended something
// since the last time.
func logUsage(log zerolog.Logger, usage, last callerUsage) {
	if usage.memory.Evicted != last.memory.Evicted || usage.memory.Short != last.memory.Short {
		entry := log.Warn().Int64("evicted", usage.memory.Evicted-last.memory.Evicted).Int64("refused", usage.memory.Short-last.memory.Short).
			Int64("limit_bytes", usage.limit)
		for use, name := range memoryUses {
			entry = entry.Int64(name+"_bytes", usage.memory.Bytes[use])
		}
		entry.Msg("memory for requests of callers is short")
	}
	if usage.stats.closed != last.stats.closed || usage.stats.rejected != last.stats.rejected {
		entry := log.Warn().Int64("closed", usage.stats.closed-last.stats.closed).Int64("rejected", usage.stats.rejected-last.stats.rejected).
			Int("limit", usage.maxOpen)
		for phase, name := range connStates {
			entry = entry.Int(name, usage.connections[phase])
		}
		entry.Msg("the bound of open connections of callers is reached")
	}
}
