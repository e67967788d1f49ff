package rptimeline_test

import (
	"strconv"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Guards against entries that are lost, repeated or out of order when a reader
// encodes pending items while the event loop records more.
func TestReadWhileRecording(t *testing.T) {
	g := NewWithT(t)
	const requests = 20000
	recorder := &rptimeline.Recorder{}
	recorder.Record(rpcore.Start{Stamp: at(0)}, nil)
	var group sync.WaitGroup
	group.Go(func() {
		for i := range requests {
			recorder.Record(rpcore.RequestArrived{Stamp: at(i), Request: rpcore.Request{ID: rpcore.RequestID(strconv.Itoa(i))}}, nil)
			if i%100 == 0 {
				recorder.Record(rpcore.ListUnavailable{Stamp: at(i)}, nil)
			}
		}
	})
	for range 20 {
		recorder.Select(rptimeline.Query{})
	}
	group.Wait()
	entries := recorder.Select(rptimeline.Query{Part: "requests", Limit: requests}).Entries
	g.Expect(entries).To(HaveLen(requests))
	for i := range entries {
		if entries[i].Request != strconv.Itoa(i) || i > 0 && entries[i].Clock <= entries[i-1].Clock {
			t.Fatalf("entry %d is wrong: %+v", i, entries[i])
		}
	}
}
