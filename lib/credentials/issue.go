package credentials

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/packetauth"
)

// backdate is the time before its creation from which a certificate is valid, since clocks differ.
const backdate = time.Hour

// Pair is a certificate with its private key, both in PEM.
type Pair struct{ Certificate, PrivateKey []byte }

// NewAuthority makes an authority that is valid from now for the given time.
func NewAuthority(name string, now time.Time, valid time.Duration) (Pair, error) {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-backdate), NotAfter: now.Add(valid),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign,
	}
	return sign(template, nil, nil)
}

// Issue makes a certificate of a daemon with the given addresses. It is valid from now for the given
// time, and no longer than the authority.
func (p Pair) Issue(name string, addrs []netip.Addr, now time.Time, valid time.Duration) (Pair, error) {
	authority, err := tls.X509KeyPair(p.Certificate, p.PrivateKey)
	if err != nil {
		return Pair{}, errors.Wrap(err, "authority")
	}
	if !authority.Leaf.IsCA {
		return Pair{}, errors.New("not the certificate of an authority")
	}
	if len(addrs) == 0 {
		return Pair{}, errors.New("a certificate needs an IP address")
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-backdate), NotAfter: now.Add(valid),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if template.NotAfter.After(authority.Leaf.NotAfter) {
		template.NotAfter = authority.Leaf.NotAfter
	}
	for _, addr := range addrs {
		template.IPAddresses = append(template.IPAddresses, addr.Unmap().AsSlice())
	}
	return sign(template, authority.Leaf, authority.PrivateKey)
}

// sign makes a key and a certificate for it; it signs itself without a parent. Ed25519 gives the smallest
// certificates, which are sent in each handshake.
func sign(template, parent *x509.Certificate, parentKey crypto.PrivateKey) (Pair, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "make a key")
	}
	if parent == nil {
		parent, parentKey = template, private
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, public, parentKey)
	if err != nil {
		return Pair{}, errors.Wrap(err, "sign a certificate")
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode a key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}),
		PrivateKey:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}),
	}, nil
}

// NewProbeKey returns the content of a file with one new probe key.
func NewProbeKey() ([]byte, error) {
	secret := make([]byte, packetauth.KeyBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "make a key")
	}
	return packetauth.FormatKey(secret), nil
}
