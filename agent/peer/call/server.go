package call

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	// maxServerConns limits the connections and thereby the goroutines of the server. Further
	// connections are closed before the greeting, so that the sender reports its call as not run.
	maxServerConns = 4096
	// acceptBackoff is the delay after a failed accept, for example at the limit of open files.
	acceptBackoff = 10 * time.Millisecond
)

// Server receives calls from other daemons.
type Server struct {
	handler     Handler
	incarnation uint64
	log         *event.Logger
	table       *fence.Table
	base        context.Context
	cancel      context.CancelFunc
	// Memory bounds the bodies of calls in progress; nil means no bound. It is set before Serve.
	Memory *bodymemory.Budget

	mu        sync.Mutex
	draining  bool
	listeners map[net.Listener]struct{}
	conns     map[*serverConn]struct{}
	running   sync.WaitGroup
	watching  bool
}

// NewServer returns a Server for the daemon with the given incarnation.
func NewServer(h Handler, incarnation uint64, log *event.Logger) *Server {
	base, cancel := context.WithCancel(context.Background())
	return &Server{
		handler: h, incarnation: incarnation, log: log,
		table: fence.NewTable(fence.DefaultLimit), base: base, cancel: cancel,
		listeners: map[net.Listener]struct{}{}, conns: map[*serverConn]struct{}{},
	}
}

// Table returns the attempts that the server has received.
func (s *Server) Table() *fence.Table { return s.table }

// Serve accepts connections until the listener fails or Shutdown is called. It returns ErrClosed
// after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners[l] = struct{}{}
	draining := s.draining
	s.mu.Unlock()
	if draining {
		_ = l.Close()
		return ErrClosed
	}
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			s.admit(conn)
		case s.isDraining():
			return ErrClosed
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptBackoff)
		}
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) admit(conn net.Conn) {
	c := newServerConn(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.conns) >= maxServerConns {
		_ = conn.Close()
		if !s.draining {
			s.log.Log(event.CallConnLimit, zap.Stringer("peer", conn.RemoteAddr()))
		}
		return
	}
	s.conns[c] = struct{}{}
	s.startDisconnectWatch()
	s.running.Add(1)
	go s.serveConn(c)
}

func (s *Server) serveConn(c *serverConn) {
	defer s.running.Done()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.codec.conn.Close()
	}()
	if err := c.greet(s.incarnation); err != nil || !c.endCall() {
		return
	}
	for s.serveCall(c) {
	}
}

// serveCall serves one call and reports whether the connection can be used for another one.
func (s *Server) serveCall(c *serverConn) bool {
	r, resp, err := c.readRequest(s.Memory, func(r *Request, bytes int) (int, *Response) { return s.admitBody(c, r, bytes) })
	if r != nil {
		defer r.Memory.Release()
	}
	if err != nil {
		s.logReadError(c, err)
		return false
	}
	r.table = s.table
	if resp == nil {
		resp = s.serve(c, r)
	}
	if err := c.writeResponse(resp); err != nil {
		s.log.Log(event.CallResponseLost, zap.Stringer("attempt", r.Attempt), zap.Error(err))
		return false
	}
	return c.endCall()
}

func (s *Server) logReadError(c *serverConn, err error) {
	if errors.Is(err, ErrProtocol) || errors.Is(err, io.ErrUnexpectedEOF) {
		s.log.Log(event.CallConnRejected, zap.Stringer("peer", c.codec.conn.RemoteAddr()), zap.Error(err))
	}
}

// serve passes one attempt to the handler.
func (s *Server) serve(c *serverConn, r *Request) *Response {
	ctx, cancel := context.WithTimeout(s.base, r.Timeout)
	defer cancel()
	if !s.table.Arrive(r.Attempt, cancel) {
		return s.refuseAttempt(r.Attempt)
	}
	defer s.table.Finish(r.Attempt)
	c.beginRun(func() { s.cancelAbandoned(r, cancel) })
	defer c.endRun()
	resp := s.handle(ctx, r)
	if resp == nil {
		resp = ErrorResponse(r.Attempt, errors.New("handler gave no response"))
	}
	resp.Attempt = r.Attempt
	return resp
}

// handle passes r to the handler. If the handler panics, there is no response, and r may have run.
func (s *Server) handle(ctx context.Context, r *Request) (resp *Response) {
	defer s.log.ContainPanic("call", nil)
	return s.handler.ServeCall(ctx, r)
}

// refuseAttempt returns the response to an attempt that must not run. Only an attempt that was
// fenced before it started is reported as not run; the first delivery of a duplicate may have run.
func (s *Server) refuseAttempt(id fence.AttemptID) *Response {
	answer := s.table.Lookup(id)
	s.log.Log(event.CallAttemptRefused, zap.Stringer("attempt", id), zap.Stringer("answer", answer))
	v := verdict.MayHaveRun
	if answer == fence.NeverWillRun {
		v = verdict.NotRun
	}
	return ErrorResponse(id, verdict.Wrap(v, errors.New("attempt is fenced or a duplicate")))
}

// Shutdown stops accepting connections, sends go-away frames on the open ones and waits until the
// calls in flight have finished. If ctx ends first, it closes their connections and returns the
// error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	for l := range s.listeners {
		_ = l.Close()
	}
	open := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.drain()
	}
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	defer s.cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.cancel()
		for _, c := range open {
			_ = c.codec.conn.Close()
		}
		<-done
		return ctx.Err()
	}
}
