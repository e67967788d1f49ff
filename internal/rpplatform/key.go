package rpplatform

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// claimPartitions is the number of partition keys for claim rows. One partition
// of the table service accepts about 1,000 KB of writes per second. A claim is
// written twice per non-idempotent request and can contain a recorded response of
// 256 KB, so a burst of claims would exceed the limit of a single partition. With
// 16 partition keys, the limit of the whole table service is reached first, and 16
// queries still read all claims. Rows of the other kinds are written a few times
// per second. Each of these kinds has one partition key, so that one query reads
// all its rows.
const claimPartitions = 16

// InvalidItemError reports a table item that can't be decoded as a row.
type InvalidItemError struct {
	Partition string
	Sort      string
	Reason    string
}

func (e InvalidItemError) Error() string {
	return fmt.Sprintf("the table item %q/%q is not a row: %s", e.Partition, e.Sort, e.Reason)
}

// partitionKey returns the partition key of a row: its kind, followed for claims
// by a number derived from the sort key.
func partitionKey(key rpcore.RowKey) string {
	if key.Kind != rpcore.RowClaim {
		return string(key.Kind)
	}
	return claimPartition(xxhash.Sum64String(sortKey(key)) % claimPartitions)
}

func claimPartition(n uint64) string {
	return fmt.Sprintf("%s-%02d", rpcore.RowClaim, n)
}

// kindPartitions returns all partition keys of a row kind.
func kindPartitions(kind rpcore.RowKind) []string {
	if kind != rpcore.RowClaim {
		return []string{string(kind)}
	}
	keys := make([]string, claimPartitions)
	for n := range keys {
		keys[n] = claimPartition(uint64(n))
	}
	return keys
}

// sortKey returns service/name. The service is escaped, so that it contains no
// slash and the key can be parsed for any name.
func sortKey(key rpcore.RowKey) string {
	return url.PathEscape(key.Service) + "/" + key.Name
}

func parseKey(partition, sort string) (rpcore.RowKey, error) {
	kind, _, _ := strings.Cut(partition, "-")
	escaped, name, ok := strings.Cut(sort, "/")
	service, err := url.PathUnescape(escaped)
	if !ok || err != nil {
		return rpcore.RowKey{}, InvalidItemError{Partition: partition, Sort: sort, Reason: "bad sort key"}
	}
	return rpcore.RowKey{Kind: rpcore.RowKind(kind), Service: service, Name: name}, nil
}
