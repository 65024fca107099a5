package backend

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/socket"
	"kingcupwood.example/kingcupwood/pkg/dialect"
)

// copyBodyBytes is the largest body that is copied behind the header to send both in one write.
const copyBodyBytes = 16 << 10

// checkRequest rejects requests that would break the framing of HTTP/1.1.
func checkRequest(r *call.Request) error {
	if !isToken(r.Method) || r.Method == http.MethodConnect {
		return errors.Wrapf(ErrInvalidRequest, "method %q", r.Method)
	}
	if !strings.HasPrefix(r.Target, "/") || !isVisible(r.Target) {
		return errors.Wrapf(ErrInvalidRequest, "target %q", r.Target)
	}
	if !isVisible(r.Host) {
		return errors.Wrapf(ErrInvalidRequest, "host %q", r.Host)
	}
	for name, values := range r.Header {
		if !isToken(name) {
			return errors.Wrapf(ErrInvalidRequest, "header name %q", name)
		}
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n\x00") {
				return errors.Wrapf(ErrInvalidRequest, "value of header %q", name)
			}
		}
	}
	return nil
}

// isVisible reports whether s contains neither spaces nor control characters.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether s is a token as defined by RFC 9110.
func isToken(s string) bool {
	for i := range len(s) {
		b := s[i]
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return s != ""
}

// appendRequest appends the HTTP/1.1 head of r with the headers of the dialect d. timeLeft is sent
// as at least 1 ms. server is the ID of the backend server that is expected to process r, empty if
// unknown.
func appendRequest(b []byte, r *call.Request, d *dialect.Dialect, server string, timeLeft time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", r.Host)
	connectionOptions := call.ConnectionOptions(r.Header)
	for name, values := range r.Header {
		canonical := http.CanonicalHeaderKey(name)
		if call.IsHopHeader(canonical) || connectionOptions[canonical] || canonical == "Content-Length" {
			continue
		}
		for _, value := range values {
			b = appendHeader(b, name, value)
		}
	}
	b = appendDialectHeader(b, d.TimeLeft, strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
	b = appendDialectHeader(b, d.Depth, strconv.Itoa(r.Depth))
	b = appendDialectHeader(b, d.Attempt, r.Attempt.String())
	b = appendDialectHeader(b, d.Expect, server)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = appendNumber(b, "Content-Length", int64(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// appendDialectHeader appends a header of the dialect unless the dialect does not define it, that
// is, name is empty, or value is empty.
func appendDialectHeader(b []byte, name, value string) []byte {
	if name == "" || value == "" {
		return b
	}
	return appendHeader(b, name, value)
}

func appendNumber(b []byte, name string, value int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, value, 10)
	return append(b, "\r\n"...)
}

// write sends the head in c.out and the body, in one system call where possible. It returns the
// number of bytes sent.
func (c *conn) write(body []byte) (int64, error) {
	if len(body) <= copyBodyBytes {
		c.out = append(c.out, body...)
		n, err := c.Write(c.out)
		return int64(n), err
	}
	buffers := net.Buffers{c.out, body}
	return socket.WriteBuffers(c.Conn, &buffers)
}
