package rpsettings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
)

// checkTLS reads the files for TLS and checks that they fit together.
func (c checker) checkTLS() {
	files := &c.settings.TLS
	rptoml.Require(c.report, "tls.ca", `"ca.pem"`)
	rptoml.Require(c.report, "tls.certificate", `"entry-1.pem"`)
	rptoml.Require(c.report, "tls.key", `"entry-1-key.pem"`)
	ca, haveCA := c.readFile("tls.ca", files.CA)
	certificate, haveCertificate := c.readFile("tls.certificate", files.Certificate)
	key, haveKey := c.readFile("tls.key", files.Key)
	if haveCA {
		files.Pool = x509.NewCertPool()
		if !files.Pool.AppendCertsFromPEM(ca) {
			c.report.Add("tls.ca", rptoml.CodeCertificateWrong, "The file has no certificate.", "Name a PEM file with the certificate of the authority.")
			haveCA = false
		}
	}
	if !haveCertificate || !haveKey {
		return
	}
	if c.checkKeyPair(certificate, key) && haveCA {
		c.verifyCertificate()
	}
}

// checkKeyPair stores the certificate and its private key in the settings. It
// reports files that do not contain them, or a key of another certificate.
func (c checker) checkKeyPair(certificate, key []byte) bool {
	pair, err := tls.X509KeyPair(certificate, key)
	if err == nil {
		c.settings.TLS.Pair = pair
		return true
	}
	switch {
	case strings.Contains(err.Error(), "does not match"):
		c.report.Add("tls.key", rptoml.CodePrivateKeyWrong, "The key does not match the certificate.", "Name the key that belongs to tls.certificate.")
	case strings.Contains(err.Error(), "private key") || strings.Contains(err.Error(), "key input"):
		c.report.Add("tls.key", rptoml.CodePrivateKeyWrong, "The file has no private key.", "Name a PEM file with the key of tls.certificate.")
	default:
		c.report.Add("tls.certificate", rptoml.CodeCertificateWrong, "The file has no certificate.", "Name a PEM file with the certificate of this instance.")
	}
	return false
}

// verifyCertificate reports a certificate that other instances would refuse,
// for example because it is expired or signed by another authority.
func (c checker) verifyCertificate() {
	leaf := c.settings.TLS.Pair.Leaf
	intermediates := x509.NewCertPool()
	for _, der := range c.settings.TLS.Pair.Certificate[1:] {
		if certificate, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(certificate)
		}
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: c.settings.TLS.Pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		c.report.Add("tls.certificate", rptoml.CodeCertificateWrong, fmt.Sprintf("Other instances would refuse the certificate: %s.", strings.TrimPrefix(err.Error(), "x509: ")),
			"Name a certificate that is valid now and that tls.ca signed.")
	}
}

// readFile reads the file that a key names. It returns false if the key is
// missing, or if the file can't be read, which it reports.
func (c checker) readFile(key, name string) ([]byte, bool) {
	if !c.report.Has(key) || name == "" {
		if c.report.Has(key) {
			c.report.Add(key, rptoml.CodeFileUnreadable, "The file name is empty.", unreadableFix)
		}
		return nil, false
	}
	if !filepath.IsAbs(name) {
		name = filepath.Join(c.dir, name)
	}
	body, err := readFile(name, MaxFileBytes)
	if err != nil {
		c.report.Add(key, rptoml.CodeFileUnreadable, unreadableText(err), unreadableFix)
		return nil, false
	}
	return body, true
}
