// Package rppeer connects the instances of the system over QUIC with mutual TLS.
// It executes SendPeer effects and posts PeerReceived and PeerLost events.
//
// # Usage
//
// All certificates come from one authority of the deployment:
//
//	authority, err := rppeer.NewAuthority(validity)
//	issued, err := authority.Issue("entry-1", validity)
//	credentials, err := rppeer.ParseCredentials(authority.PEM(), issued.Certificate, issued.Key)
//
// Links listens and dials on the same UDP socket:
//
//	links := &rppeer.Links{Self: "entry-1", Listen: listen, Credentials: credentials, Post: node.Post}
//	err := links.Start()
//	node.Handlers.SendPeer = links.SendPeer
//	defer links.Close(ctx)
//
// # Protocol
//
// A connection carries messages in one direction, from the dialer to the
// listener. If two instances dial each other at the same time, both connections
// are kept. The dialer opens one unidirectional stream and writes frames to it. A
// frame is a 4-byte big-endian length, followed by a CBOR map of at most
// FrameLimit bytes with the fields version, from, message and, optionally, clock.
//
// All messages share one stream, for two reasons. Messages of one sender arrive
// in the order in which they were sent, with gaps only if a connection broke or a
// queue was full. And a stream per message costs more; the benchmarks of this
// package measure both.
//
// The receiver skips a frame that it can't decode. A newer version and unknown
// fields are not errors. The receiver closes the connection if a frame is too
// long, or if its sender is not the instance in the certificate.
//
// # Identity
//
// The certificate of an instance has the DNS name ServerName, which the
// standard TLS verification checks, and exactly one URI, which contains the
// instance ID (see IdentityURI). The dialer accepts only the instance that it
// intended to reach.
package rppeer
