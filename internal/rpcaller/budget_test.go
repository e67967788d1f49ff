package rpcaller

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func withHold(b *Budget) *Hold { return &Hold{Budget: b, Evict: func() {}} }

// Guards against a single request that is refused because it is larger than the
// budget.
func TestSingleRequestIsAlwaysGranted(t *testing.T) {
	g := NewWithT(t)
	b := &Budget{Limit: 10}
	h := withHold(b)
	g.Expect(h.Grow(UseHeader, 8)).To(Succeed())
	g.Expect(h.Grow(UseBody, 100)).To(Succeed())
	g.Expect(b.Stats().Bytes).To(Equal([Uses]int64{UseHeader: 8, UseBody: 100}))
	h.Release()
	g.Expect(b.Stats().Bytes).To(Equal([Uses]int64{}))
}

// Guards against the eviction of a request that makes progress, or that has arrived,
// instead of the one that has held its memory for longest.
func TestOldestGrantIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := &Budget{Limit: 100}
		complete, stalled, active := withHold(b), withHold(b), withHold(b)
		stalled.Evict = func() { go stalled.Release() }
		g.Expect(complete.Grow(UseBody, 40)).To(Succeed())
		g.Expect(complete.Keep()).To(Succeed())
		g.Expect(active.Grow(UseBody, 10)).To(Succeed())
		g.Expect(stalled.Grow(UseBody, 40)).To(Succeed())
		time.Sleep(evictionAge / 2)
		g.Expect(active.Grow(UseBody, 10)).To(Succeed())
		time.Sleep(evictionAge)
		g.Expect(active.Grow(UseBody, 10)).To(Succeed())
		g.Expect(b.Stats().Evicted).To(Equal(int64(1)))
		g.Expect(b.Stats().Bytes[UseBody]).To(Equal(int64(70)))
	})
}

// Guards against requests whose bodies have stopped that keep all connections although
// there is memory, and against the eviction of one that has just begun.
func TestEvictOldest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := &Budget{}
		stalled, complete := withHold(b), withHold(b)
		g.Expect(complete.Grow(UseRequest, 1)).To(Succeed())
		g.Expect(complete.Keep()).To(Succeed())
		g.Expect(stalled.Grow(UseRequest, 1)).To(Succeed())
		b.EvictOldest()
		g.Expect(b.Stats().Evicted).To(BeZero())
		time.Sleep(evictionAge)
		b.EvictOldest()
		b.EvictOldest()
		g.Expect(b.Stats().Evicted).To(Equal(int64(1)))
		g.Expect(stalled.Keep()).To(MatchError(ErrEvicted))
		g.Expect(complete.Keep()).To(Succeed())
	})
}

// Guards against a request that waits for memory without end, and against the
// eviction of requests that have just got theirs.
func TestWaitForMemoryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := &Budget{Limit: 100}
		complete, next := withHold(b), withHold(b)
		g.Expect(complete.Grow(UseRequest, 90)).To(Succeed())
		g.Expect(complete.Keep()).To(Succeed())
		begin := time.Now()
		g.Expect(next.Grow(UseRequest, 20)).To(MatchError(ErrShort))
		g.Expect(time.Since(begin)).To(Equal(maxWait))
		time.AfterFunc(maxWait/2, complete.Release)
		g.Expect(next.Grow(UseRequest, 20)).To(Succeed())
		g.Expect(b.Stats().Short).To(Equal(int64(1)))
	})
}

// Guards against requests that wait for each other's memory: one of them must end.
func TestRequestsThatWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := &Budget{Limit: 100}
		results := make(chan error, 2)
		for range 2 {
			h := withHold(b)
			g.Expect(h.Grow(UseBody, 50)).To(Succeed())
			go func() {
				err := h.Grow(UseBody, 40)
				if err != nil {
					h.Release()
				}
				results <- err
			}()
		}
		errs := []error{<-results, <-results}
		g.Expect(errs).To(ConsistOf(BeNil(), HaveOccurred()))
	})
}

// Guards against a use of memory above the limit, or one that is left behind, in any
// order of growth, completion and release.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Limit: 1000}
		holds := make([]*Hold, 5)
		for i := range holds {
			holds[i] = withHold(b)
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			h := holds[rapid.IntRange(0, len(holds)-1).Draw(t, "hold")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				n := rapid.Int64Range(1, 400).Draw(t, "bytes")
				b.mu.Lock()
				granted := b.tryGrant(h, UseBody, n)
				over := granted && b.used > b.Limit && b.used != h.size
				b.mu.Unlock()
				if over {
					t.Fatalf("%d bytes are used", b.used)
				}
			case 2:
				_ = h.Keep()
			case 3:
				h.Release()
			}
		}
		for _, h := range holds {
			h.Release()
		}
		if b.used != 0 || b.leaving != 0 || b.receiving.Len() != 0 || b.byUse != [Uses]int64{} {
			t.Fatalf("after all releases: %+v", b.byUse)
		}
	})
}

// Guards against a body that is altered, and against memory for a length that is
// declared only.
func TestReadBody(t *testing.T) {
	text := strings.Repeat("0123456789", 100000)
	for name, length := range map[string]int64{"declared": int64(len(text)), "unknown": -1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := withHold(&Budget{})
			segments, err := ReadBody(iotest.OneByteReader(strings.NewReader(text)), length, h)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(bytes.Join(segments, nil))).To(Equal(text))
			g.Expect(h.Size(UseBody)).To(BeNumerically("<", len(text)+2*maxSegment))
		})
	}
	for _, length := range []int64{-1, 4 << 20} {
		_, err := ReadBody(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), length, withHold(&Budget{}))
		NewWithT(t).Expect(err).To(MatchError(io.ErrUnexpectedEOF), "a body that breaks off")
	}
	g := NewWithT(t)
	h := withHold(&Budget{})
	_, err := ReadBody(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), 4<<20, h)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(h.Size(UseBody)).To(Equal(int64(firstSegment)))
	_, err = ReadBody(strings.NewReader("xy"), 1, withHold(&Budget{}))
	g.Expect(errors.Is(err, errTooLong)).To(BeTrue())
	_, err = ReadBody(strings.NewReader("x"), 2, withHold(&Budget{}))
	g.Expect(err).To(HaveOccurred())
}

// Guards against limits that leave the smallest instance without room for a request.
func TestLimits(t *testing.T) {
	g := NewWithT(t)
	for _, l := range []Limits{{}, {Memory: 1, Descriptors: 1}, {Memory: 144e6, Descriptors: 3075}, {Memory: 536e6, Descriptors: 8192}} {
		g.Expect(l.RequestBytes()).To(BeNumerically(">", 8<<20))
		g.Expect(l.Connections()).To(BeNumerically(">=", minSockets/2))
		g.Expect(l.Connections() * 2).To(BeNumerically("<=", l.sockets()))
		g.Expect(l.IdleEndpointConnections()).To(BeNumerically(">", 0))
	}
}
