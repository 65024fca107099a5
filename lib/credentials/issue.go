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

// backdate is how long before its creation a certificate becomes valid, to allow for clock skew.
const backdate = time.Hour

// Pair is a certificate and its private key, both in PEM.
type Pair struct{ Certificate, PrivateKey []byte }

// NewAuthority creates a self-signed CA certificate that expires at now plus valid.
func NewAuthority(name string, now time.Time, valid time.Duration) (Pair, error) {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-backdate), NotAfter: now.Add(valid),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign,
	}
	return sign(template, nil, nil)
}

// Issue creates a certificate for a daemon with the given addresses, signed by the CA p. It expires
// at now plus valid, or with the CA certificate if that is earlier.
func (p Pair) Issue(name string, addrs []netip.Addr, now time.Time, valid time.Duration) (Pair, error) {
	authority, err := tls.X509KeyPair(p.Certificate, p.PrivateKey)
	if err != nil {
		return Pair{}, errors.Wrap(err, "authority")
	}
	if !authority.Leaf.IsCA {
		return Pair{}, errors.New("not a CA certificate")
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

// sign creates a key pair and a certificate for it, which is self-signed if parent is nil. The keys
// are Ed25519 keys because these give the smallest certificates, which are sent in each handshake.
func sign(template, parent *x509.Certificate, parentKey crypto.PrivateKey) (Pair, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "generate a key")
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

// NewProbeKey generates a probe key and returns it in the format of a probe key file.
func NewProbeKey() ([]byte, error) {
	secret := make([]byte, packetauth.KeyBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "generate a key")
	}
	return packetauth.FormatKey(secret), nil
}
