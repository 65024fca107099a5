// Package credentials reads and makes the keys and certificates with which daemons recognize each other.
package credentials

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/packetauth"
)

// Files names the files of a daemon, each by the key of the settings that holds it.
type Files struct {
	// Certificate and PrivateKey are those of the daemon, in PEM.
	Certificate string
	PrivateKey  string
	// Authority holds the certificates of the authorities whose daemons are accepted, in PEM.
	Authority string
	// ProbeKeys is a file for packetauth.ParseRing.
	ProbeKeys string
}

// FileError is a fault of one file.
type FileError struct {
	// Key is the key of the settings that names the file.
	Key  string
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return e.Key + " " + e.Path + ": " + e.Err.Error() }

// Set is the content of Files. It is immutable.
type Set struct {
	ring    *packetauth.Ring
	pool    *x509.CertPool
	pair    tls.Certificate
	client  *tls.Config
	server  *tls.Config
	expires time.Time
}

// Load reads all files. It returns either a Set or the faults, one for each faulty file.
func Load(f Files, now time.Time) (*Set, []*FileError) { return parse(f, readAll(f), now) }

// contents are the files as they were read.
type contents struct{ certificate, privateKey, authority, probeKeys content }

type content struct {
	data []byte
	err  error
}

func readAll(f Files) contents {
	return contents{read(f.Certificate), read(f.PrivateKey), read(f.Authority), read(f.ProbeKeys)}
}

func read(path string) content {
	data, err := os.ReadFile(path)
	// The path is in the settings and in FileError already.
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	return content{data, err}
}

// sum returns a hash of the contents; a file that cannot be read counts with its error.
func (c contents) sum() [sha256.Size]byte {
	hash := sha256.New()
	for _, one := range []content{c.certificate, c.privateKey, c.authority, c.probeKeys} {
		part := sha256.Sum256(one.data)
		hash.Write(part[:])
		if one.err != nil {
			hash.Write([]byte(one.err.Error()))
		}
	}
	return [sha256.Size]byte(hash.Sum(nil))
}

func parse(f Files, c contents, now time.Time) (*Set, []*FileError) {
	var faults []*FileError
	s := &Set{}
	note := func(key, path string, read, fault error) {
		if read != nil {
			fault = read
		}
		if fault != nil {
			faults = append(faults, &FileError{Key: key, Path: path, Err: fault})
		}
	}
	var err error
	s.pool, err = parseAuthorities(c.authority.data)
	note("certificate", f.Certificate, c.certificate.err, checkPEM(c.certificate.data, "CERTIFICATE"))
	note("private-key", f.PrivateKey, c.privateKey.err, checkPEM(c.privateKey.data, "PRIVATE KEY"))
	note("authority", f.Authority, c.authority.err, err)
	s.ring, err = packetauth.ParseRing(c.probeKeys.data)
	note("probe-keys", f.ProbeKeys, c.probeKeys.err, err)
	if len(faults) > 0 {
		return nil, faults
	}
	if s.pair, err = tls.X509KeyPair(c.certificate.data, c.privateKey.data); err != nil {
		return nil, []*FileError{{"private-key", f.PrivateKey, errors.Wrap(err, "does not fit the certificate")}}
	}
	if err := s.verifyOwn(now); err != nil {
		return nil, []*FileError{{"certificate", f.Certificate, err}}
	}
	s.configure()
	return s, nil
}

func checkPEM(data []byte, kind string) error {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return errors.Errorf("not a PEM file with a block %q", kind)
	}
	return nil
}

func parseAuthorities(data []byte) (*x509.CertPool, error) {
	pool, found := x509.NewCertPool(), 0
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		authority, err := x509.ParseCertificate(block.Bytes)
		if err != nil || !authority.IsCA {
			return nil, errors.Errorf("block %d is not the certificate of an authority", found+1)
		}
		pool.AddCert(authority)
		found++
	}
	if found == 0 {
		return nil, errors.New(`not a PEM file with a block "CERTIFICATE"`)
	}
	return pool, nil
}

// verifyOwn reports why other daemons with the same authorities would refuse this one.
func (s *Set) verifyOwn(now time.Time) error {
	leaf := s.pair.Leaf
	s.expires = leaf.NotAfter
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: s.pool, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := leaf.Verify(options); err != nil {
			return err
		}
	}
	if len(leaf.IPAddresses) == 0 {
		return errors.New("certificate names no IP address")
	}
	return nil
}

// configure builds the TLS configurations.
func (s *Set) configure() {
	base := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.pair},
		// A frame in one record is one system call on both sides.
		DynamicRecordSizingDisabled: true,
		// Tickets would cost bytes for each connection, while daemons seldom return to the same peer.
		SessionTicketsDisabled: true,
		// The hybrid key exchange adds 2.2 kB to each handshake, which the control plane cannot afford.
		CurvePreferences: []tls.CurveID{tls.X25519},
	}
	s.client = base.Clone()
	s.client.RootCAs = s.pool
	s.server = base
	s.server.ClientAuth, s.server.ClientCAs = tls.RequireAndVerifyClientCert, s.pool
}
