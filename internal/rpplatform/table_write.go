package rpplatform

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// WriteTable writes rows in one transaction and posts TableWriteDone. It encodes
// the rows before it returns, because the reducer may change them afterwards.
func (t *Table) WriteTable(effect rpcore.WriteTable) {
	deadline := t.deadline()
	op := effect.Op
	done := func(outcome rpcore.WriteOutcome) {
		t.post(rpcore.TableWriteDone{Stamp: stampNow(), Op: op, Outcome: outcome})
	}
	refused := func() { done(rpcore.WriteUnavailable) }
	writes, err := encodeWrites(effect.Writes, t.Name)
	if err != nil {
		t.Log.Error().Err(err).Msg("can't encode a table row")
		t.submit(func(context.Context) { refused() }, refused)
		return
	}
	t.submit(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		done(t.write(ctx, writes))
	}, refused)
}

// write sends a transaction once, without retries, and returns its outcome.
func (t *Table) write(ctx context.Context, writes []types.TransactWriteItem) rpcore.WriteOutcome {
	t.init()
	if err := t.writes.WaitN(ctx, len(writes)); err != nil {
		return rpcore.WriteUnavailable
	}
	ctx, flag := contextWithSentFlag(ctx)
	err := t.send(ctx, writes)
	if err == nil {
		return rpcore.WriteApplied
	}
	outcome := rpcore.WriteUnavailable
	if flag.sent.Load() {
		outcome = failedWriteOutcome(err)
	}
	if outcome != rpcore.WriteConflict {
		t.Log.Warn().Err(err).Str("outcome", string(outcome)).Msg("failed to write the table")
	}
	return outcome
}

// send writes a transaction. It writes a single row with PutItem or DeleteItem,
// which cost half as much as a transaction.
func (t *Table) send(ctx context.Context, writes []types.TransactWriteItem) error {
	if len(writes) != 1 {
		_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: writes})
		return trace.Wrap(err)
	}
	if remove := writes[0].Delete; remove != nil {
		_, err := t.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName: remove.TableName, Key: remove.Key,
			ConditionExpression:       remove.ConditionExpression,
			ExpressionAttributeNames:  remove.ExpressionAttributeNames,
			ExpressionAttributeValues: remove.ExpressionAttributeValues,
		})
		return trace.Wrap(err)
	}
	put := writes[0].Put
	_, err := t.client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName: put.TableName, Item: put.Item,
		ConditionExpression:       put.ConditionExpression,
		ExpressionAttributeNames:  put.ExpressionAttributeNames,
		ExpressionAttributeValues: put.ExpressionAttributeValues,
	})
	return trace.Wrap(err)
}

func encodeWrites(writes []rpcore.RowWrite, table string) ([]types.TransactWriteItem, error) {
	encoded := make([]types.TransactWriteItem, len(writes))
	for i := range writes {
		var err error
		if encoded[i], err = encodeWrite(&writes[i], table); err != nil {
			return nil, err
		}
	}
	return encoded, nil
}

func encodeWrite(write *rpcore.RowWrite, table string) (types.TransactWriteItem, error) {
	condition, names, values := versionCondition(write.ExpectVersion)
	if write.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: aws.String(table), Key: keyItem(write.Key), ConditionExpression: condition,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}, nil
	}
	put, err := encodeItem(write)
	return types.TransactWriteItem{Put: &types.Put{
		TableName: aws.String(table), Item: put, ConditionExpression: condition,
		ExpressionAttributeNames: names, ExpressionAttributeValues: values,
	}}, err
}

// versionCondition returns the condition that a row has the given version, or, for
// version 0, that the row does not exist. It uses an alias for the attribute name,
// so that the expression stays valid if the name becomes a reserved word.
func versionCondition(version uint64) (*string, map[string]string, item) {
	if version == 0 {
		return aws.String("attribute_not_exists(pk)"), nil, nil
	}
	return aws.String("#version = :version"),
		map[string]string{"#version": attributeVersion},
		item{":version": numberAttribute(version)}
}
