package call

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/socket"
)

// A connection starts with a greeting from the receiver: greetingMagic and its incarnation. It is
// followed by frames. A frame consists of a prefix with type and flags (1 byte each), reserved (2
// bytes), header length and body length (4 bytes each, big-endian), then the CBOR header and the body.
const (
	greetingMagic = "kcw1"
	greetingBytes = 12
	prefixBytes   = 12
	// copyBodyBytes is the largest body that is copied behind the header to send both in one write;
	// larger bodies are passed to writev without a copy.
	copyBodyBytes = 16 << 10
	// preallocatedBytes is the largest body for which memory is allocated on its declared length alone;
	// memory for a longer one is allocated as it arrives.
	preallocatedBytes = 1 << 20
)

type frameType uint8

const (
	frameRequest  frameType = 1
	frameResponse frameType = 2
	// frameGoAway has neither header nor body. It announces that the receiver will close the
	// connection, so that the sender starts no further call on it.
	frameGoAway frameType = 3
	// frameGrant has neither header nor body. It allows the sender to send the withheld body of its
	// request; in place of the body length it has the rate in bytes per second.
	frameGrant frameType = 4
)

// Flags in the second byte of the prefix of a request; receivers ignore those that they do not know.
const (
	// flagWithheld means that the body follows only after a frameGrant. A response in place of the
	// grant refuses the request, whose body is then not sent.
	flagWithheld = 1
	// flagRepeat is Request.Repeat.
	flagRepeat = 2
)

var goAwayFrame = []byte{byte(frameGoAway), 11: 0}

type prefix struct {
	kind             frameType
	withheld, repeat bool
	header, body     int
}

// parsePrefix checks the lengths against the limits before anything is allocated for them.
func parsePrefix(b []byte, maxBody int) (prefix, error) {
	p := prefix{
		kind: frameType(b[0]), withheld: b[1]&flagWithheld != 0, repeat: b[1]&flagRepeat != 0,
		header: int(binary.BigEndian.Uint32(b[4:])),
		body:   int(binary.BigEndian.Uint32(b[8:])),
	}
	switch {
	case p.kind == frameGrant:
		return p, nil // the body length is a rate
	case p.header > MaxHeaderBytes:
		return p, errors.Wrapf(ErrProtocol, "frame header of %d bytes", p.header)
	case p.body > maxBody:
		return p, errors.Wrapf(ErrProtocol, "frame body of %d bytes", p.body)
	}
	return p, nil
}

// codec reads and writes the frames of one connection. Its small buffers are reused from call to call.
type codec struct {
	conn net.Conn
	// in is nil on an idle connection to another daemon; see acquireReader.
	in   *bufio.Reader
	out  bytes.Buffer
	head []byte
	headerScratch
}

// newCodec returns a codec with a read buffer of the given size.
func newCodec(conn net.Conn, readBufferBytes int) codec {
	conn = socket.Wrap(conn)
	return codec{conn: conn, in: bufio.NewReaderSize(conn, readBufferBytes)}
}

// nextPrefix reads the prefix of the next frame; it blocks until the prefix has arrived.
func (c *codec) nextPrefix(maxBody int) (prefix, error) {
	b, err := c.in.Peek(prefixBytes)
	if err != nil {
		if len(b) > 0 && err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return prefix{}, err
	}
	p, err := parsePrefix(b, maxBody)
	if err != nil {
		return p, err
	}
	_, err = c.in.Discard(prefixBytes)
	return p, err
}

// readFrame reads the header and body of a frame. The header is valid until the next call of
// readFrame.
func (c *codec) readFrame(p prefix) (header, body []byte, err error) {
	if header, err = c.readHeader(p); err != nil {
		return nil, nil, err
	}
	body, err = c.readBody(p, false)
	return header, body, err
}

// readHeader reads the header of a frame. It is valid until the next call.
func (c *codec) readHeader(p prefix) ([]byte, error) {
	if cap(c.head) < p.header {
		c.head = make([]byte, p.header)
	}
	header := c.head[:p.header]
	_, err := io.ReadFull(c.in, header)
	return header, err
}

// readBody reads the body of a frame. counted means that its memory has been reserved, so that all of it
// may be allocated at once.
func (c *codec) readBody(p prefix, counted bool) ([]byte, error) {
	if p.body == 0 {
		return nil, nil
	}
	if p.body <= preallocatedBytes || counted {
		body := make([]byte, p.body)
		_, err := io.ReadFull(c.in, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(c.in, int64(p.body)))
	if err == nil && len(body) < p.body {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// beginFrame clears the output buffer and reserves space for the prefix.
func (c *codec) beginFrame() {
	c.acquireOutput()
	c.out.Reset()
	c.out.Write(make([]byte, prefixBytes))
}

// writeFrame sends the buffered header and body. complete is false if the peer cannot have received
// the whole frame.
func (c *codec) writeFrame(kind frameType, body []byte) (complete bool, err error) {
	defer c.releaseOutput()
	frame := c.out.Bytes()
	frame[0] = byte(kind)
	binary.BigEndian.PutUint32(frame[4:], uint32(len(frame)-prefixBytes))
	binary.BigEndian.PutUint32(frame[8:], uint32(len(body)))
	total := int64(len(frame) + len(body))
	var n int64
	if len(body) <= copyBodyBytes {
		c.out.Write(body)
		var written int
		written, err = c.conn.Write(c.out.Bytes())
		n = int64(written)
	} else {
		buffers := net.Buffers{frame, body}
		n, err = socket.WriteBuffers(c.conn, &buffers)
	}
	return n == total, err
}

// headerTooLarge reports whether the buffered header exceeds the limit of the peer.
func (c *codec) headerTooLarge() bool { return c.out.Len()-prefixBytes > MaxHeaderBytes }

// writeRequest sends r. complete is false if the peer cannot have received the whole request.
func (c *codec) writeRequest(r *Request) (complete bool, err error) {
	c.beginFrame()
	if err := c.encodeRequest(&c.out, r); err != nil {
		return false, err
	}
	if c.headerTooLarge() {
		return false, ErrRequestTooLarge
	}
	if r.Repeat {
		c.out.Bytes()[1] = flagRepeat
	}
	if r.WithholdBody {
		return false, c.writeWithheld(len(r.Body))
	}
	return c.writeFrame(frameRequest, r.Body)
}

// writeResponse sends r. A response over the limits is replaced by an error response with the same
// verdict.
func (c *codec) writeResponse(r *Response) error {
	c.beginFrame()
	if err := c.encodeResponse(&c.out, r); err != nil {
		return err
	}
	if c.headerTooLarge() || len(r.Body) > MaxResponseBodyBytes {
		return c.writeResponse(tooLarge(r))
	}
	_, err := c.writeFrame(frameResponse, r.Body)
	return err
}

func tooLarge(r *Response) *Response {
	return &Response{
		Attempt: r.Attempt, Verdict: r.Verdict, Draining: r.Draining, Load: r.Load,
		Reason: ErrResponseTooLarge.Error(), Status: 502,
	}
}
