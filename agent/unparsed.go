package agent

import (
	"bytes"
	"expvar"
	"net"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
)

const (
	// parserErrorPrefix begins each response with a status from 400 to 499; the status has statusBytes
	// bytes from statusOffset on.
	parserErrorPrefix = "HTTP/1.1 4"
	statusOffset      = len("HTTP/1.1 ")
	statusBytes       = 3
	// dateHeader is in every response of a handler. The server writes its own responses to requests
	// that it cannot parse without a Date.
	dateHeader = "\r\nDate: "
	// maxParserErrorBytes limits the text of such a response in a log line.
	maxParserErrorBytes = 200
)

// unparsedRequests counts and logs the requests of callers that the HTTP server rejects before its
// handler sees them.
type unparsedRequests struct {
	log *event.Logger
	// statuses counts them by status.
	statuses expvar.Map
}

// observe checks whether the server is sending a response of its own to conn.
func (u *unparsedRequests) observe(conn net.Conn, response []byte) {
	if !bytes.HasPrefix(response, []byte(parserErrorPrefix)) || len(response) < statusOffset+statusBytes {
		return
	}
	header, text, _ := bytes.Cut(response, []byte("\r\n\r\n"))
	if bytes.Contains(header, []byte(dateHeader)) {
		return
	}
	status := string(response[statusOffset : statusOffset+statusBytes])
	u.statuses.Add(status, 1)
	u.log.LogRejection(event.RequestUnparsed, func() []zap.Field {
		return []zap.Field{
			zap.String("status", status), zap.ByteString("error", text[:min(len(text), maxParserErrorBytes)]),
			zap.Stringer("remote", conn.RemoteAddr()), zap.Stringer("local", conn.LocalAddr()),
		}
	})
}

// observedListener accepts connections of callers on which unparsed requests are observed.
type observedListener struct {
	net.Listener
	unparsed *unparsedRequests
}

// Accept implements net.Listener.
func (l observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &observedConn{conn, l.unparsed}, nil
}

// observedConn is a connection of a caller.
type observedConn struct {
	net.Conn
	unparsed *unparsedRequests
}

// Write implements net.Conn.
func (c *observedConn) Write(p []byte) (int, error) {
	c.unparsed.observe(c.Conn, p)
	return c.Conn.Write(p)
}
