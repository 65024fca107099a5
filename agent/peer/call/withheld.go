package call

import (
	"context"
	"encoding/binary"
	"io"
	"math"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
	"kingcupwood.example/kingcupwood/pkg/transfer"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// MinWithheldBytes is the size from which a body should be withheld until the receiver grants it.
// Smaller ones cost less time on a link than the round trip for the grant.
const MinWithheldBytes = 16 << 10

// unlimitedRate is the rate, in bytes per second, of a grant without a limit.
const unlimitedRate = math.MaxUint32

// grantSlack extends the time within which a granted body must arrive, relative to its rate.
const grantSlack = 4

// writeWithheld sends the buffered header of a request with a body of the given size, but not the
// body.
func (c *codec) writeWithheld(body int) error {
	frame := c.out.Bytes()
	frame[0] = byte(frameRequest)
	frame[1] |= flagWithheld
	binary.BigEndian.PutUint32(frame[4:], uint32(len(frame)-prefixBytes))
	binary.BigEndian.PutUint32(frame[8:], uint32(body))
	_, err := c.conn.Write(frame)
	return err
}

func (c *codec) writeGrant(bytesPerSecond int) error {
	frame := [prefixBytes]byte{byte(frameGrant)}
	binary.BigEndian.PutUint32(frame[8:], uint32(min(bytesPerSecond, unlimitedRate)))
	_, err := c.conn.Write(frame[:])
	return err
}

// send sends r. A response is the refusal of a withheld body. complete is false if the peer cannot
// have received the whole request.
func (c *clientConn) send(ctx context.Context, r *Request) (refused *Response, complete bool, err error) {
	complete, err = c.codec.writeRequest(r)
	if err != nil || !r.WithholdBody {
		return nil, complete, err
	}
	p, err := c.nextPrefix()
	if err != nil {
		return nil, false, err
	}
	if p.kind == frameGrant {
		err = c.writeGranted(ctx, r.Body, p.body)
		return nil, err == nil, err
	}
	refused, err = c.readResponseFrame(p, r.Memory)
	return refused, false, err
}

// writeGranted sends a withheld body at the granted rate.
func (c *clientConn) writeGranted(ctx context.Context, body []byte, bytesPerSecond int) error {
	pacer := transfer.NewPacer(bytesPerSecond, time.Now())
	for len(body) > 0 {
		n, wait := pacer.Next(len(body), time.Now())
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		if _, err := c.codec.conn.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readWithheld grants and reads the withheld body of r, or returns the refusal of r. The time that
// this takes is subtracted from the remaining time of r.
func (c *serverConn) readWithheld(r *Request, p prefix, admit admitBody) (*Response, error) {
	began := time.Now()
	if err := r.Memory.Grow(p.body); err != nil {
		return refuseBody(r, err), nil
	}
	bytesPerSecond, refused := admit(r, p.body)
	if refused != nil {
		return refused, nil
	}
	if !c.check.OK() {
		return nil, errAbandoned
	}
	if err := c.codec.writeGrant(bytesPerSecond); err != nil {
		return nil, err
	}
	allowed := grantSlack * time.Duration(float64(p.body)/float64(max(bytesPerSecond, 1))*float64(time.Second))
	if err := c.codec.conn.SetReadDeadline(time.Now().Add(max(allowed, frameTimeout))); err != nil {
		return nil, err
	}
	body, err := c.codec.readBody(p, r.Memory != nil)
	if err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, errors.Wrap(err, "receive granted body")
	}
	if !c.check.OK() {
		return nil, errAbandoned
	}
	r.Body = body
	elapsed := time.Since(began)
	r.Timeout = max(r.Timeout-elapsed, time.Microsecond)
	r.TimeToTarget -= elapsed
	return nil, nil
}

// refuseBody returns the response to a request for whose body there is no memory.
func refuseBody(r *Request, err error) *Response {
	resp := ErrorResponse(r.Attempt, verdict.Wrap(verdict.NotRun, err))
	resp.RetryAfter = bodymemory.RetryAfter
	return resp
}

// admitBody passes a withheld body to the handler. The wait ends when the sender disconnects.
func (s *Server) admitBody(c *serverConn, r *Request, bytes int) (int, *Response) {
	ctx, cancel := context.WithTimeout(s.base, r.Timeout)
	defer cancel()
	c.beginRun(cancel)
	defer c.endRun()
	admitter, ok := s.handler.(BodyAdmitter)
	if !ok {
		return unlimitedRate, nil
	}
	rate, refused := s.askAdmitter(ctx, admitter, r, bytes)
	if refused != nil {
		refused.Attempt = r.Attempt
	}
	return rate, refused
}

// askAdmitter passes r to admitter. If it panics, r is refused; without its body it cannot have run.
func (s *Server) askAdmitter(ctx context.Context, admitter BodyAdmitter, r *Request, bytes int) (rate int, refused *Response) {
	defer s.log.ContainPanic("body", func() {
		refused = ErrorResponse(r.Attempt, verdict.Wrap(verdict.NotRun, event.ErrPanic))
	})
	return admitter.AdmitBody(ctx, r, bytes)
}
