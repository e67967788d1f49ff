package rptimeline

import "math/bits"

// Bounds of a ring.
const (
	// DefaultEntries holds about 100 s at the designed peak of 78 requests a
	// second for each instance, with 4 entries a request.
	DefaultEntries = 32768
	DefaultBytes   = 8 << 20
)

// ring keeps the newest records in one byte slice. The slice holds no
// pointers, so the garbage collector does not scan it, and the bound in bytes
// is exact. It is not safe for concurrent use.
//
// The records are in [oldest, at), or in [oldest, end) and [0, at) where the
// ring is wrapped.
type ring struct {
	buffer []byte
	// lengths holds the length of each record by its sequence number. To read
	// it from the buffer in drop would cost a cache miss for every record.
	lengths                               []uint16
	mask                                  uint64
	maxRecords                            uint64
	oldestOffset, writeOffset, wrapOffset int
	wrapped                               bool
	// oldestSequence and next are the sequence numbers of the oldest record and of the
	// next one.
	oldestSequence, nextSequence uint64
}

func newRing(entries, bytes int) *ring {
	limit := uint64(max(entries, 1))
	places := uint64(1) << bits.Len64(limit-1)
	return &ring{
		buffer: make([]byte, max(bytes, 2*maxRecordBytes)), maxRecords: limit,
		lengths: make([]uint16, places), mask: places - 1,
	}
}

// add appends a record.
func (r *ring) add(rec *record) { r.commit(rec.encode(r.reserve())) }

// reserve drops the oldest records that the next one may replace and returns
// the place of that. It makes room for the largest record, which saves a pass
// over the fields.
func (r *ring) reserve() []byte {
	if r.writeOffset+maxRecordBytes > len(r.buffer) {
		r.wrapAround()
	}
	for r.wrapped && r.oldestOffset < r.writeOffset+maxRecordBytes {
		r.dropOldest()
	}
	if r.nextSequence-r.oldestSequence == r.maxRecords {
		r.dropOldest()
	}
	return r.buffer[r.writeOffset : r.writeOffset+maxRecordBytes]
}

// commit appends the record that was encoded in the reserved place.
func (r *ring) commit(length int) {
	r.lengths[r.nextSequence&r.mask] = uint16(length)
	r.writeOffset += length
	r.nextSequence++
}

// wrapAround goes on at the begin of the buffer. What is left behind this place is
// older than all other records.
func (r *ring) wrapAround() {
	for r.wrapped {
		r.dropOldest()
	}
	if r.oldestSequence == r.nextSequence {
		r.oldestOffset, r.writeOffset = 0, 0
		return
	}
	r.wrapOffset, r.writeOffset, r.wrapped = r.writeOffset, 0, true
}

func (r *ring) dropOldest() {
	r.oldestOffset += r.recordLength(r.oldestSequence)
	r.oldestSequence++
	if r.wrapped && r.oldestOffset == r.wrapOffset {
		r.oldestOffset, r.wrapped = 0, false
	}
}

func (r *ring) recordLength(sequence uint64) int { return int(r.lengths[sequence&r.mask]) }

// cursor is a place in the ring that a reader keeps while it does not hold
// the lock.
type cursor struct {
	sequence uint64
	offset   int
}

// normalize moves a cursor on to the oldest record where its own was dropped. It
// reports whether there is a record at the cursor.
func (r *ring) normalize(c *cursor) bool {
	switch {
	case c.sequence <= r.oldestSequence:
		c.sequence, c.offset = r.oldestSequence, r.oldestOffset
	case r.wrapped && c.offset == r.wrapOffset:
		c.offset = 0
	}
	return c.sequence < r.nextSequence
}

// read decodes the record at a settled cursor and moves the cursor on.
func (r *ring) read(c *cursor) Entry {
	length := r.recordLength(c.sequence)
	entry := decode(r.buffer[c.offset : c.offset+length])
	c.sequence++
	c.offset += length
	return entry
}

// oldestClock returns the clock of the oldest record, 0 where there is none.
func (r *ring) oldestClock() Clock {
	if r.oldestSequence == r.nextSequence {
		return 0
	}
	return decode(r.buffer[r.oldestOffset : r.oldestOffset+r.recordLength(r.oldestSequence)]).Clock
}
