package rppeer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// FrameLimit is the maximum size of the CBOR part of a frame, in bytes. The
	// largest message holds a document of 64 KiB.
	FrameLimit = 128 << 10
	// Version is the message version that this package sends.
	Version = 1

	frameHeaderSize = 4
	// Messages have about 6 levels of nesting. The longest arrays are the
	// leaving endpoints in a heartbeat and the loaded models in a report.
	maxNestedLevels  = 16
	maxArrayElements = 8192
	maxMapPairs      = 256
)

// Envelope is the CBOR content of a frame.
type Envelope struct {
	Version uint64            `cbor:"version"`
	From    rpcore.InstanceID `cbor:"from"`
	// Clock is the sender's hybrid logical clock of the time line, or 0 if the
	// sender has none. Older versions ignore it.
	Clock   uint64             `cbor:"clock,omitempty"`
	Message rpcore.PeerMessage `cbor:"message"`
}

// empty reports whether the message has none of the kinds that this version
// knows.
func (e *Envelope) empty() bool { return e.Message == (rpcore.PeerMessage{}) }

// FrameTooLongError reports a frame longer than FrameLimit.
type FrameTooLongError struct {
	Length int
}

func (e FrameTooLongError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d", e.Length, FrameLimit)
}

// AmbiguousMessageError reports a message in which more than one kind is set.
type AmbiguousMessageError struct {
	Kinds int
}

func (e AmbiguousMessageError) Error() string {
	return fmt.Sprintf("the message has %d kinds instead of one", e.Kinds)
}

// frameEncMode encodes times with nanoseconds.
var frameEncMode = mustMode(cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode())

var frameDecMode = mustMode(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
	MaxNestedLevels:  maxNestedLevels,
	MaxArrayElements: maxArrayElements,
	MaxMapPairs:      maxMapPairs,
}.DecMode())

func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeFrame returns the frame, including its length header.
func encodeFrame(envelope *Envelope) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, frameHeaderSize))
	if err := frameEncMode.NewEncoder(&buffer).Encode(envelope); err != nil {
		return nil, trace.Wrap(err)
	}
	frame := buffer.Bytes()
	length := len(frame) - frameHeaderSize
	if length > FrameLimit {
		return nil, FrameTooLongError{Length: length}
	}
	binary.BigEndian.PutUint32(frame, uint32(length))
	return frame, nil
}

// readFrame reads the CBOR part of the next frame into the buffer, or into a
// larger new one if needed. The error is io.EOF if the stream ends before a frame
// begins.
func readFrame(r io.Reader, buffer []byte) ([]byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length > FrameLimit {
		return nil, FrameTooLongError{Length: length}
	}
	if cap(buffer) < length {
		buffer = make([]byte, length)
	}
	buffer = buffer[:length]
	_, err := io.ReadFull(r, buffer)
	return buffer, trace.Wrap(err)
}

// decodeFrame decodes the CBOR part of a frame. The envelope does not alias the
// data, so the caller may reuse the buffer.
func decodeFrame(data []byte) (Envelope, error) {
	var envelope Envelope
	if err := frameDecMode.Unmarshal(data, &envelope); err != nil {
		return Envelope{}, trace.Wrap(err)
	}
	if kinds := countKinds(&envelope.Message); kinds > 1 {
		return Envelope{}, AmbiguousMessageError{Kinds: kinds}
	}
	return envelope, nil
}

// countKinds returns how many kinds are set in a message. It uses reflection, so
// that it includes kinds that are added to PeerMessage later.
func countKinds(message *rpcore.PeerMessage) int {
	kinds := 0
	value := reflect.ValueOf(message).Elem()
	for _, field := range value.Fields() {
		if !field.IsNil() {
			kinds++
		}
	}
	return kinds
}
