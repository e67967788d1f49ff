package rpcore

import (
	"slices"
	"time"
)

// endpoint is what this instance knows about one model engine or one endpoint
// of a plain service.
type endpoint struct {
	Member
	id EndpointID
	// leaving is set by the first evidence from any source that the endpoint is
	// about to stop. It is reset when another incarnation is listed, and as
	// leavingByRefusal describes.
	leaving bool
	// leavingByRefusal is set if the only evidence for leaving is a refused
	// connection. A later report with a sequence above knownSequence then
	// resets leaving.
	leavingByRefusal bool
	// refusedAt is the time of the last known refused connection, by this
	// instance's clock.
	refusedAt time.Time
	// knownSequence is the highest sequence of a report that is known to exist.
	// For a plain service, which sends no reports, it counts the refusal
	// periods that have ended.
	knownSequence uint64
	// knownSequenceAt is the time at which that report was taken, by this
	// instance's clock. It is valid only while leavingByRefusal is not set.
	knownSequenceAt time.Time
	listedAt        time.Time
	// reportSharedAt is the time at which a report was last sent to the peers.
	reportSharedAt time.Time
	// report is the newest report of the incarnation. reportedAt is the time at
	// which this instance received it, or zero if there is none.
	report     EngineReport
	reportedAt time.Time
	// loaded lists the models and adapters that the endpoint can serve now,
	// according to its reports and its answers to orders. Those that it
	// declined as not loaded are removed.
	loaded map[ModelKey]loadedEntry
	// inFlight is the number of attempts of this instance in progress.
	inFlight int
	health   endpointHealth
	// home is the home instance of the engine. It is computed from the live
	// instances of homeIndex.
	home InstanceID
	// row is the cached table row of the engine, or nil before its first read.
	row   *cachedRow
	cache prefixCacheView
}

// loadedEntry is a model or adapter that an endpoint has loaded.
type loadedEntry struct {
	LoadedModel
	// since is the time at which this instance learned of it.
	since time.Time
	// unloading is set once an unload has been decided. No new requests are
	// sent.
	unloading bool
	// unrecordedSince is the time since which the model is known to have no
	// slot in the table. It is zero if the model has one.
	unrecordedSince time.Time
}

// serves reports whether new requests for a model may be sent to the endpoint.
func (e *endpoint) serves(key ModelKey) bool {
	entry, ok := e.loaded[key]
	return ok && !entry.unloading && !e.leaving
}

// endpointIDs returns the sorted ids of endpoints, so that no decision depends
// on the iteration order of the map.
func endpointIDs(endpoints map[EndpointID]*endpoint) []EndpointID {
	ids := make([]EndpointID, 0, len(endpoints))
	for id := range endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
