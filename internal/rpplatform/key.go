package rpplatform

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// claimPartitions is the number of partition keys of claim rows. One
// partition of the table service takes about 1,000 KB of writes a second. A
// claim is written twice per non-idempotent request and can hold a recorded
// answer of 256 KB, so a burst of claims would fill one partition. With 16
// partition keys, the limit of the whole service comes first, and all claims
// can still be read with 16 queries. The other kinds are written a few times
// a second and have one partition key each, so that one query reads a kind.
const claimPartitions = 16

// InvalidItemError reports an item of the table that can't be read as a row.
type InvalidItemError struct {
	Partition string
	Sort      string
	Reason    string
}

func (e InvalidItemError) Error() string {
	return fmt.Sprintf("the table item %q/%q is not a row: %s", e.Partition, e.Sort, e.Reason)
}

// partitionKey returns the kind of a row, for claims with a number that
// depends on the rest of the key.
func partitionKey(key rpcore.RowKey) string {
	if key.Kind != rpcore.RowClaim {
		return string(key.Kind)
	}
	return claimPartition(xxhash.Sum64String(sortKey(key)) % claimPartitions)
}

func claimPartition(n uint64) string {
	return fmt.Sprintf("%s-%02d", rpcore.RowClaim, n)
}

// kindPartitions returns all partition keys of a kind.
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

// sortKey returns service/name. The service is escaped, so that it has no
// slash and the key can be parsed whatever the name contains.
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
