package rpplatform_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/rattanpaddle/rattanpaddle/internal/rpplatform"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Guards against rows that are altered by a write and a read, with all keys that
// callers and operators can produce.
func TestRowRoundTrip(t *testing.T) {
	table := withTable(t, withServer(t, &rpstandin.Table{}))
	run := 0
	rapid.Check(t, func(rt *rapid.T) {
		run++
		g := NewWithT(rt)
		key := rpcore.RowKey{
			Kind:    rapid.SampledFrom([]rpcore.RowKind{rpcore.RowModel, rpcore.RowClaim}).Draw(rt, "kind"),
			Service: rapid.StringN(0, 20, 60).Draw(rt, "service"),
			Name:    fmt.Sprint(run, rapid.StringN(0, 50, 200).Draw(rt, "name")),
		}
		at := time.Unix(rapid.Int64Range(1, 1<<33).Draw(rt, "seconds"), rapid.Int64Range(0, 999_999_999).Draw(rt, "ns")).UTC()
		body := rpcore.RowBody{Claim: &rpcore.ClaimRow{
			Owner: "i1", ClaimedAt: at, ExpiresAt: at.Add(time.Hour),
			Outcome: &rpcore.Outcome{Status: 200, Body: rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(rt, "body")},
		}}
		if key.Kind == rpcore.RowModel {
			slot := rpcore.Slot{Nonce: "s1", Engine: rpcore.EndpointID(key.Service), State: rpcore.SlotReserved, ReservedAt: at}
			body = rpcore.RowBody{Model: &rpcore.ModelRow{Slots: []rpcore.Slot{slot}}}
		}
		g.Expect(table.write(rpcore.RowWrite{Key: key, Nonce: "n1", RowBody: body})).To(Equal(rpcore.WriteApplied))
		read := table.read(rpcore.ReadTable{Keys: []rpcore.RowKey{key}})
		g.Expect(read.Rows).To(Equal([]rpcore.Row{{Key: key, Version: 1, Nonce: "n1", RowBody: body}}))
	})
}

// Guards against writes that ignore ExpectVersion, both of single rows and in
// transactions.
func TestConditionalWrites(t *testing.T) {
	g := NewWithT(t)
	table := withTable(t, withServer(t, &rpstandin.Table{}))
	g.Expect(table.write(modelWrite("a", 0, "n1"))).To(Equal(rpcore.WriteApplied))
	g.Expect(table.write(modelWrite("a", 0, "n2"))).To(Equal(rpcore.WriteConflict))
	g.Expect(table.write(modelWrite("a", 2, "n2"))).To(Equal(rpcore.WriteConflict))
	g.Expect(table.write(modelWrite("a", 1, "n2"), modelWrite("b", 0, "n2"))).To(Equal(rpcore.WriteApplied))
	g.Expect(table.write(modelWrite("c", 0, "n3"), modelWrite("b", 0, "n3"))).To(Equal(rpcore.WriteConflict))
	remove := rpcore.RowWrite{Key: modelKey("b"), ExpectVersion: 1, Nonce: "n4", Delete: true}
	g.Expect(table.write(remove)).To(Equal(rpcore.WriteApplied))
	g.Expect(table.write(remove)).To(Equal(rpcore.WriteConflict))
	read := table.read(rpcore.ReadTable{Prefix: rpcore.RowModel})
	g.Expect(read.Rows).To(HaveLen(1), "the conflicting transaction must not have written c")
	g.Expect(read.Rows[0].Version).To(Equal(uint64(2)))
	g.Expect(table.write(modelWrite("b", 0, "n5"))).To(Equal(rpcore.WriteApplied))
}

// Guards against transactions that are applied partially or by more than one
// writer when several instances write the same rows.
func TestConcurrentTransactionsHaveOneWinner(t *testing.T) {
	const writers, rounds = 8, 20
	g := NewWithT(t)
	access := withServer(t, &rpstandin.Table{})
	tables := make([]*tableClient, writers)
	for i := range tables {
		tables[i] = withTable(t, access)
	}
	for version := range uint64(rounds) {
		for i, table := range tables {
			nonce := rpcore.Nonce(fmt.Sprintf("w%d.%d", i, version))
			first, second := modelWrite("a", version, nonce), modelWrite("b", version, nonce)
			if i%2 == 1 {
				first, second = second, first
			}
			table.WriteTable(rpcore.WriteTable{Writes: []rpcore.RowWrite{first, second}})
		}
		var winners []rpcore.Nonce
		for i, table := range tables {
			if receive[rpcore.TableWriteDone](t, table.events).Outcome == rpcore.WriteApplied {
				winners = append(winners, rpcore.Nonce(fmt.Sprintf("w%d.%d", i, version)))
			}
		}
		rows := tables[0].read(rpcore.ReadTable{Keys: []rpcore.RowKey{modelKey("a"), modelKey("b")}}).Rows
		g.Expect(winners).To(HaveLen(1))
		g.Expect(rows).To(HaveLen(2))
		for _, row := range rows {
			g.Expect(row.Nonce).To(Equal(winners[0]))
			g.Expect(row.Version).To(Equal(version + 1))
		}
	}
}

