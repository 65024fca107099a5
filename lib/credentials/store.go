package credentials

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/packetauth"
)

const (
	// reloadInterval separates two looks at the files.
	reloadInterval = 5 * time.Second
	// expiryNotice is the time before the end of the certificate from which events ask for a new one.
	expiryNotice = 14 * 24 * time.Hour
	// expiryInterval separates two of these events.
	expiryInterval = 24 * time.Hour
)

// Store holds the Set in use and replaces it when the files change.
type Store struct {
	files   Files
	log     *event.Logger
	current atomic.Pointer[Set]
	// mu serializes reloads; it guards tried, the hash of the contents that were read last.
	mu    sync.Mutex
	tried [sha256.Size]byte
	// expiry bounds the events about the end of the certificate.
	expiry rate.Sometimes
}

// Open loads the files. The error is the first *FileError.
func Open(f Files, log *event.Logger) (*Store, error) {
	c := readAll(f)
	set, faults := parse(f, c, time.Now())
	if len(faults) > 0 {
		return nil, faults[0]
	}
	s := &Store{files: f, log: log, tried: c.sum(), expiry: rate.Sometimes{Interval: expiryInterval}}
	s.current.Store(set)
	return s, nil
}

// Run reloads changed files until ctx ends.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Reload()
		}
	}
}

// Reload looks at the files once. Files with a fault are refused together, and logged once.
func (s *Store) Reload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticeExpiry(time.Now())
	c := readAll(s.files)
	sum := c.sum()
	if sum == s.tried {
		return
	}
	s.tried = sum
	set, faults := parse(s.files, c, time.Now())
	for _, fault := range faults {
		s.log.Log(event.CredentialsRefused, zap.String("key", fault.Key), zap.String("file", fault.Path), zap.Error(fault.Err))
	}
	if set != nil {
		s.current.Store(set)
		s.log.Log(event.CredentialsReloaded, zap.Time("certificate_expires", set.expires))
	}
}

// noticeExpiry logs that the certificate ends soon.
func (s *Store) noticeExpiry(now time.Time) {
	if s.Expires().Sub(now) < expiryNotice {
		s.expiry.Do(func() { s.log.Log(event.CertificateExpires, zap.Time("certificate_expires", s.Expires())) })
	}
}

// Ring returns the keys for probes.
func (s *Store) Ring() *packetauth.Ring { return s.current.Load().ring }

// Expires returns the end of the certificate of this daemon.
func (s *Store) Expires() time.Time { return s.current.Load().expires }

// Server returns the TLS configuration for accepted connections.
func (s *Store) Server() *tls.Config { return s.current.Load().server }

// Client returns the TLS configuration for a connection to the daemon at an IP address, which its
// certificate must name.
func (s *Store) Client(ip string) *tls.Config {
	config := s.current.Load().client.Clone()
	config.ServerName = ip
	return config
}
