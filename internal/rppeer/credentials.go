package rppeer

import (
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// protocolName is the ALPN protocol of the TLS handshake. It changes only if the
// frame format changes; changes to messages use Envelope.Version.
const protocolName = "rattanpaddle-peer/1"

// Credentials hold the certificate of this instance and the authority that signs
// the certificates of its peers.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// ParseCredentials parses PEM-encoded credentials.
func ParseCredentials(authority, certificate, key []byte) (Credentials, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Credentials{}, CertificateError{Reason: "the authority has no certificate in PEM"}
	}
	pair, err := tls.X509KeyPair(certificate, key)
	return Credentials{Certificate: pair, Authority: pool}, trace.Wrap(err)
}

// CertificateError reports a certificate that can't be used or does not identify
// the expected instance.
type CertificateError struct {
	Reason string
}

func (e CertificateError) Error() string { return "certificate: " + e.Reason }

// serverTLS accepts every instance with a certificate of the authority.
func (c Credentials) serverTLS() *tls.Config {
	config := c.baseTLS()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = c.Authority
	// Without session tickets, every connection verifies the certificate.
	config.SessionTicketsDisabled = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := peerIdentity(state)
		return err
	}
	return config
}

// clientTLS accepts only the given instance as the server.
func (c Credentials) clientTLS(peer rpcore.InstanceID) *tls.Config {
	config := c.baseTLS()
	config.RootCAs = c.Authority
	config.ServerName = ServerName
	config.VerifyConnection = func(state tls.ConnectionState) error {
		id, err := peerIdentity(state)
		if err == nil && id != peer {
			err = CertificateError{Reason: fmt.Sprintf("it names the instance %q in place of %q", id, peer)}
		}
		return err
	}
	return config
}

func (c Credentials) baseTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
		Certificates: []tls.Certificate{c.Certificate},
	}
}

// peerIdentity returns the instance ID in the URI of a verified certificate.
func peerIdentity(state tls.ConnectionState) (rpcore.InstanceID, error) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].URIs) != 1 {
		return "", CertificateError{Reason: "it does not have exactly one URI"}
	}
	uri := state.PeerCertificates[0].URIs[0]
	id, ok := strings.CutPrefix(uri.Path, "/")
	if uri.Scheme != "rattanpaddle" || uri.Host != "instance" || !ok || id == "" {
		return "", CertificateError{Reason: "its URI names no instance: " + uri.String()}
	}
	return rpcore.InstanceID(id), nil
}

// statelessResetKey derives the QUIC stateless reset key from the private key, so
// that it stays the same over a restart. An instance that restarts on the same
// address can then reset the old connections of its peers at once. Otherwise the
// peers would notice only after IdleTimeout.
func (c Credentials) statelessResetKey() (*quic.StatelessResetKey, error) {
	der, err := x509.MarshalPKCS8PrivateKey(c.Certificate.PrivateKey)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var key quic.StatelessResetKey
	derived, err := hkdf.Key(sha256.New, der, nil, "rattanpaddle stateless reset", len(key))
	copy(key[:], derived)
	return &key, trace.Wrap(err)
}
