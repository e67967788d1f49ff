package rpcapacity

// Cost is the cost of one role for one instance. Every instance has every role;
// no instance is dedicated to one.
type Cost struct {
	Role      string
	Mechanism string
	// CPUPercent is in percent of one core. Messages and Bytes are sent and
	// received in one second.
	CPUPercent float64
	Messages   float64
	Bytes      float64
}

// Costs computes the control costs of one instance by role.
func (s Slopes) Costs(z Size) []Cost {
	pick := func(slope Slope) float64 {
		if z.hasLimitedPeers() {
			return slope.Design
		}
		return slope.Today
	}
	percent := func(rate, ns float64) float64 { return rate * ns / 1e9 * 100 }
	heartbeats := z.heartbeatsPerSecond()
	shares := z.sharesPerSecond()
	polls := z.pollsPerSecond()
	readings := 1 / listSeconds
	return []Cost{
		{
			Role:       "admission, routing and claims of requests",
			Mechanism:  "three events a request in the reducer",
			CPUPercent: percent(z.requestsPerInstance(), pick(s.RequestNS)),
			Messages:   0,
		},
		{
			Role:       "membership and document digests",
			Mechanism:  "heartbeats to the own failure domain and 2 peers of each other",
			CPUPercent: percent(heartbeats, pick(s.HeartbeatInNS)) + percent(1/heartbeatSeconds, pick(s.HeartbeatTickNS)),
			Messages:   2 * heartbeats,
			Bytes:      2 * heartbeats * (s.HeartbeatBytes + wireOverhead),
		},
		{
			Role:       "reports of the polled engines",
			Mechanism:  "one reporter an engine, by rendezvous hashing in its failure domain",
			CPUPercent: percent(polls, pick(s.ReportOwnNS)),
			Messages:   2 * polls,
			Bytes:      polls * s.ReportPollBytes,
		},
		{
			Role:       "sharing of reports",
			Mechanism:  "the reporter tells its peers, at most once a second an engine",
			CPUPercent: percent(shares, pick(s.ReportShareNS)),
			Messages:   2 * shares,
			Bytes:      2 * shares * (s.ReportShareBytes + wireOverhead),
		},
		{
			Role:       "reading of the instance list",
			Mechanism:  "conditional reading every 0.5 s, the whole list after a change",
			CPUPercent: percent(readings-z.listChangesPerSecond(), pick(s.ListSameNS)) + percent(z.listChangesPerSecond(), pick(s.ListChangedNS)),
			Messages:   2 * readings,
			Bytes:      readings*200 + z.listChangesPerSecond()*z.listEntries()*s.ListEntryBytes,
		},
		{
			Role:       "changes of documents",
			Mechanism:  "a notice from each peer of the own failure domain, the body once",
			CPUPercent: 0,
			Messages:   z.changesPerSecond() * (2*z.localPeers() + 2),
			Bytes:      z.changesPerSecond() * (2*z.localPeers()*(s.NoticeBytes+wireOverhead) + documentBytes),
		},
		{
			Role:       "demand for replicas",
			Mechanism:  "a Demand to the home of the model every 250 ms while requests wait",
			CPUPercent: 0,
			Messages:   z.demandsPerSecond(),
			Bytes:      z.demandsPerSecond() * (s.DemandBytes + wireOverhead),
		},
	}
}

// documentBytes is the assumed size of a document.
const documentBytes = 4096.0

// coldStartSeconds is the assumed time for which requests wait for a load.
const coldStartSeconds = 3.0

// demandsPerSecond is the rate of Demand messages and their answers at one
// instance, if requests for a model that wakes up wait at every instance.
func (z Size) demandsPerSecond() float64 {
	return z.loadsPerSecond() * coldStartSeconds * 4 * 2
}

// Total returns the sum of costs.
func Total(costs []Cost) Cost {
	total := Cost{Role: "total"}
	for _, c := range costs {
		total.CPUPercent += c.CPUPercent
		total.Messages += c.Messages
		total.Bytes += c.Bytes
	}
	return total
}

// StateBytesAt returns the heap size of a State with a number of engines. It
// interpolates linearly between the measured points and extrapolates beyond them.
func (s Slopes) StateBytesAt(engines int) float64 {
	points := s.StateBytes
	if len(points) == 0 {
		return 0
	}
	for i := 1; i < len(points); i++ {
		if engines <= points[i].Engines || i == len(points)-1 {
			a, b := points[i-1], points[i]
			slope := (b.Value - a.Value) / float64(b.Engines-a.Engines)
			return a.Value + slope*float64(engines-a.Engines)
		}
	}
	return points[0].Value
}

// relayPercent is the processor time that one instance needs to relay tokens, in
// percent of one core.
func (s Slopes) relayPercent(z Size) float64 {
	return z.tokensPerInstance() * s.RelayTokenNS / 1e9 * 100
}
