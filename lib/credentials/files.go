// Package credentials loads, reloads and issues the keys and certificates with which daemons
// authenticate each other.
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

// Files holds the paths of the key and certificate files of a daemon. Each has a key in the
// settings.
type Files struct {
	// Certificate and PrivateKey belong to the daemon; both are in PEM.
	Certificate string
	PrivateKey  string
	// Authority contains the certificates of the certificate authorities (CAs) that the daemon
	// trusts, in PEM.
	Authority string
	// ProbeKeys contains the keys for probe packets, in the format of packetauth.ParseRing.
	ProbeKeys string
}

// FileError is an error in one file.
type FileError struct {
	// Key is the settings key that holds the path of the file.
	Key  string
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return e.Key + " " + e.Path + ": " + e.Err.Error() }

// Set holds the keys, certificates and TLS configurations that were loaded from Files. It is
// immutable.
type Set struct {
	ring    *packetauth.Ring
	pool    *x509.CertPool
	pair    tls.Certificate
	client  *tls.Config
	server  *tls.Config
	expires time.Time
}

// Load reads and verifies all files. It returns either a Set or the errors, at most one for each
// file.
func Load(f Files, now time.Time) (*Set, []*FileError) { return parse(f, readAll(f), now) }

// contents holds the result of reading each file.
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
	// Drop the path from the error, because FileError contains it already.
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	return content{data, err}
}

// sum returns a hash of the contents. For a file that cannot be read, the hash includes the error.
func (c contents) sum() [sha256.Size]byte {
	hash := sha256.New()
	for _, file := range []content{c.certificate, c.privateKey, c.authority, c.probeKeys} {
		part := sha256.Sum256(file.data)
		hash.Write(part[:])
		if file.err != nil {
			hash.Write([]byte(file.err.Error()))
		}
	}
	return [sha256.Size]byte(hash.Sum(nil))
}

func parse(f Files, c contents, now time.Time) (*Set, []*FileError) {
	var fileErrors []*FileError
	s := &Set{}
	check := func(key, path string, readErr, err error) {
		if readErr != nil {
			err = readErr
		}
		if err != nil {
			fileErrors = append(fileErrors, &FileError{Key: key, Path: path, Err: err})
		}
	}
	var err error
	s.pool, err = parseCACertificates(c.authority.data)
	check("certificate", f.Certificate, c.certificate.err, checkPEM(c.certificate.data, "CERTIFICATE"))
	check("private-key", f.PrivateKey, c.privateKey.err, checkPEM(c.privateKey.data, "PRIVATE KEY"))
	check("authority", f.Authority, c.authority.err, err)
	s.ring, err = packetauth.ParseRing(c.probeKeys.data)
	check("probe-keys", f.ProbeKeys, c.probeKeys.err, err)
	if len(fileErrors) > 0 {
		return nil, fileErrors
	}
	if s.pair, err = tls.X509KeyPair(c.certificate.data, c.privateKey.data); err != nil {
		return nil, []*FileError{{"private-key", f.PrivateKey, errors.Wrap(err, "does not match the certificate")}}
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
		return errors.Errorf("no PEM block %q found", kind)
	}
	return nil
}

func parseCACertificates(data []byte) (*x509.CertPool, error) {
	pool, count := x509.NewCertPool(), 0
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		authority, err := x509.ParseCertificate(block.Bytes)
		if err != nil || !authority.IsCA {
			return nil, errors.Errorf("block %d is not a CA certificate", count+1)
		}
		pool.AddCert(authority)
		count++
	}
	if count == 0 {
		return nil, errors.New(`no PEM block "CERTIFICATE" found`)
	}
	return pool, nil
}

// verifyOwn sets expires, and returns an error if daemons that trust the same CAs would reject the
// certificate.
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
		return errors.New("certificate contains no IP address")
	}
	return nil
}

// configure builds the TLS configurations.
func (s *Set) configure() {
	base := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.pair},
		// Small first records would split a frame; a frame in one record takes one system call on
		// each side.
		DynamicRecordSizingDisabled: true,
		// Tickets add bytes to each connection, and daemons seldom reconnect to the same peer.
		SessionTicketsDisabled: true,
		// The hybrid post-quantum key exchange adds 2.2 kB to each handshake, which is too much
		// for the traffic limits of the control plane.
		CurvePreferences: []tls.CurveID{tls.X25519},
	}
	s.client = base.Clone()
	s.client.RootCAs = s.pool
	s.server = base
	s.server.ClientAuth, s.server.ClientCAs = tls.RequireAndVerifyClientCert, s.pool
}
