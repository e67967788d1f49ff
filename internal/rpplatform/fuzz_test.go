package rpplatform

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Guards against a table item that crashes the process, or that is decoded as a
// row whose body does not match the kind in its key.
func FuzzReadItem(f *testing.F) {
	write := rpcore.RowWrite{
		Key:     rpcore.RowKey{Kind: rpcore.RowDocument, Service: "s"},
		Nonce:   "n",
		RowBody: rpcore.RowBody{Document: &rpcore.DocumentRow{Service: "s", Version: 1}},
	}
	seed, err := encodeItem(&write)
	if err != nil {
		f.Fatal(err)
	}
	body := seed[attributeBody].(*types.AttributeValueMemberB).Value
	f.Add(partitionKey(write.Key), sortKey(write.Key), "1", body)
	f.Add("model", "s/m", "1", body)
	f.Add("claim-00", "s/%zz", "-1", []byte{0xa1})
	f.Fuzz(func(t *testing.T, partition, sort, version string, body []byte) {
		row, err := decodeItem(item{
			attributePartition: stringAttribute(partition),
			attributeSort:      stringAttribute(sort),
			attributeVersion:   &types.AttributeValueMemberN{Value: version},
			attributeNonce:     stringAttribute("n"),
			attributeBody:      &types.AttributeValueMemberB{Value: body},
		})
		if err == nil && !bodyMatchesKind(row) {
			t.Fatalf("a row of kind %q has another body", row.Key.Kind)
		}
	})
}

// Guards against a response of the instance list that crashes the process, and
// against accepting a truncated response as a shorter list.
func FuzzDecodeMembers(f *testing.F) {
	f.Add([]byte(`[{"id":"a","kind":"engine","address":"127.0.0.1:1"}]`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`null`))
	f.Add([]byte(`[{"id":"a"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		members, err := decodeMembers(bytes.NewReader(body))
		if err != nil {
			return
		}
		var elements []json.RawMessage
		if json.Unmarshal(body, &elements) != nil || len(elements) != len(members) {
			t.Fatalf("%d members from %q", len(members), body)
		}
	})
}

// Guards against a row whose body does not match the kind in its key. The reducer
// would dereference a nil pointer.
func TestItemOfAnotherKindIsRejected(t *testing.T) {
	g := NewWithT(t)
	write := rpcore.RowWrite{
		Key:     rpcore.RowKey{Kind: rpcore.RowModel, Service: "s", Name: "m"},
		RowBody: rpcore.RowBody{Claim: &rpcore.ClaimRow{}},
	}
	found, err := encodeItem(&write)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = decodeItem(found)
	g.Expect(err).To(MatchError(ContainSubstring("not of the kind")))
}
