// Package rppeer links the instances of the system over QUIC with mutual TLS.
// It carries out SendPeer and answers with PeerReceived and PeerLost.
//
// # Usage
//
// All certificates come from one authority of the deployment:
//
//	authority, err := rppeer.NewAuthority(validity)
//	issued, err := authority.Issue("entry-1", validity)
//	credentials, err := rppeer.ParseCredentials(authority.PEM(), issued.Certificate, issued.Key)
//
// Links is both the listener and the dialer, on one UDP socket:
//
//	links := &rppeer.Links{Self: "entry-1", Listen: listen, Credentials: credentials, Post: node.Post}
//	err := links.Start()
//	node.Edges.SendPeer = links.SendPeer
//	defer links.Close(ctx)
//
// # Protocol
//
// A connection carries messages in one direction, from the instance that
// dialed, so that two instances that dial each other at once need no rule
// about which connection stays. The dialer opens one unidirectional stream. A
// frame on it is a length of 4 bytes, most significant first, and a CBOR map
// of at most FrameLimit bytes with the fields version, from and message.
//
// One long stream was chosen over a stream for each message: messages of one
// sender then arrive in the order in which they were sent, with gaps only
// where a link broke or a queue was full, and they cost less. The benchmarks
// of this package measure both.
//
// A frame that can't be decoded is passed over, since its length is known. A
// newer version and unknown fields are no error. A frame that is too long, or
// whose sender is not the one that the certificate names, ends the connection.
//
// # Identity
//
// The certificate of an instance has the DNS name ServerName, which the
// standard verification checks, and one URI that IdentityURI makes from its
// id. The dialer accepts only the instance that it means to reach.
package rppeer
