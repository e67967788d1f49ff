package rpplatform

import (
	"context"
	"sync"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// DefaultTimeout bounds one operation of Table or Objects, with its time in
// the queue.
const DefaultTimeout = 2 * time.Second

// Table carries out ReadTable and WriteTable on one table of a service with
// the DynamoDB protocol. The table has the partition key pk and the sort key
// sk, both strings, and may expire items by the attribute ttl. All fields must
// be set before the first use.
type Table struct {
	WorkerPool
	Access
	// Name is the name of the table.
	Name string
	// Timeout bounds one operation; 0 is DefaultTimeout.
	Timeout time.Duration
	// ReadsPerSecond and WritesPerSecond bound the rows that this instance
	// reads and writes; 0 is no bound. An operation that would have to wait
	// beyond its timeout ends as unavailable.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Post takes the answers. It must be safe for concurrent use.
	Post func(rpcore.Event)
	// Log gets failures; its zero value drops them.
	Log zerolog.Logger

	once   sync.Once
	sender *sender
	client *dynamodb.Client
	reads  *rate.Limiter
	writes *rate.Limiter
}

// init makes the client on first use.
func (t *Table) init() {
	t.once.Do(func() {
		t.sender = t.newSender()
		t.client = dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(t.Endpoint),
			Region:       t.region(),
			Credentials:  t.credentials(),
			HTTPClient:   t.sender,
			Retryer:      aws.NopRetryer{},
		})
		t.reads = newLimiter(t.ReadsPerSecond)
		t.writes = newLimiter(t.WritesPerSecond)
	})
}

// minLimiterBurst is the smallest burst of a limiter. It is the largest number of
// rows of one request, so that every request can pass.
const minLimiterBurst = 100

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(minLimiterBurst, int(perSecond)))
}

// Close waits for the operations under way, cancels them when the context
// ends, and closes the connections. Operations that come later are dropped.
func (t *Table) Close(ctx context.Context) error {
	t.init()
	defer t.sender.close()
	return t.WorkerPool.Close(ctx)
}

func (t *Table) post(ev rpcore.Event) {
	if t.Post != nil {
		t.Post(ev)
	}
}

func (t *Table) deadline() time.Time {
	return time.Now().Add(orDefault(t.Timeout, DefaultTimeout))
}

func stampNow() rpcore.Stamp { return rpcore.Stamp{At: time.Now()} }
