package rpcapacity

import "time"

// Size describes a deployment.
type Size struct {
	Name              string
	Instances         int
	Domains           int
	Engines           int
	Models            int
	Adapters          int
	RequestsPerSecond float64
	TokensPerSecond   float64
	// WakesPerHour is the fraction of models and adapters that wake up or
	// become idle within an hour.
	WakesPerHour  float64
	ChangesPerDay float64
	// ListChangesPerDay is the number of failures, restarts and replacements
	// of members.
	ListChangesPerDay float64
	// SingleRunShare is the assumed fraction of requests that must not run
	// more than once, and thus need a claim.
	SingleRunShare float64
}

// The sizes of docs/design.md. It states no request rate for Snoepschep and
// Office; 50 requests and 5,000 tokens a second are assumed for them.
var (
	Design = Size{
		Name: "design size", Instances: 460, Domains: 27, Engines: 12000, Models: 1000, Adapters: 1300,
		RequestsPerSecond: 36000, TokensPerSecond: 8.6e6, WakesPerHour: 0.086, ChangesPerDay: 18000,
		ListChangesPerDay: 1275, SingleRunShare: 0.01,
	}
	Snoepschep = Size{
		Name: "Snoepschep", Instances: 9, Domains: 3, Engines: 23, Models: 100, Adapters: 120,
		RequestsPerSecond: 50, TokensPerSecond: 5000, WakesPerHour: 0.086, ChangesPerDay: 20,
		ListChangesPerDay: 10, SingleRunShare: 0.05,
	}
	Office = Size{
		Name: "the office", Instances: 6, Domains: 3, Engines: 13, Models: 50, Adapters: 60,
		RequestsPerSecond: 50, TokensPerSecond: 5000, WakesPerHour: 0.086, ChangesPerDay: 20,
		ListChangesPerDay: 10, SingleRunShare: 0.05,
	}
)

// Constants of pkg/rpcore and of the I/O packages around it that the formulas
// use.
const (
	heartbeatSeconds       = 1.0
	remoteHeartbeatSeconds = 5.0
	fullMeshInstances      = 9
	remotePeersPerDomain   = 2
	minPollSeconds         = 0.5
	pollSecondsPerEngine   = 0.04
	shareSeconds           = 1.0
	listSeconds            = 0.5
	modelAuditSeconds      = 30.0
	engineAuditSeconds     = 60.0
	spendSeconds           = 60.0
	// wireOverhead is the number of bytes that QUIC, UDP and IP add to a
	// message: a message of 152 bytes takes 195 (benchmarks of internal/rppeer).
	wireOverhead = 43.0
	// loadWrites is the number of table transactions for one load and one
	// unload: reserve, settle, mark unloading, free.
	loadWrites = 4.0
	// claimWrites is the number of table writes for one claimed request.
	claimWrites    = 2.0
	secondsPerHour = float64(time.Hour / time.Second)
	secondsPerDay  = 24 * secondsPerHour
)

// Budgets of control on one instance at the design size.
const (
	cpuBudgetPercent   = 4.0
	memoryBudgetBytes  = 32e6
	networkBudgetBytes = 5e3
	tableWriteBudget   = 300.0
	tableReadBudget    = 2000.0
)

// hasLimitedPeers reports whether an instance connects only to some of the
// others.
func (z Size) hasLimitedPeers() bool { return z.Instances > fullMeshInstances }

// localPeers is the number of peers that receive a heartbeat every second: all
// peers in a small deployment, otherwise those in the same failure domain.
func (z Size) localPeers() float64 {
	if !z.hasLimitedPeers() {
		return float64(z.Instances - 1)
	}
	return float64(z.Instances)/float64(z.Domains) - 1
}

// remotePeers is the number of peers in other failure domains if the peers are
// limited, otherwise 0.
func (z Size) remotePeers() float64 {
	if !z.hasLimitedPeers() {
		return 0
	}
	return float64(z.Domains-1) * remotePeersPerDomain
}

func (z Size) peers() float64 { return z.localPeers() + z.remotePeers() }

// heartbeatsPerSecond is the rate of heartbeats that an instance sends.
func (z Size) heartbeatsPerSecond() float64 {
	return z.localPeers()/heartbeatSeconds + z.remotePeers()/remoteHeartbeatSeconds
}

// polledEngines is the mean number of engines that an instance polls.
func (z Size) polledEngines() float64 { return float64(z.Engines) / float64(z.Instances) }

// pollsPerSecond is the rate of polls by one instance.
func (z Size) pollsPerSecond() float64 {
	return z.polledEngines() / max(minPollSeconds, z.polledEngines()*pollSecondsPerEngine)
}

// sharesPerSecond is the rate of reports that an instance forwards to its peers
// while the load of every engine changes.
func (z Size) sharesPerSecond() float64 {
	return min(z.pollsPerSecond(), z.polledEngines()/shareSeconds) * z.peers()
}

// listEntries is the number of entries in the instance list.
func (z Size) listEntries() float64 { return float64(z.Instances + z.Engines) }

func (z Size) requestsPerInstance() float64 { return z.RequestsPerSecond / float64(z.Instances) }

func (z Size) tokensPerInstance() float64 { return z.TokensPerSecond / float64(z.Instances) }

// loadsPerSecond is the rate of loads in the whole deployment.
func (z Size) loadsPerSecond() float64 {
	return float64(z.Models+z.Adapters) * z.WakesPerHour / secondsPerHour
}

// tableWritesPerSecond is the rate of table writes by the whole deployment.
func (z Size) tableWritesPerSecond() float64 {
	claims := z.RequestsPerSecond * z.SingleRunShare * claimWrites
	return z.loadsPerSecond()*loadWrites + claims + z.ChangesPerDay/secondsPerDay
}

// tableReadsPerSecond is the rate of table reads by the whole deployment.
func (z Size) tableReadsPerSecond() float64 {
	readers := float64(z.Domains)
	audits := float64(z.Models)/modelAuditSeconds + float64(z.Engines)/engineAuditSeconds
	spend := float64(z.Models+z.Instances) / spendSeconds
	return readers + audits + spend + z.loadsPerSecond()*loadWrites
}

func (z Size) changesPerSecond() float64 { return z.ChangesPerDay / secondsPerDay }

func (z Size) listChangesPerSecond() float64 { return z.ListChangesPerDay / secondsPerDay }
