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

// protocolName is the name in the TLS handshake. Another name is needed only
// for a change that the version in the envelope can't express.
const protocolName = "rattanpaddle-peer/1"

// Credentials are the certificate of this instance and the authority of its
// peers.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// ParseCredentials reads credentials from PEM.
func ParseCredentials(authority, certificate, key []byte) (Credentials, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Credentials{}, CertificateError{Reason: "the authority has no certificate in PEM"}
	}
	pair, err := tls.X509KeyPair(certificate, key)
	return Credentials{Certificate: pair, Authority: pool}, trace.Wrap(err)
}

// CertificateError reports a certificate that does not fit its use.
type CertificateError struct {
	Reason string
}

func (e CertificateError) Error() string { return "certificate: " + e.Reason }

// serverTLS accepts every instance of the authority.
func (c Credentials) serverTLS() *tls.Config {
	config := c.baseTLS()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = c.Authority
	// Without tickets, every connection verifies the certificate.
	config.SessionTicketsDisabled = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := peerIdentity(state)
		return err
	}
	return config
}

// clientTLS accepts one instance.
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

// peerIdentity returns the instance that a verified certificate names.
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

// statelessResetKey is derived from the private key. After a restart on the
// same address, the instance can then tell its peers at once that their old
// connections are gone; they would otherwise notice after IdleTimeout.
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
