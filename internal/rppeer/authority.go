package rppeer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

const (
	// ServerName is the DNS name in the certificates of all instances.
	ServerName = "instance.rattanpaddle.internal"

	serialBits = 128
	// clockSkewTolerance backdates certificates, so that an instance whose clock
	// is behind the authority's can use a new certificate at once.
	clockSkewTolerance = 5 * time.Minute
)

// Authority is a certificate authority for demos and tests. A deployment uses its
// own authority, whose certificates must have the same fields.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Issued is a certificate and its private key, both in PEM.
type Issued struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority creates an authority with a new key and a self-signed certificate.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template, err := newTemplate("rattanpaddle authority", validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	template.MaxPathLenZero = true
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, trace.Wrap(err)
}

// PEM returns the certificate of the authority.
func (a *Authority) PEM() []byte { return encodePEM("CERTIFICATE", a.certificate.Raw) }

// Issue creates a key and a certificate for an instance.
func (a *Authority) Issue(instance rpcore.InstanceID, validity time.Duration) (Issued, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Issued{}, trace.Wrap(err)
	}
	template, err := newTemplate(string(instance), validity)
	if err != nil {
		return Issued{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{ServerName}
	template.URIs = []*url.URL{IdentityURI(instance)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Issued{}, trace.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Issued{}, trace.Wrap(err)
	}
	return Issued{Certificate: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", keyDER)}, nil
}

// IdentityURI returns the URI that names an instance in its certificate.
func IdentityURI(instance rpcore.InstanceID) *url.URL {
	return &url.URL{Scheme: "rattanpaddle", Host: "instance", Path: "/" + string(instance)}
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkewTolerance),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
