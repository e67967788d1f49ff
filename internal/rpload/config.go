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
	// DefaultInProgressLimit bounds the memory. A request in progress with its
	// connection takes some 50 KB.
	DefaultInProgressLimit = 10_000
	DefaultPatience        = 30 * time.Second
	DefaultWait            = 30 * time.Second
	// DefaultLateAllowance covers the way back of a refusal that is sent at
	// the deadline.
	DefaultLateAllowance = 50 * time.Millisecond
)

// Config describes a run. Fields with a default take it where they are zero.
type Config struct {
	// Targets are callers' addresses of instances. Requests take them in turn.
	Targets []netip.AddrPort
	// Kinds is the mix of requests.
	Kinds []RequestKind
	// Zipf is the exponent of a Zipf distribution over Kinds in their order.
	// With 0 the weights of Kinds apply.
	Zipf float64
	// Ranks is the mix of ranks. Its zero value sends no rank, so that the
	// document decides.
	Ranks RankMix

	// Rate is the rate of the base phase in requests/s. It may be 0 if there
	// are bursts or wakes.
	Rate     float64
	Arrivals ArrivalProcess
	// Duration is the time in which requests start.
	Duration time.Duration
	Bursts   []Burst
	Gaps     []Gap
	Wakes    []Wake

	// Timeouts are sent as Rattan-Timeout; 0 sends none.
	Timeouts RankTimeouts
	// Patience is how long a request with a known deadline is waited for after
	// that deadline.
	Patience time.Duration
	// Wait bounds the time after an interruption. It also bounds the time
	// after the last arrival if a rank of the mix has no timeout.
	Wait time.Duration
	// LateAllowance is how long after its deadline a request may end without
	// being counted as late.
	LateAllowance time.Duration

	// PromptTokens and MaxTokens are the tokens of a prompt and of its answer.
	PromptTokens int
	MaxTokens    int
	// Seed is the seed of all random choices.
	Seed uint64
	// InProgressLimit bounds the requests in progress.
	InProgressLimit int
	// RetryNotRun sends a request once more, to the next target, if the first
	// target did not run it for a reason that concerns only that target.
	RetryNotRun bool
	// IdempotencyKeys sends a key with completions too. Requests to plain
	// services always have one.
	IdempotencyKeys bool
	// Credential is sent as a bearer token if it is not empty.
	Credential string
	// RunID starts every request id and idempotency key. Its default is random,
	// so that a repeated run does not get the recorded outcomes of the earlier
	// one.
	RunID string

	// Expect returns the tokens that a completion must have, or nil where they
	// are not known. It may be nil and must be safe for concurrent use.
	Expect func(Request) []string
	// Dial connects to a target. Its default is that of net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  zerolog.Logger
}

// dialTimeout bounds a connection attempt that is not answered.
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
