package rptimeline

import "math/bits"

// Default limits of a ring.
const (
	// DefaultEntries is enough for about 100 s at the design peak of 78 requests
	// a second for each instance, with 4 entries for each request.
	DefaultEntries = 32768
	DefaultBytes   = 8 << 20
)

// ring keeps the newest records in one byte slice. The slice contains no
// pointers, so the garbage collector does not scan it, and the limit in bytes
// is exact. A ring is not safe for concurrent use.
//
// The records are in [oldestOffset, writeOffset). If wrapped is set, they are in
// [oldestOffset, wrapOffset) and [0, writeOffset).
type ring struct {
	buffer []byte
	// lengths holds the length of each record, indexed by its sequence number
	// modulo the size of the slice. Reading the length from the buffer in
	// dropOldest would cost a cache miss for every record.
	lengths                               []uint16
	slotMask                              uint64
	maxRecords                            uint64
	oldestOffset, writeOffset, wrapOffset int
	wrapped                               bool
	// oldestSequence and nextSequence are the sequence numbers of the oldest
	// record and of the record that is added next.
	oldestSequence, nextSequence uint64
}

func newRing(entries, bytes int) *ring {
	maxRecords := uint64(max(entries, 1))
	slots := uint64(1) << bits.Len64(maxRecords-1)
	return &ring{
		buffer: make([]byte, max(bytes, 2*maxRecordBytes)), maxRecords: maxRecords,
		lengths: make([]uint16, slots), slotMask: slots - 1,
	}
}

// add appends a record.
func (r *ring) add(rec *record) { r.commit(rec.encode(r.reserve())) }

// reserve drops the oldest records to make room for the next record and returns
// the slice to encode it in. The slice has room for the largest record, so the
// size of the next record need not be computed first.
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

// commit appends the record that was encoded in the reserved slice.
func (r *ring) commit(length int) {
	r.lengths[r.nextSequence&r.slotMask] = uint16(length)
	r.writeOffset += length
	r.nextSequence++
}

// wrapAround continues writing at the start of the buffer. The records that
// remain after the write offset are the oldest ones.
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

func (r *ring) recordLength(sequence uint64) int { return int(r.lengths[sequence&r.slotMask]) }

// cursor is a reader's position in the ring. A reader keeps it while it does
// not hold the mutex of the recorder.
type cursor struct {
	sequence uint64
	offset   int
}

// normalize moves a cursor to the oldest record if the record at the cursor was
// dropped, and to the start of the buffer if it is at the wrap offset. It reports
// whether there is a record at the cursor.
func (r *ring) normalize(c *cursor) bool {
	switch {
	case c.sequence <= r.oldestSequence:
		c.sequence, c.offset = r.oldestSequence, r.oldestOffset
	case r.wrapped && c.offset == r.wrapOffset:
		c.offset = 0
	}
	return c.sequence < r.nextSequence
}

// read decodes the record at a normalized cursor and advances the cursor.
func (r *ring) read(c *cursor) Entry {
	length := r.recordLength(c.sequence)
	entry := decode(r.buffer[c.offset : c.offset+length])
	c.sequence++
	c.offset += length
	return entry
}

// oldestClock returns the timestamp of the oldest record, or 0 if the ring is
// empty.
func (r *ring) oldestClock() Clock {
	if r.oldestSequence == r.nextSequence {
		return 0
	}
	return decode(r.buffer[r.oldestOffset : r.oldestOffset+r.recordLength(r.oldestSequence)]).Clock
}
