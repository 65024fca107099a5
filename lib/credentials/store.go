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
	// reloadInterval is the interval at which the files are checked for changes.
	reloadInterval = 5 * time.Second
	// expiryNotice is how long before the certificate expires the warnings about it start.
	expiryNotice = 14 * 24 * time.Hour
	// expiryInterval is the shortest interval between two of these warnings.
	expiryInterval = 24 * time.Hour
)

// Store holds the current Set and replaces it when the files change.
type Store struct {
	files   Files
	log     *event.Logger
	current atomic.Pointer[Set]
	// mu serializes reloads. It guards lastSum, the hash of the contents that were read last,
	// whether they were valid or not.
	mu      sync.Mutex
	lastSum [sha256.Size]byte
	// expiry limits the rate of the warnings about the expiry of the certificate.
	expiry rate.Sometimes
}

// Open loads the files and returns a Store. The error is the first *FileError.
func Open(f Files, log *event.Logger) (*Store, error) {
	c := readAll(f)
	set, fileErrors := parse(f, c, time.Now())
	if len(fileErrors) > 0 {
		return nil, fileErrors[0]
	}
	s := &Store{files: f, log: log, lastSum: c.sum(), expiry: rate.Sometimes{Interval: expiryInterval}}
	s.current.Store(set)
	return s, nil
}

// Run reloads the files when they change, until ctx is canceled.
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

// Reload reads the files and replaces the current Set if they have changed. If a file is invalid,
// the current Set stays in use, and the error is logged once for each change.
func (s *Store) Reload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warnOfExpiry(time.Now())
	c := readAll(s.files)
	sum := c.sum()
	if sum == s.lastSum {
		return
	}
	s.lastSum = sum
	set, fileErrors := parse(s.files, c, time.Now())
	for _, fileError := range fileErrors {
		s.log.Log(event.CredentialsRefused, zap.String("key", fileError.Key), zap.String("file", fileError.Path), zap.Error(fileError.Err))
	}
	if set != nil {
		s.current.Store(set)
		s.log.Log(event.CredentialsReloaded, zap.Time("certificate_expires", set.expires))
	}
}

// warnOfExpiry logs a warning if the certificate expires soon.
func (s *Store) warnOfExpiry(now time.Time) {
	if s.Expires().Sub(now) < expiryNotice {
		s.expiry.Do(func() { s.log.Log(event.CertificateExpires, zap.Time("certificate_expires", s.Expires())) })
	}
}

// Ring returns the keys that authenticate probe packets.
func (s *Store) Ring() *packetauth.Ring { return s.current.Load().ring }

// Expires returns the time at which the certificate of this daemon expires.
func (s *Store) Expires() time.Time { return s.current.Load().expires }

// Server returns the TLS configuration for incoming connections.
func (s *Store) Server() *tls.Config { return s.current.Load().server }

// Client returns the TLS configuration for a connection to the daemon at an IP address. The
// certificate of that daemon must contain the address.
func (s *Store) Client(ip string) *tls.Config {
	config := s.current.Load().client.Clone()
	config.ServerName = ip
	return config
}
