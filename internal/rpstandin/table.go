package rpstandin

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
)

// Limits of the DynamoDB protocol.
const (
	tableItemLimit    = 400 << 10
	tableRequestItems = 100
	tablePageBytes    = 1 << 20
)

// Table is a stand-in for a table service with the DynamoDB protocol. It implements
// GetItem, BatchGetItem, PutItem, DeleteItem, Query and TransactWriteItems, with the
// expressions that internal/rpplatform sends: a condition that the item does not
// exist or that an attribute has a value, and a query for one partition key. The key
// attributes are pk and sk, both strings. Every table exists. Expired items are not
// deleted.
type Table struct {
	Faults
	// PageBytes limits the size of a response to Query. BatchItems limits the
	// number of items that BatchGetItem processes; the response lists the other
	// keys as unprocessed. 0 means the limit of the protocol.
	PageBytes  int
	BatchItems int

	mu sync.Mutex
	// partitions maps table and partition key to the items by sort key.
	partitions map[[2]string]map[string]tableItem
}

// tableItem maps attribute names to values. A value is a map with one entry, whose
// key is the type: S, N or B. All three types are strings in JSON.
type tableItem map[string]map[string]string

func (i tableItem) stringValue(name string) string { return i[name]["S"] }

// size returns the approximate size of an item by the rules of the protocol.
func (i tableItem) size() int {
	size := 0
	for name, value := range i {
		size += len(name) + len(value["S"]) + len(value["N"]) + len(value["B"])*3/4
	}
	return size
}

type tableKeys struct{ Keys []tableItem }

// tableAction holds the parameters of a read, a write or a query of one table.
type tableAction struct {
	TableName                 string
	Key                       tableItem
	Item                      tableItem
	ConditionExpression       string
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues tableItem
	ExclusiveStartKey         tableItem
}

type tableRequest struct {
	tableAction
	RequestItems  map[string]tableKeys
	TransactItems []struct{ Put, Delete *tableAction }
}

// tableError is the response to a failed request.
type tableError struct {
	Type                string              `json:"__type"`
	Message             string              `json:"message"`
	CancellationReasons []map[string]string `json:",omitempty"`
}

func invalidTableRequest(message string) *tableError {
	return &tableError{"ValidationException", message, nil}
}

// Run serves the table until the context ends.
func (t *Table) Run(ctx context.Context, listen netip.AddrPort) error {
	return listenAndServe(ctx, listen, t)
}

// ServeHTTP implements http.Handler.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.serveWithFaults(w, r, `{"__type":"ServiceUnavailable"}`, t.serve)
}

