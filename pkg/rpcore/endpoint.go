package rpcore

import (
	"slices"
	"time"
)

// endpoint is the view that this instance has of one model engine or plain
// service.
type endpoint struct {
	Member
	id EndpointID
	// leaving is set by the first evidence from any source and holds until
	// another incarnation is listed.
	leaving bool
	// leavingByRefusal says that leaving rests on a refused connection alone, which a
	// report after answered refutes.
	leavingByRefusal bool
	// refusedAt is the time of the last refused connection that is known, by
	// this instance's clock.
	refusedAt time.Time
	// knownSequence is the highest sequence of a report that is known to exist. For
	// a plain service, which reports nothing, it counts the refusals that
	// ended.
	knownSequence uint64
	// knownSequenceAt is the time at which that report was taken, by this instance's
	// clock. It is kept while no refusal holds.
	knownSequenceAt time.Time
	listedAt        time.Time
	// reportSharedAt is the time at which the report was last sent to the peers.
	reportSharedAt time.Time
	// report is the newest report of the incarnation; reportedAt is the time
	// at which it reached this instance, zero where there is none.
	report     EngineReport
	reportedAt time.Time
	// loaded lists what the endpoint can serve now: from its reports, from
	// the answers to orders, less what it refused as not loaded.
	loaded map[ModelKey]loadedEntry
	// inFlight counts the attempts of this instance.
	inFlight int
	health   endpointHealth
	// home is the home of the engine, for the live instances of homeIndex.
	home InstanceID
	// row is the row of the engine as known, nil before it was first read.
	row   *knownRow
	cache cacheView
}

// loadedEntry is a model or adapter that an endpoint has loaded.
type loadedEntry struct {
	LoadedModel
	// since is the time at which this instance learned of it.
	since time.Time
	// unloading says that an unload was decided on, so no new work is sent.
	unloading bool
	// unrecordedSince is the time since which it is known to have no slot; zero
	// where it has one.
	unrecordedSince time.Time
}

// serves reports whether new work for a model may be sent to the endpoint.
func (e *endpoint) serves(key ModelKey) bool {
	entry, ok := e.loaded[key]
	return ok && !entry.unloading && !e.leaving
}

// endpointIDs returns the ids of endpoints in order, so that no decision
// depends on map order.
func endpointIDs(endpoints map[EndpointID]*endpoint) []EndpointID {
	ids := make([]EndpointID, 0, len(endpoints))
	for id := range endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
