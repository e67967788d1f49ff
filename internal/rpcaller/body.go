package rpcaller

import (
	"errors"
	"io"
)

const (
	// firstSegment is the most that is granted for a declared length before a byte
	// has come. Most bodies fit into it.
	firstSegment = 16 << 10
	// firstUnknown is the length of the first segment of a body of unknown length.
	firstUnknown = 4 << 10
	// maxSegment limits the length of a segment, and with it the memory that a
	// caller holds without having sent bytes for it.
	maxSegment = 256 << 10
)

// ReadBody reads a body into segments. Each is granted by the hold before it is
// allocated, and allocated when the one before it is full, so that a declared length
// alone takes no memory. length is the declared length, or negative if it is not
// known. The error is that of the reader or of the hold.
func ReadBody(r io.Reader, length int64, h *Hold) ([][]byte, error) {
	var segments [][]byte
	total := int64(0)
	size := int64(firstSegment)
	if length < 0 {
		size = firstUnknown
	}
	for {
		if length >= 0 {
			size = min(size, length-total)
		}
		if size == 0 {
			return segments, readEnd(r)
		}
		if err := h.Grow(UseBody, size); err != nil {
			return nil, err
		}
		segment, err := fill(r, make([]byte, 0, size))
		total += int64(len(segment))
		if len(segment) > 0 {
			segments = append(segments, segment)
		}
		switch {
		case errors.Is(err, io.EOF) && total < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return segments, nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, maxSegment)
	}
}

// fill reads until buf is full. Unlike io.ReadFull, it returns the reader's error, so
// that the end of a body differs from a body that breaks off.
func fill(r io.Reader, buf []byte) ([]byte, error) {
	for len(buf) < cap(buf) {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// errTooLong says that a body is longer than its declared length.
var errTooLong = errors.New("the body is longer than its declared length")

// readEnd reads the end of a body.
func readEnd(r io.Reader) error {
	var one [1]byte
	n, err := io.ReadFull(r, one[:])
	switch {
	case n > 0:
		return errTooLong
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}
