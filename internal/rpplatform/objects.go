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

// DocumentBodyLimit bounds the body of a document, in bytes.
const DocumentBodyLimit = 64 << 10

// documentPrefix stands before the hash in the key of an object.
const documentPrefix = "documents/"

// Objects carries out LoadDocument and StoreDocument on a bucket of a service
// with the S3 protocol. The body of a document is the object
// documents/<hash>, where the hash is its SHA-256 sum in hexadecimal digits.
// All fields must be set before the first use.
type Objects struct {
	WorkerPool
	Access
	// Bucket is the name of the bucket.
	Bucket string
	// Timeout bounds one operation; 0 is DefaultTimeout.
	Timeout time.Duration
	// Post takes the answers. It must be safe for concurrent use.
	Post func(rpcore.Event)
	// Log gets failures; its zero value drops them.
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
			// The hash in the key is checked here, so the checksums of the
			// protocol are not needed.
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		})
	})
}

// Close waits for the operations under way, cancels them when the context
// ends, and closes the connections. Operations that come later are dropped.
func (o *Objects) Close(ctx context.Context) error {
	o.init()
	defer o.sender.close()
	return o.WorkerPool.Close(ctx)
}

// LoadDocument fetches a body and posts DocumentLoaded.
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

// StoreDocument stores a body and posts DocumentStored.
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

// submitWithTimeout submits a job whose timeout begins now.
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
		o.Log.Warn().Err(err).Str("hash", hash).Msg("objects: " + operation + " failed")
	}
}

// Load returns the body with a hash. The error is a BodyError where the
// object is not that body.
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

// Store puts a body under its hash. Repeating it is harmless.
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
		return BodyError{Hash: hash, Reason: "the body has the hash " + got}
	}
	return nil
}

// BodyError reports a body that can't be the document with a hash.
type BodyError struct {
	Hash   string
	Reason string
}

func (e BodyError) Error() string {
	return fmt.Sprintf("document body %s: %s", e.Hash, e.Reason)
}

// QueueFullError reports an operation that found the queue full.
type QueueFullError struct{}

func (QueueFullError) Error() string { return "the queue is full" }