func (t *Table) serve(w http.ResponseWriter, r *http.Request) {
	var request tableRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	t.mu.Lock()
	defer t.mu.Unlock()
	response, failure := t.dispatch(operation, &request)
	if failure != nil {
		w.WriteHeader(http.StatusBadRequest)
		response = failure
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (t *Table) dispatch(operation string, request *tableRequest) (any, *tableError) {
	action := &request.tableAction
	switch operation {
	case "GetItem":
		return map[string]tableItem{"Item": t.findItem(action.TableName, action.Key)}, nil
	case "BatchGetItem":
		return t.batchGetItem(request.RequestItems)
	case "Query":
		return t.query(action)
	case "PutItem", "DeleteItem":
		return t.writeItem(action)
	case "TransactWriteItems":
		return t.transactWriteItems(request)
	}
	return nil, &tableError{Type: "UnknownOperationException"}
}

func (t *Table) findItem(table string, key tableItem) tableItem {
	return t.partitions[[2]string{table, key.stringValue("pk")}][key.stringValue("sk")]
}

func (t *Table) batchGetItem(requested map[string]tableKeys) (any, *tableError) {
	responses := make(map[string][]tableItem)
	unprocessed := make(map[string]tableKeys)
	for table, request := range requested {
		keys := request.Keys
		if len(keys) > tableRequestItems {
			return nil, invalidTableRequest("too many keys")
		}
		if n := cmp.Or(t.BatchItems, tableRequestItems); len(keys) > n {
			unprocessed[table] = tableKeys{keys[n:]}
			keys = keys[:n]
		}
		for _, key := range keys {
			if found := t.findItem(table, key); found != nil {
				responses[table] = append(responses[table], found)
			}
		}
	}
	return map[string]any{"Responses": responses, "UnprocessedKeys": unprocessed}, nil
}

func (t *Table) query(action *tableAction) (any, *tableError) {
	name, value, ok := action.parseEquality(action.KeyConditionExpression)
	if !ok || name != "pk" {
		return nil, invalidTableRequest("the stand-in does not know this key condition")
	}
	left := cmp.Or(t.PageBytes, tablePageBytes)
	partition := t.partitions[[2]string{action.TableName, value["S"]}]
	items := []tableItem{}
	var last tableItem
	for _, sk := range slices.Sorted(maps.Keys(partition)) {
		if sk <= action.ExclusiveStartKey.stringValue("sk") {
			continue
		}
		items = append(items, partition[sk])
		left -= partition[sk].size()
		if left <= 0 {
			last = tableItem{"pk": value, "sk": {"S": sk}}
			break
		}
	}
	return map[string]any{"Items": items, "Count": len(items), "LastEvaluatedKey": last}, nil
}

func (t *Table) writeItem(action *tableAction) (any, *tableError) {
	holds, failure := t.checkCondition(action)
	if failure == nil && !holds {
		failure = &tableError{Type: "ConditionalCheckFailedException"}
	}
	if failure == nil {
		t.applyWrite(action)
	}
	return struct{}{}, failure
}

func (t *Table) transactWriteItems(request *tableRequest) (any, *tableError) {
	var actions []*tableAction
	var reasons []map[string]string
	seen := make(map[[3]string]bool)
	canceled := false
	for _, write := range request.TransactItems {
		action := cmp.Or(write.Put, write.Delete, &tableAction{})
		holds, failure := t.checkCondition(action)
		if failure != nil {
			return nil, failure
		}
		code := map[bool]string{true: "None", false: "ConditionalCheckFailed"}[holds]
		canceled = canceled || !holds
		reasons = append(reasons, map[string]string{"Code": code})
		actions = append(actions, action)
		seen[[3]string{action.TableName, action.Key.stringValue("pk"), action.Key.stringValue("sk")}] = true
	}
	if len(actions) > tableRequestItems || len(seen) < len(actions) {
		return nil, invalidTableRequest("a transaction has at most 100 items, all different")
	}
	if canceled {
		return nil, &tableError{Type: "TransactionCanceledException", CancellationReasons: reasons}
	}
	for _, action := range actions {
		t.applyWrite(action)
	}
	return struct{}{}, nil
}

// checkCondition evaluates the condition of a write. For a put, it also sets Key from
// the item.
func (t *Table) checkCondition(action *tableAction) (bool, *tableError) {
	if action.Key == nil {
		action.Key = action.Item
	}
	if action.Key.stringValue("pk") == "" || action.Key.stringValue("sk") == "" || action.Item.size() > tableItemLimit {
		return false, invalidTableRequest("the key is missing or the item is too large")
	}
	current := t.findItem(action.TableName, action.Key)
	if action.ConditionExpression == "attribute_not_exists(pk)" {
		return current == nil, nil
	}
	name, value, ok := action.parseEquality(action.ConditionExpression)
	if !ok {
		return false, invalidTableRequest("the stand-in does not know this condition")
	}
	return maps.Equal(current[name], value), nil
}

func (t *Table) applyWrite(action *tableAction) {
	key := action.Key
	partition := [2]string{action.TableName, key.stringValue("pk")}
	if action.Item == nil {
		delete(t.partitions[partition], key.stringValue("sk"))
		return
	}
	if t.partitions == nil {
		t.partitions = make(map[[2]string]map[string]tableItem)
	}
	items := t.partitions[partition]
	if items == nil {
		items = make(map[string]tableItem)
		t.partitions[partition] = items
	}
	items[key.stringValue("sk")] = action.Item
}

// parseEquality parses an expression of the form "name = :value" and resolves the
// name and the value.
func (a *tableAction) parseEquality(expression string) (string, map[string]string, bool) {
	name, placeholder, _ := strings.Cut(expression, " = ")
	if alias, ok := a.ExpressionAttributeNames[name]; ok {
		name = alias
	}
	value, ok := a.ExpressionAttributeValues[placeholder]
	return name, value, ok
}
