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

// DefaultTimeout is the default timeout of one operation of Table or Objects,
// including its time in the queue, and of one request of List.
const DefaultTimeout = 2 * time.Second

// Table executes ReadTable and WriteTable effects on one table of a service with
// the DynamoDB protocol. The table must have the partition key pk and the sort key
// sk, both strings, and may delete items by the time-to-live attribute ttl. Set all
// fields before the first use.
type Table struct {
	WorkerPool
	Access
	// Name is the name of the table.
	Name string
	// Timeout is the timeout of one operation, including its time in the queue;
	// 0 means DefaultTimeout.
	Timeout time.Duration
	// ReadsPerSecond and WritesPerSecond limit the rows that this instance reads
	// and writes; 0 means no limit. An operation that would have to wait longer
	// than its timeout fails as unavailable.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Post receives the results. It must be safe for concurrent use.
	Post func(rpcore.Event)
	// Log receives failures; the zero value discards them.
	Log zerolog.Logger

	once   sync.Once
	sender *sender
	client *dynamodb.Client
	reads  *rate.Limiter
	writes *rate.Limiter
}

// init creates the client and the limiters on first use.
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

// minLimiterBurst is the minimum burst size of a rate limiter. It equals the
// maximum number of rows in one request, so that the limiter can admit any request.
const minLimiterBurst = 100

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(minLimiterBurst, int(perSecond)))
}

// Close waits for the operations in progress and closes the connections. If the
// context ends first, Close cancels the operations. Later operations are dropped.
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
