package rppeer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// Guards against encoding that alters a message, for example by truncating times
// to seconds.
func TestFrameRoundTrip(t *testing.T) {
	g := NewWithT(t)
	accepted := time.Date(2026, 5, 4, 3, 2, 1, 123456789, time.UTC)
	sent := Envelope{Version: Version, From: "i1", Message: rpcore.PeerMessage{DocumentPush: &rpcore.DocumentPush{
		DocumentRow: rpcore.DocumentRow{Service: "sber", Version: 7, AcceptedAt: accepted},
		Body:        bytes.Repeat([]byte("x"), 64<<10),
	}}}
	frame, err := encodeFrame(&sent)
	g.Expect(err).NotTo(HaveOccurred())
	reader := bytes.NewReader(frame)
	data, err := readFrame(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := decodeFrame(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(sent))
	_, err = readFrame(reader, nil)
	g.Expect(err).To(Equal(io.EOF))
	_, err = readFrame(bytes.NewReader(frame[:len(frame)-1]), nil)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}

// Guards against sending frames over the limit, and against allocating memory
// for them on receipt.
func TestFrameLimit(t *testing.T) {
	g := NewWithT(t)
	_, err := encodeFrame(&Envelope{Message: rpcore.PeerMessage{DocumentPush: &rpcore.DocumentPush{Body: make([]byte, FrameLimit)}}})
	g.Expect(err).To(BeAssignableToTypeOf(FrameTooLongError{}))
	_, err = readFrame(bytes.NewReader(binary.BigEndian.AppendUint32(nil, FrameLimit+1)), nil)
	g.Expect(err).To(Equal(FrameTooLongError{Length: FrameLimit + 1}))
}

// encodeCBOR encodes a value that this version has no message type for.
func encodeCBOR(t *testing.T, value any) []byte {
	t.Helper()
	data, err := cbor.Marshal(value)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return data
}

// Guards against a message of a newer version that makes an older instance crash,
// close the connection or lose the fields that it knows.
func TestNewerVersionIsDecoded(t *testing.T) {
	g := NewWithT(t)
	known := encodeCBOR(t, map[string]any{
		"version": 9, "from": "i1", "priority": []int{1},
		"message": map[string]any{"demand": map[string]any{"waiting": 3, "mood": "good"}},
	})
	envelope, err := decodeFrame(known)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(envelope.Version).To(Equal(uint64(9)))
	g.Expect(envelope.Message.Demand.Waiting).To(Equal(3))
	unknown := encodeCBOR(t, map[string]any{"version": 9, "from": "i1", "message": map[string]any{"song": "la"}})
	envelope, err = decodeFrame(unknown)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(envelope.empty()).To(BeTrue())
}

// Guards against small messages that use much memory or time to decode, and
// against messages with more than one meaning.
func TestMalformedFramesAreRejected(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0x81}, 1000), 0)
	cases := map[string][]byte{
		"deep nesting":      encodeCBOR(t, map[string]any{"message": cbor.RawMessage(deep)}),
		"long array":        encodeCBOR(t, map[string]any{"x": make([]int, maxArrayElements+1)}),
		"indefinite length": {0xbf, 0xff},
		"duplicate field":   {0xa2, 0x61, 'a', 1, 0x61, 'a', 2},
		"two kinds": encodeCBOR(t, map[string]any{"message": map[string]any{
			"demand": map[string]any{}, "heartbeat": map[string]any{},
		}}),
		"claimed length": {0xa1, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	}
	for name, data := range cases {
		_, err := decodeFrame(data)
		NewWithT(t).Expect(err).To(HaveOccurred(), name)
	}
}

// Guards against input that makes the decoder panic, and against decoded
// envelopes that can't be encoded again.
func FuzzDecodeFrame(f *testing.F) {
	heartbeat := &rpcore.Heartbeat{
		Identity: rpcore.Identity{Instance: "i1"}, HasDocuments: true,
		LeavingEndpoints: []rpcore.LeavingNotice{{Endpoint: "e1"}},
	}
	for _, message := range []rpcore.PeerMessage{
		{Heartbeat: heartbeat},
		{ReportShare: &rpcore.ReportShare{Report: rpcore.EngineReport{TakenAt: time.Unix(1, 2)}}},
		{DocumentRequest: &rpcore.DocumentRequest{Services: []string{strings.Repeat("s", 300)}}},
	} {
		frame, err := encodeFrame(&Envelope{Version: Version, From: "i1", Message: message})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := bytes.NewReader(stream)
		for {
			data, err := readFrame(reader, nil)
			if err != nil {
				return
			}
			envelope, err := decodeFrame(data)
			if err != nil || envelope.empty() {
				continue
			}
			if _, err := encodeFrame(&envelope); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a clock field that an older version can't skip, and against
// rejecting a message without a clock.
func TestClockIsOptional(t *testing.T) {
	g := NewWithT(t)
	message := rpcore.PeerMessage{Demand: &rpcore.Demand{Waiting: 3}}
	frame, err := encodeFrame(&Envelope{Version: Version, From: "i1", Clock: 7, Message: message})
	g.Expect(err).NotTo(HaveOccurred())
	var older struct {
		Version uint64             `cbor:"version"`
		From    rpcore.InstanceID  `cbor:"from"`
		Message rpcore.PeerMessage `cbor:"message"`
	}
	g.Expect(frameDecMode.Unmarshal(frame[frameHeaderSize:], &older)).To(Succeed())
	g.Expect(older.Message).To(Equal(message))
	envelope, err := decodeFrame(encodeCBOR(t, older))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(envelope).To(Equal(Envelope{Version: Version, From: "i1", Message: message}))
	envelope, err = decodeFrame(frame[frameHeaderSize:])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(envelope.Clock).To(BeEquivalentTo(7))
}

// Guards against an operators' address that an older version can't skip, that
// uses bytes in a heartbeat without an address, or that is accepted although it
// is invalid.
func TestOperatorsAddressIsOptional(t *testing.T) {
	g := NewWithT(t)
	address := netip.MustParseAddrPort("10.0.0.5:8081")
	frame := func(address netip.AddrPort) []byte {
		sent, err := encodeFrame(&Envelope{Version: Version, From: "i1", Message: rpcore.PeerMessage{Heartbeat: &rpcore.Heartbeat{Digest: 7, Operators: address}}})
		g.Expect(err).NotTo(HaveOccurred())
		return sent[frameHeaderSize:]
	}
	var older struct {
		Message struct {
			Heartbeat struct {
				Digest uint64 `cbor:"digest"`
			} `cbor:"heartbeat"`
		} `cbor:"message"`
	}
	g.Expect(frameDecMode.Unmarshal(frame(address), &older)).To(Succeed())
	g.Expect(older.Message.Heartbeat.Digest).To(BeEquivalentTo(7))
	got, err := decodeFrame(frame(address))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Message.Heartbeat.Operators).To(Equal(address))
	g.Expect(frame(netip.AddrPort{})).NotTo(ContainSubstring("operators"))
	g.Expect(len(frame(address)) - len(frame(netip.AddrPort{}))).To(BeNumerically("<=", 25))
	_, err = decodeFrame(encodeCBOR(t, map[string]any{"message": map[string]any{"heartbeat": map[string]any{"operators": []byte("no address")}}}))
	g.Expect(err).To(HaveOccurred())
}