// Guards against reads that return only the first page or batch, and against reads
// of all claims that miss some partitions.
func TestReadOfManyRows(t *testing.T) {
	const rows = 130
	bodies := map[rpcore.RowKind]rpcore.RowBody{
		rpcore.RowDocument: {Document: &rpcore.DocumentRow{}},
		rpcore.RowClaim:    {Claim: &rpcore.ClaimRow{}},
	}
	for kind, body := range bodies {
		// A read of all claims takes 36 requests within one timeout. With the
		// real clock, a busy machine can exceed it.
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			table := withTable(t, rpplatform.Access{
				Endpoint: "http://table.test", RoundTrip: withHandlerTransport(&rpstandin.Table{PageBytes: 600, BatchItems: 30}),
			})
			keys := make([]rpcore.RowKey, 0, rows+1)
			for n := range rows {
				key := rpcore.RowKey{Kind: kind, Service: fmt.Sprintf("s%03d", n)}
				keys = append(keys, key)
				g.Expect(table.write(rpcore.RowWrite{Key: key, Nonce: "n1", RowBody: body})).To(Equal(rpcore.WriteApplied))
			}
			for _, effect := range []rpcore.ReadTable{{Prefix: kind}, {Keys: append(keys, keys[0])}} {
				read := table.read(effect)
				g.Expect(read.Unavailable).To(BeFalse())
				g.Expect(read.Rows).To(HaveLen(rows))
			}
		})
	}
}

// Guards against an endless loop if the service processes none of the keys.
func TestBatchWithoutProgressIsUnavailable(t *testing.T) {
	unprocessed := `{"Responses":{},"UnprocessedKeys":{"rattanpaddle":{"Keys":[{"pk":{"S":"a"}},{"pk":{"S":"b"}}]}}}`
	table := withTable(t, withResponse(200, unprocessed))
	read := table.read(rpcore.ReadTable{Keys: []rpcore.RowKey{modelKey("a"), modelKey("b")}})
	NewWithT(t).Expect(read.Unavailable).To(BeTrue())
}

// Guards against treating a row that can't be decoded as deleted.
func TestUnreadableRowIsUnavailable(t *testing.T) {
	for _, body := range []string{
		`{"Item":{"pk":{"S":"model"},"sk":{"S":"s/a"},"version":{"N":"1"},"nonce":{"S":"n"},"body":{"B":"/w=="}}}`,
		`{"Item":{"pk":{"S":"model"},"sk":{"S":"s/a"},"version":{"N":"-1"},"nonce":{"S":"n"},"body":{"B":"oA=="}}}`,
		`{"Item":{"pk":{"S":"model"},"sk":{"S":"s/a"}}}`,
	} {
		table := withTable(t, withResponse(200, body))
		NewWithT(t).Expect(table.read(rpcore.ReadTable{Keys: []rpcore.RowKey{modelKey("a")}}).Unavailable).To(BeTrue())
	}
}

// Guards against an unbounded queue, and against operations without a result if the
// queue is full or the client is closed while operations are in progress.
func TestFullQueueAndClose(t *testing.T) {
	const operations = 50
	g := NewWithT(t)
	service := &rpstandin.Table{}
	service.SetFaults(rpstandin.FaultSettings{Hold: true})
	events := make(chan rpcore.Event, operations)
	table := &rpplatform.Table{
		Access: withServer(t, service), Timeout: eventTimeout,
		WorkerPool: rpplatform.WorkerPool{Workers: 2, QueueLimit: 3},
		Post:       func(ev rpcore.Event) { events <- ev },
	}
	for range operations {
		table.WriteTable(rpcore.WriteTable{Writes: []rpcore.RowWrite{modelWrite("a", 0, "n1")}})
	}
	for range operations - 5 {
		g.Expect(receive[rpcore.TableWriteDone](t, events).Outcome).To(Equal(rpcore.WriteUnavailable))
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(table.Close(canceled)).To(MatchError(context.Canceled))
	service.SetFaults(noFaults)
	outcomes := map[rpcore.WriteOutcome]int{}
	for range 5 {
		outcomes[receive[rpcore.TableWriteDone](t, events).Outcome]++
	}
	g.Expect(outcomes[rpcore.WriteUnavailable]).To(BeNumerically(">=", 3), "queued writes were never sent")
	g.Expect(outcomes[rpcore.WriteApplied]).To(BeZero())
	table.ReadTable(rpcore.ReadTable{})
	g.Expect(events).To(BeEmpty())
}

// Guards against a client that exceeds its share of the platform's write capacity.
// Writes that can't be sent in time fail instead of being sent late.
func TestWriteLimit(t *testing.T) {
	g := NewWithT(t)
	table := withTable(t, withServer(t, &rpstandin.Table{}))
	table.WritesPerSecond = 1e-6
	applied := 0
	for n := range 150 {
		if table.write(modelWrite(fmt.Sprint(n), 0, "n1")) == rpcore.WriteApplied {
			applied++
		}
	}
	g.Expect(applied).To(Equal(100), "the burst")
}
