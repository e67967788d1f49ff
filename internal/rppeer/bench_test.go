package rppeer

import (
	"context"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// benchmarkStreams is the number of concurrent streams in the benchmarks.
const benchmarkStreams = 100

// withConnection returns both ends of a connection over loopback.
func withConnection(b *testing.B) (*quic.Conn, *quic.Conn) {
	b.Helper()
	g := NewWithT(b)
	authority := withAuthority(b)
	server := withCredentials(b, authority, "b")
	client := withCredentials(b, authority, "a")
	socket, err := net.ListenPacket("udp", loopback.String())
	g.Expect(err).NotTo(HaveOccurred())
	config := (&Links{}).config(benchmarkStreams)
	listener, err := quic.Listen(socket, server.serverTLS(), config)
	g.Expect(err).NotTo(HaveOccurred())
	sender, err := quic.DialAddr(b.Context(), socket.LocalAddr().String(), client.clientTLS("b"), config)
	g.Expect(err).NotTo(HaveOccurred())
	receiver, err := listener.Accept(b.Context())
	g.Expect(err).NotTo(HaveOccurred())
	b.Cleanup(func() {
		_ = sender.CloseWithError(codeDone, "")
		_ = listener.Close()
		_ = socket.Close()
	})
	return sender, receiver
}

// benchmarkFrame returns an encoded heartbeat of typical size.
func benchmarkFrame(b *testing.B) []byte {
	b.Helper()
	frame, err := encodeFrame(&Envelope{Version: Version, From: "entry-1", Message: rpcore.PeerMessage{Heartbeat: &rpcore.Heartbeat{
		Identity: rpcore.Identity{Instance: "entry-1", Incarnation: "0f9c1f6a-5d9b", FailureDomain: "nl-west-1"}, Digest: 1 << 60,
	}}})
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	return frame
}

// reportWireMetrics reports packets and bytes per operation. The bytes don't
// include UDP and IP headers.
func reportWireMetrics(b *testing.B, sender *quic.Conn, frame []byte) {
	b.Helper()
	stats := sender.ConnectionStats()
	b.ReportMetric(float64(stats.BytesSent+stats.BytesReceived)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(stats.PacketsSent+stats.PacketsReceived)/float64(b.N), "packets/op")
	b.ReportMetric(float64(len(frame)), "frame-B")
}

// BenchmarkOneStream sends all frames on one stream. It waits until a frame has
// arrived before it sends the next, because heartbeats are a second apart.
func BenchmarkOneStream(b *testing.B) {
	sender, receiver := withConnection(b)
	frame := benchmarkFrame(b)
	stream, err := sender.OpenUniStream()
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	read := make(chan struct{})
	go func() {
		incoming, err := receiver.AcceptUniStream(context.Background())
		buffer := make([]byte, len(frame))
		for err == nil {
			_, err = io.ReadFull(incoming, buffer)
			read <- struct{}{}
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = stream.Write(frame)
		<-read
	}
	reportWireMetrics(b, sender, frame)
}

// BenchmarkStreamPerMessage opens a new stream for each frame.
func BenchmarkStreamPerMessage(b *testing.B) {
	sender, receiver := withConnection(b)
	frame := benchmarkFrame(b)
	read := make(chan struct{})
	go func() {
		for {
			incoming, err := receiver.AcceptUniStream(context.Background())
			if err != nil {
				return
			}
			_, _ = io.ReadAll(incoming)
			read <- struct{}{}
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		stream, err := sender.OpenUniStreamSync(b.Context())
		NewWithT(b).Expect(err).NotTo(HaveOccurred())
		_, _ = stream.Write(frame)
		_ = stream.Close()
		<-read
	}
	reportWireMetrics(b, sender, frame)
}
