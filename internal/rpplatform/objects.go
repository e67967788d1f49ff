package rpplatform

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// DocumentBodyLimit is the maximum size of a document body, in bytes.
const DocumentBodyLimit = 64 << 10

// documentPrefix is the prefix of object keys; the hash follows it.
const documentPrefix = "documents/"

// Objects executes LoadDocument and StoreDocument effects on a bucket of a service
// with the S3 protocol. The body of a document is stored as the object
// documents/<hash>, where hash is its hexadecimal SHA-256 sum. Set all fields
// before the first use.
type Objects struct {
	WorkerPool
	Access
	// Bucket is the name of the bucket.
	Bucket string
	// Timeout is the timeout of one operation, including its time in the queue;
	// 0 means DefaultTimeout.
	Timeout time.Duration
	// Post receives the results. It must be safe for concurrent use.
	Post func(rpcore.Event)
	// Log receives failures; the zero value discards them.
	Log zerolog.Logger

	once   sync.Once
	sender *sender
	client *s3.Client
}

func (o *Objects) init() {
	o.once.Do(func() {
		o.sender = o.newSender()
		o.client = s3.New(s3.Options{
			BaseEndpoint: aws.String(o.Endpoint),
			Region:       o.region(),
			Credentials:  o.credentials(),
			HTTPClient:   o.sender,
			Retryer:      aws.NopRetryer{},
			UsePathStyle: true,
			// The checksums of the protocol are not needed, because this
			// client verifies the hash in the key.
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		})
	})
}

// Close waits for the operations in progress and closes the connections. If the
// context ends first, Close cancels the operations. Later operations are dropped.
func (o *Objects) Close(ctx context.Context) error {
	o.init()
	defer o.sender.close()
	return o.WorkerPool.Close(ctx)
}

// LoadDocument fetches a document body and posts DocumentLoaded.
func (o *Objects) LoadDocument(effect rpcore.LoadDocument) {
	done := func(body []byte, err error) {
		o.post(rpcore.DocumentLoaded{
			Stamp: stampNow(), Service: effect.Service, Version: effect.Version, Hash: effect.Hash,
			Body: body, Unavailable: err != nil,
		})
	}
	o.submitWithTimeout(func(ctx context.Context) {
		body, err := o.Load(ctx, effect.Hash)
		o.logFailure(err, "load", effect.Hash)
		done(body, err)
	}, func() { done(nil, QueueFullError{}) })
}

// StoreDocument stores a document body and posts DocumentStored.
func (o *Objects) StoreDocument(effect rpcore.StoreDocument) {
	done := func(err error) {
		o.post(rpcore.DocumentStored{Stamp: stampNow(), Submission: effect.Submission, Unavailable: err != nil})
	}
	o.submitWithTimeout(func(ctx context.Context) {
		err := o.Store(ctx, effect.Hash, effect.Body)
		o.logFailure(err, "store", effect.Hash)
		done(err)
	}, func() { done(QueueFullError{}) })
}

// submitWithTimeout submits a job to the worker pool. The timeout includes the time
// in the queue.
func (o *Objects) submitWithTimeout(job func(context.Context), refused func()) {
	deadline := time.Now().Add(orDefault(o.Timeout, DefaultTimeout))
	o.submit(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		job(ctx)
	}, refused)
}

func (o *Objects) post(ev rpcore.Event) {
	if o.Post != nil {
		o.Post(ev)
	}
}

func (o *Objects) logFailure(err error, operation, hash string) {
	if err != nil {
		o.Log.Warn().Err(err).Str("hash", hash).Msg("object store: " + operation + " failed")
	}
}

// Load returns the document body with the given hash. The error is a BodyError if
// the object has another hash or is too large.
func (o *Objects) Load(ctx context.Context, hash string) ([]byte, error) {
	o.init()
	if len(hash) != hex.EncodedLen(sha256.Size) {
		return nil, BodyError{Hash: hash, Reason: "the hash is not a SHA-256 sum"}
	}
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(o.Bucket), Key: aws.String(documentPrefix + hash),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer out.Body.Close()
	body, err := io.ReadAll(io.LimitReader(out.Body, DocumentBodyLimit+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := checkBody(hash, body); err != nil {
		return nil, err
	}
	return body, nil
}

// Store stores a document body under its hash. It is idempotent.
func (o *Objects) Store(ctx context.Context, hash string, body []byte) error {
	o.init()
	if err := checkBody(hash, body); err != nil {
		return err
	}
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(o.Bucket), Key: aws.String(documentPrefix + hash), Body: bytes.NewReader(body),
	})
	return trace.Wrap(err)
}

func checkBody(hash string, body []byte) error {
	if len(body) > DocumentBodyLimit {
		return BodyError{Hash: hash, Reason: "the body is too large"}
	}
	sum := sha256.Sum256(body)
	if got := hex.EncodeToString(sum[:]); got != hash {
		return BodyError{Hash: hash, Reason: "the body has a different hash: " + got}
	}
	return nil
}

// BodyError reports a document body that does not match its hash or is too large,
// or a hash that is invalid.
type BodyError struct {
	Hash   string
	Reason string
}

func (e BodyError) Error() string {
	return fmt.Sprintf("document body %s: %s", e.Hash, e.Reason)
}

// QueueFullError reports an operation that was rejected because the queue is full.
type QueueFullError struct{}

func (QueueFullError) Error() string { return "operation queue is full" }
