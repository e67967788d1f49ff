package rpcaller

const (
	// baseMemory is the part of the memory for the runtime, the reducer, the store
	// and the other instances. An idle process has 28 MB resident.
	baseMemory = 48 << 20
	// minRest is the least memory for callers. A single request of 4 MiB is served
	// in it.
	minRest = 24 << 20
	// unmanagedMemory is the part of the memory that the runtime does not manage:
	// the pages of the program and the stacks of its threads.
	unmanagedMemory = 20 << 20
	// connMemory is the memory of an idle connection of a caller. It was measured
	// with 1,500 of them (11 KB).
	connMemory = 12 << 10
	// RequestMemory is the memory of a request in progress without its header and
	// body: its connection to an endpoint, its buffers and its goroutines. It was
	// measured with 320 streams.
	RequestMemory = 48 << 10
	// fileDescriptors is the number of descriptors for files.
	fileDescriptors = 200
	// minSockets is the least number of descriptors for sockets.
	minSockets = 64
)

// Parts of what is left for callers. One half of the memory is headroom for garbage,
// because the collector runs at twice the live heap at the latest.
const (
	connShare    = 8 // one in 8 parts of memory for idle connections
	requestShare = 8 // 3 in 8 parts of memory for requests
	// callerSockets is the part of the sockets for connections of callers; a
	// request in progress also needs one to an endpoint.
	callerSockets = 2
	// idleSockets is the part of the sockets for idle connections to endpoints.
	idleSockets = 4
)

// Defaults of the limits. They are several times what the largest instance of a
// deployment has, so that callers within the limits of a configuration don't reach
// them.
const (
	DefaultMemory      = 2 << 30
	DefaultDescriptors = 1 << 16
)

// Limits is what the process may use. A zero field means its default.
type Limits struct {
	// Memory is the resident memory in bytes.
	Memory int64
	// Descriptors is the number of open descriptors.
	Descriptors int
}

func (l Limits) withDefaults() Limits {
	if l.Memory == 0 {
		l.Memory = DefaultMemory
	}
	if l.Descriptors == 0 {
		l.Descriptors = DefaultDescriptors
	}
	return l
}

// rest returns the memory for callers and for garbage.
func (l Limits) rest() int64 { return max(minRest, l.withDefaults().Memory-baseMemory) }

func (l Limits) sockets() int { return max(minSockets, l.withDefaults().Descriptors-fileDescriptors) }

// RequestBytes returns the memory for all requests together.
func (l Limits) RequestBytes() int64 { return 3 * l.rest() / requestShare }

// Connections returns the largest number of open connections of callers.
func (l Limits) Connections() int {
	return min(l.sockets()/callerSockets, int(l.rest()/connShare/connMemory))
}

// IdleEndpointConnections returns the largest number of idle connections to
// endpoints.
func (l Limits) IdleEndpointConnections() int { return l.sockets() / idleSockets }

// RuntimeBytes returns the memory limit of the runtime.
func (l Limits) RuntimeBytes() int64 {
	return max(minRest, l.withDefaults().Memory-unmanagedMemory)
}
