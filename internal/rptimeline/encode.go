package rptimeline

import (
	"encoding/binary"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const (
	// maxFieldBytes limits the text of a field. Longer texts are truncated.
	maxFieldBytes = 255
	// headerBytes is the size of clock, count, mask, kind, part and verdict.
	headerBytes = 21
	maskOffset  = 16
	// maxRecordBytes is the size of a record whose fields all have the maximum
	// length.
	maxRecordBytes = headerBytes + int(fieldCount)*(1+maxFieldBytes)
)

// field identifies a text of a record. Records store their fields in this
// order.
type field uint8

const (
	fieldRequest field = iota
	fieldAttempt
	fieldService
	fieldModel
	fieldEndpoint
	fieldOrder
	fieldPeer
	fieldCode
	fieldText
	fieldCount
)

// record is an entry before it is encoded.
type record struct {
	clock   Clock
	count   uint64
	kind    Kind
	part    Part
	verdict uint8

	request, attempt, service, model, endpoint, order, peer, code, text string
}

// encoder encodes one record. Bit n of the mask is set if the record contains
// field n; empty fields are left out.
type encoder struct {
	buffer []byte
	offset int
	mask   uint16
}

// encodeHeader begins a record. The slice to must have maxRecordBytes.
func encodeHeader(to []byte, clock Clock, count uint64, kind Kind, part Part, verdict uint8) encoder {
	_ = to[headerBytes]
	binary.LittleEndian.PutUint64(to, uint64(clock))
	binary.LittleEndian.PutUint64(to[8:], count)
	to[18], to[19], to[20] = byte(kind), byte(part), verdict
	return encoder{buffer: to, offset: headerBytes}
}

// put appends a field. Fields must be put in ascending order.
func (e *encoder) put(f field, text string) {
	n := min(len(text), maxFieldBytes)
	if n == 0 {
		return
	}
	e.mask |= 1 << f
	e.buffer[e.offset] = byte(n)
	copy(e.buffer[e.offset+1:], text[:n])
	e.offset += 1 + n
}

// finish writes the mask and returns the length of the record.
func (e *encoder) finish() int {
	binary.LittleEndian.PutUint16(e.buffer[maskOffset:], e.mask)
	return e.offset
}

// encode writes the record to a slice of maxRecordBytes and returns its length.
func (rec *record) encode(to []byte) int {
	e := encodeHeader(to, rec.clock, rec.count, rec.kind, rec.part, rec.verdict)
	for i, text := range [fieldCount]*string{
		&rec.request, &rec.attempt, &rec.service, &rec.model, &rec.endpoint,
		&rec.order, &rec.peer, &rec.code, &rec.text,
	} {
		e.put(field(i), *text)
	}
	return e.finish()
}

func decode(data []byte) Entry {
	entry := Entry{
		Clock: Clock(binary.LittleEndian.Uint64(data)),
		Count: binary.LittleEndian.Uint64(data[8:]),
		Kind:  Kind(data[18]),
		Part:  Part(data[19]),
	}
	if data[20] > 0 {
		verdict := rpverdict.Verdict(data[20] - 1)
		entry.Verdict = &verdict
	}
	mask := binary.LittleEndian.Uint16(data[maskOffset:])
	data = data[headerBytes:]
	for i, field := range [...]*string{
		&entry.Request, &entry.Attempt, &entry.Service, &entry.Model, &entry.Endpoint,
		&entry.Order, &entry.Peer, &entry.Code, &entry.Text,
	} {
		if mask&(1<<i) != 0 {
			length := int(data[0])
			*field = string(data[1 : 1+length])
			data = data[1+length:]
		}
	}
	if entry.Service == "" {
		entry.splitModel()
	}
	return entry
}

// splitModel splits the SERVICE/MODEL name that a caller sent.
func (e *Entry) splitModel() {
	if service, model, ok := strings.Cut(e.Model, "/"); ok {
		e.Service, e.Model = service, model
	}
}
