package rpplatform

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Attributes of a table item.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeVersion   = "version"
	attributeNonce     = "nonce"
	attributeBody      = "body"
	// attributeExpiry is a Unix time in seconds. The platform deletes the item
	// some time after it.
	attributeExpiry = "ttl"
)

type item = map[string]types.AttributeValue

// rowEncMode encodes times with nanoseconds, which the default CBOR options
// discard.
var rowEncMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func stringAttribute(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttribute[T int64 | uint64](n T) types.AttributeValue {
	if n < 0 {
		return &types.AttributeValueMemberN{Value: strconv.FormatInt(int64(n), 10)}
	}
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(uint64(n), 10)}
}

func keyItem(key rpcore.RowKey) item {
	return item{attributePartition: stringAttribute(partitionKey(key)), attributeSort: stringAttribute(sortKey(key))}
}

// encodeItem returns the item that a write puts into the table.
func encodeItem(write *rpcore.RowWrite) (item, error) {
	body, err := rowEncMode.Marshal(write.RowBody)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	put := keyItem(write.Key)
	put[attributeVersion] = numberAttribute(write.ExpectVersion + 1)
	put[attributeNonce] = stringAttribute(string(write.Nonce))
	put[attributeBody] = &types.AttributeValueMemberB{Value: body}
	if claim := write.Claim; claim != nil && !claim.ExpiresAt.IsZero() {
		put[attributeExpiry] = numberAttribute(claim.ExpiresAt.Unix())
	}
	return put, nil
}

// decodeItem returns the row that is stored in an item.
func decodeItem(found item) (rpcore.Row, error) {
	partition, _ := found[attributePartition].(*types.AttributeValueMemberS)
	sort, _ := found[attributeSort].(*types.AttributeValueMemberS)
	version, _ := found[attributeVersion].(*types.AttributeValueMemberN)
	nonce, _ := found[attributeNonce].(*types.AttributeValueMemberS)
	body, _ := found[attributeBody].(*types.AttributeValueMemberB)
	if partition == nil || sort == nil {
		return rpcore.Row{}, InvalidItemError{Reason: "no key"}
	}
	invalid := InvalidItemError{Partition: partition.Value, Sort: sort.Value}
	if version == nil || nonce == nil || body == nil {
		invalid.Reason = "an attribute is missing or has another type"
		return rpcore.Row{}, invalid
	}
	row := rpcore.Row{Nonce: rpcore.Nonce(nonce.Value)}
	var err error
	if row.Key, err = parseKey(partition.Value, sort.Value); err != nil {
		return rpcore.Row{}, err
	}
	if row.Version, err = strconv.ParseUint(version.Value, 10, 64); err != nil {
		invalid.Reason = "bad version"
		return rpcore.Row{}, invalid
	}
	if err := cbor.Unmarshal(body.Value, &row.RowBody); err != nil {
		invalid.Reason = err.Error()
		return rpcore.Row{}, invalid
	}
	if !bodyMatchesKind(row) {
		invalid.Reason = "the body is not of the kind in the key"
		return rpcore.Row{}, invalid
	}
	return row, nil
}

// bodyMatchesKind reports whether a row has the body for its kind and no other.
func bodyMatchesKind(row rpcore.Row) bool {
	bodies := map[rpcore.RowKind]bool{
		rpcore.RowDocument: row.Document != nil,
		rpcore.RowModel:    row.Model != nil,
		rpcore.RowEngine:   row.Engine != nil,
		rpcore.RowClaim:    row.Claim != nil,
		rpcore.RowSpend:    row.Spend != nil,
	}
	for kind, set := range bodies {
		if set != (kind == row.Key.Kind) {
			return false
		}
	}
	return true
}
