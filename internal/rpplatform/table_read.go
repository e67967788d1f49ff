package rpplatform

import (
	"context"
	"fmt"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// maxBatchKeys is the maximum number of keys in one BatchGetItem request.
const maxBatchKeys = 100

// ReadTable reads rows and posts TableReadDone.
func (t *Table) ReadTable(effect rpcore.ReadTable) {
	deadline := t.deadline()
	t.submit(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		rows, err := t.read(ctx, effect)
		if err != nil {
			t.Log.Warn().Err(err).Msg("failed to read the table")
		}
		t.post(rpcore.TableReadDone{Stamp: stampNow(), Op: effect.Op, Unavailable: err != nil, Rows: rows})
	}, func() {
		t.post(rpcore.TableReadDone{Stamp: stampNow(), Op: effect.Op, Unavailable: true})
	})
}

// ReadDocumentRow reads the document row of a service. The error is a
// NoDocumentError if there is no such row.
func (t *Table) ReadDocumentRow(ctx context.Context, service string) (*rpcore.DocumentRow, error) {
	rows, err := t.read(ctx, rpcore.ReadTable{Keys: []rpcore.RowKey{{Kind: rpcore.RowDocument, Service: service}}})
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 || rows[0].Document == nil {
		return nil, NoDocumentError{Service: service}
	}
	return rows[0].Document, nil
}

// NoDocumentError reports a service without a document row in the table.
type NoDocumentError struct {
	Service string
}

func (e NoDocumentError) Error() string {
	return fmt.Sprintf("the table has no document of service %s", e.Service)
}

// read returns all requested rows that exist, or an error. It fails if any row
// can't be decoded, because the reducer would treat a missing row as deleted.
func (t *Table) read(ctx context.Context, effect rpcore.ReadTable) ([]rpcore.Row, error) {
	t.init()
	var found []item
	var err error
	switch {
	case effect.Prefix != "":
		found, err = t.readKind(ctx, effect.Prefix)
	case len(effect.Keys) == 1:
		found, err = t.readOne(ctx, effect.Keys[0])
	default:
		found, err = t.readKeys(ctx, effect.Keys)
	}
	if err != nil {
		return nil, err
	}
	rows := make([]rpcore.Row, len(found))
	for i := range found {
		if rows[i], err = decodeItem(found[i]); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

func (t *Table) readOne(ctx context.Context, key rpcore.RowKey) ([]item, error) {
	if err := t.reads.Wait(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.Name),
		Key:            keyItem(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(out.Item) == 0 {
		return nil, nil
	}
	return []item{out.Item}, nil
}

// readKeys reads the rows with the given keys in batches. It skips duplicate keys,
// because the protocol does not allow them in a batch.
func (t *Table) readKeys(ctx context.Context, keys []rpcore.RowKey) ([]item, error) {
	var found []item
	var batch []item
	seen := make(map[rpcore.RowKey]bool, len(keys))
	for i, key := range keys {
		if !seen[key] {
			seen[key] = true
			batch = append(batch, keyItem(key))
		}
		if len(batch) < maxBatchKeys && i < len(keys)-1 {
			continue
		}
		part, err := t.readBatch(ctx, batch)
		if err != nil {
			return nil, err
		}
		found = append(found, part...)
		batch = nil
	}
	return found, nil
}

// readBatch reads one batch of keys. The service may leave keys unprocessed if the
// response would be too large; readBatch requests these again. It fails if the
// service processed none of the keys.
func (t *Table) readBatch(ctx context.Context, keys []item) ([]item, error) {
	var found []item
	for len(keys) > 0 {
		if err := t.reads.WaitN(ctx, len(keys)); err != nil {
			return nil, trace.Wrap(err)
		}
		out, err := t.client.BatchGetItem(ctx, &dynamodb.BatchGetItemInput{
			RequestItems: map[string]types.KeysAndAttributes{
				t.Name: {Keys: keys, ConsistentRead: aws.Bool(true)},
			},
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		found = append(found, out.Responses[t.Name]...)
		left := out.UnprocessedKeys[t.Name].Keys
		if len(left) >= len(keys) {
			return nil, NoProgressError{Keys: len(left)}
		}
		keys = left
	}
	return found, nil
}

func (t *Table) readKind(ctx context.Context, kind rpcore.RowKind) ([]item, error) {
	var found []item
	for _, partition := range kindPartitions(kind) {
		part, err := t.readPartition(ctx, partition)
		if err != nil {
			return nil, err
		}
		found = append(found, part...)
	}
	return found, nil
}

func (t *Table) readPartition(ctx context.Context, partition string) ([]item, error) {
	var found []item
	var start item
	for {
		if err := t.reads.Wait(ctx); err != nil {
			return nil, trace.Wrap(err)
		}
		out, err := t.client.Query(ctx, &dynamodb.QueryInput{
			TableName:                 aws.String(t.Name),
			KeyConditionExpression:    aws.String("pk = :pk"),
			ExpressionAttributeValues: item{":pk": stringAttribute(partition)},
			ConsistentRead:            aws.Bool(true),
			ExclusiveStartKey:         start,
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		found = append(found, out.Items...)
		if start = out.LastEvaluatedKey; len(start) == 0 {
			return found, nil
		}
	}
}

// NoProgressError reports that the service processed no key of a batch.
type NoProgressError struct {
	Keys int
}

func (e NoProgressError) Error() string {
	return fmt.Sprintf("the table service processed none of %d keys", e.Keys)
}
