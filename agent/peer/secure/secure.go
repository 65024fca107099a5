// Package secure authenticates and encrypts the TCP connections between daemons with mutual TLS
// 1.3.
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
	// handshakeTimeout bounds the time for which an unauthenticated connection uses resources.
	handshakeTimeout = 5 * time.Second
	// rejectLogInterval is the minimum interval between log events about rejected connections.
	rejectLogInterval = 10 * time.Second
)

// Credentials provides the TLS configurations with the current certificates; it is queried for each
// new connection.
type Credentials interface {
	Server() *tls.Config
	Client(ip string) *tls.Config
}

// DialFunc opens a connection; it has the signature of net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a function that opens TLS connections over dial. The certificate of the peer must
// contain the dialed IP address. If the peer rejects the certificate of this daemon, only the first
// read returns the error.
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

// conn is a TLS connection that is closed without a close_notify alert: writing the alert to an
// unresponsive peer could block the caller for seconds, and the protocols between daemons detect
// truncated messages.
type conn struct {
	*tls.Conn
	raw net.Conn
}

// Close implements net.Conn.
func (c *conn) Close() error { return c.raw.Close() }

// SyscallConn implements syscall.Conn for checks of idle connections. TLS records received on an
// idle connection, such as alerts, appear there as data.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.raw.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.New("connection has no file descriptor")
}

// Listener accepts connections that perform the handshake with their first read or write, in the
// goroutine that serves them.
type Listener struct {
	net.Listener
	credentials Credentials
	log         *event.Logger
	rejectLog   rate.Sometimes
	refused     atomic.Uint64
}

// NewListener returns a Listener over l.
func NewListener(l net.Listener, c Credentials, log *event.Logger) *Listener {
	return &Listener{Listener: l, credentials: c, log: log, rejectLog: rate.Sometimes{Interval: rejectLogInterval}}
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

// accepted is an accepted connection. Until its handshake has completed, the peer may be any host.
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
		a.listener.rejectLog.Do(func() {
			a.listener.log.Log(event.PeerRefused, zap.Stringer("peer", a.RemoteAddr()),
				zap.Uint64("refused", a.listener.Refused()), zap.Error(a.err))
		})
	})
	return a.err
}
