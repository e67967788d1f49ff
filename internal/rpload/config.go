package rpload

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
)

// Defaults of a Config.
const (
	DefaultPromptTokens = 64
	DefaultMaxTokens    = 32
	// DefaultInProgressLimit limits memory use. A request in progress takes
	// about 50 KB, including its connection.
	DefaultInProgressLimit = 10_000
	DefaultPatience        = 30 * time.Second
	DefaultWait            = 30 * time.Second
	// DefaultLateAllowance covers the network latency of a refusal that the
	// instance sends at the deadline.
	DefaultLateAllowance = 50 * time.Millisecond
)

// Config describes a run. The defaults replace zero values.
type Config struct {
	// Targets are the callers' addresses of instances. Requests are sent to them
	// round-robin.
	Targets []netip.AddrPort
	// Kinds lists the models and routes that are requested.
	Kinds []RequestKind
	// Zipf is the exponent of a Zipf distribution over Kinds, in their order. If
	// it is 0, the weights of Kinds apply.
	Zipf float64
	// Ranks holds the weights of the ranks. If all are 0, requests are sent
	// without a rank and the document determines it.
	Ranks RankMix

	// Rate is the rate of the base phase in requests/s. It may be 0 if there are
	// bursts or wake-ups.
	Rate     float64
	Arrivals ArrivalProcess
	// Duration is the period in which requests start.
	Duration time.Duration
	Bursts   []Burst
	Gaps     []Gap
	Wakes    []Wake

	// Timeouts are sent as Rattan-Timeout; 0 sends none.
	Timeouts RankTimeouts
	// Patience is how long the generator waits for the answer to a request after
	// the request's deadline. It applies only to requests with a timeout.
	Patience time.Duration
	// Wait limits how long the run continues after an interruption. It also
	// limits how long the run continues after the last arrival if requests of
	// some rank have no timeout.
	Wait time.Duration
	// LateAllowance is how long after its deadline a request may end without
	// being counted as late.
	LateAllowance time.Duration

	// PromptTokens is the number of tokens of a prompt, MaxTokens the number of
	// tokens requested for its answer.
	PromptTokens int
	MaxTokens    int
	// Seed is the seed of all random choices.
	Seed uint64
	// InProgressLimit limits the requests in progress. Requests above it are
	// counted but not sent.
	InProgressLimit int
	// RetryNotRun sends a request once more, to the next target, if the first
	// target did not run it for a reason that applies only to that target.
	RetryNotRun bool
	// IdempotencyKeys sends an idempotency key with completions. Requests to
	// plain services always have one.
	IdempotencyKeys bool
	// Credential is sent as a bearer token if it is not empty.
	Credential string
	// RunID is the prefix of all request ids and idempotency keys. The default is
	// random: with the keys of an earlier run, instances would answer with the
	// recorded outcomes of that run.
	RunID string

	// Expect returns the tokens that the completion of a request must have, or
	// nil if they are unknown. It must be safe for concurrent use. If Expect is
	// nil, tokens are not compared.
	Expect func(Request) []string
	// Dial connects to a target. The default uses a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  zerolog.Logger
}

// dialTimeout is the timeout of a connection attempt.
const dialTimeout = 5 * time.Second

func (c Config) withDefaults() Config {
	setDefault(&c.Arrivals, Poisson)
	setDefault(&c.PromptTokens, DefaultPromptTokens)
	setDefault(&c.MaxTokens, DefaultMaxTokens)
	setDefault(&c.InProgressLimit, DefaultInProgressLimit)
	setDefault(&c.Patience, DefaultPatience)
	setDefault(&c.Wait, DefaultWait)
	setDefault(&c.LateAllowance, DefaultLateAllowance)
	if c.RunID == "" {
		c.RunID = uuid.NewString()
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return c
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
