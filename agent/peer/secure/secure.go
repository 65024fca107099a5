// Package secure authenticates and encrypts the TCP connections between daemons with mutual TLS 1.3.
package secure

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"kingcupwood.example/kingcupwood/lib/event"
)

const (
	// handshakeTimeout bounds the time in which a connection that is not authenticated takes a place.
	handshakeTimeout = 5 * time.Second
	// refuseLogInterval separates two events about refused connections.
	refuseLogInterval = 10 * time.Second
)

// Credentials are the certificates in use; each connection takes the present ones.
type Credentials interface {
	Server() *tls.Config
	Client(ip string) *tls.Config
}

// DialFunc opens a connection; it has the form of net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns dial with TLS. The certificate of the peer must name the IP address that is dialed. A peer
// that refuses the certificate of this daemon says so on the first read only.
func Dial(dial DialFunc, c Credentials) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		secured := tls.Client(raw, c.Client(host))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, errors.Wrap(err, "TLS handshake")
		}
		return &conn{Conn: secured, raw: raw}, nil
	}
}

// conn is a TLS connection that closes without a message to the peer: writing one to a frozen peer could
// block the caller for seconds, and the protocols between daemons notice a truncated message.
type conn struct {
	*tls.Conn
	raw net.Conn
}

// Close implements net.Conn.
func (c *conn) Close() error { return c.raw.Close() }

// SyscallConn implements syscall.Conn for checks of an idle connection. TLS records that are sent
// while it should be idle, such as alerts, are seen there as data.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.raw.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.New("connection without a file descriptor")
}

// Listener accepts connections that perform the handshake with their first read or write, in the
// goroutine that serves them.
type Listener struct {
	net.Listener
	credentials Credentials
	log         *event.Logger
	logRefused  rate.Sometimes
	refused     atomic.Uint64
}

// NewListener returns a Listener over l.
func NewListener(l net.Listener, c Credentials, log *event.Logger) *Listener {
	return &Listener{Listener: l, credentials: c, log: log, logRefused: rate.Sometimes{Interval: refuseLogInterval}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &accepted{conn: conn{Conn: tls.Server(raw, l.credentials.Server()), raw: raw}, listener: l}, nil
}

// Refused returns the number of connections whose handshake failed.
func (l *Listener) Refused() uint64 { return l.refused.Load() }

// accepted is a connection from a daemon, or from anybody before its handshake.
type accepted struct {
	conn
	listener *Listener
	once     sync.Once
	err      error
}

// Read implements net.Conn.
func (a *accepted) Read(b []byte) (int, error) {
	if err := a.handshake(); err != nil {
		return 0, err
	}
	return a.Conn.Read(b)
}

// Write implements net.Conn.
func (a *accepted) Write(b []byte) (int, error) {
	if err := a.handshake(); err != nil {
		return 0, err
	}
	return a.Conn.Write(b)
}

func (a *accepted) handshake() error {
	a.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		if a.err = a.HandshakeContext(ctx); a.err == nil {
			return
		}
		_ = a.Close()
		a.listener.refused.Add(1)
		a.listener.logRefused.Do(func() {
			a.listener.log.Log(event.PeerRefused, zap.Stringer("peer", a.RemoteAddr()),
				zap.Uint64("refused", a.listener.Refused()), zap.Error(a.err))
		})
	})
	return a.err
}
