package call

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/lib/gobtypes"
	"kingcupwood.example/kingcupwood/pkg/fence"
)

// fenceService and fenceMethod are the net/rpc names of the fence service and its method.
const (
	fenceService = "Fence"
	fenceMethod  = fenceService + ".Settle"
)

// FenceArgs is the request to the daemon with Incarnation to fence an attempt.
type FenceArgs struct {
	Attempt     fence.AttemptID
	Incarnation uint64
}

// FenceReply is the response; Answer is Unknown if the daemon has another incarnation.
type FenceReply struct{ Answer fence.Answer }

// FenceService is the net/rpc service that fences attempts.
type FenceService struct {
	table       *fence.Table
	incarnation uint64
	log         *event.Logger
}

// Settle is the net/rpc method that fences an attempt and returns its state.
func (f *FenceService) Settle(args FenceArgs, reply *FenceReply) (err error) {
	defer f.log.ContainError("fence", &err)
	if args.Incarnation == f.incarnation {
		reply.Answer = f.table.Fence(args.Attempt)
	}
	return nil
}

// RegisterRPC registers the fence service with the net/rpc server of the daemon.
func (s *Server) RegisterRPC(r *rpc.Server) error {
	if err := gobtypes.Register(FenceArgs{}, FenceReply{}); err != nil {
		return err
	}
	return r.RegisterName(fenceService, &FenceService{table: s.table, incarnation: s.incarnation, log: s.log})
}

// Fence determines whether an attempt for which Do returned may have run has started, and prevents
// it from starting otherwise. addr is the address given to Do, rpcAddr that of the net/rpc listener
// of the same daemon; ctx must not be the one that ended the call. It returns Unknown if no reply
// arrives before ctx ends or if another incarnation of the daemon replies.
func (c *Client) Fence(ctx context.Context, addr, rpcAddr string, id fence.AttemptID) fence.Answer {
	c.mu.Lock()
	lost, known := c.lost.get(id)
	c.mu.Unlock()
	if !known || lost.addr != addr {
		return fence.Unknown
	}
	args := FenceArgs{Attempt: id, Incarnation: lost.incarnation}
	reply, err := c.settle(ctx, rpcAddr, args)
	if err != nil {
		c.log.Log(event.CallFenceFailed, zap.String("address", rpcAddr), zap.Stringer("attempt", id), zap.Error(err))
		return fence.Unknown
	}
	return reply.Answer
}

// settle calls the fence method and retries on a new connection if a cached one is broken. Fencing
// is idempotent.
func (c *Client) settle(ctx context.Context, rpcAddr string, args FenceArgs) (FenceReply, error) {
	for {
		conn, cached, err := c.rpcConn(ctx, rpcAddr)
		if err != nil {
			return FenceReply{}, err
		}
		reply, err := conn.settle(ctx, args)
		if err == nil {
			return reply, nil
		}
		c.dropRPC(rpcAddr, conn)
		if !cached || ctx.Err() != nil {
			return FenceReply{}, err
		}
	}
}

// rpcConn is a net/rpc connection for fences; concurrent fences to one daemon share it.
type rpcConn struct {
	client *rpc.Client
	used   time.Time // guarded by Client.mu
}

func (r *rpcConn) settle(ctx context.Context, args FenceArgs) (FenceReply, error) {
	var reply FenceReply
	pending := r.client.Go(fenceMethod, args, &reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		return reply, pending.Error
	case <-ctx.Done():
		return FenceReply{}, ctx.Err()
	}
}

func (c *Client) rpcConn(ctx context.Context, addr string) (conn *rpcConn, cached bool, err error) {
	c.mu.Lock()
	conn = c.rpcs[addr]
	if conn != nil {
		conn.used = time.Now()
		c.mu.Unlock()
		return conn, true, nil
	}
	c.mu.Unlock()
	raw, err := c.dialer(ctx, "tcp", addr)
	if err != nil {
		return nil, false, err
	}
	return c.keepRPC(addr, raw)
}

// keepRPC caches a new connection unless a concurrent call has cached one or the client is closed.
func (c *Client) keepRPC(addr string, raw net.Conn) (*rpcConn, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = raw.Close()
		return nil, false, errors.WithStack(ErrClosed)
	}
	if other := c.rpcs[addr]; other != nil {
		_ = raw.Close()
		return other, true, nil
	}
	conn := &rpcConn{client: rpc.NewClient(raw), used: time.Now()}
	c.rpcs[addr] = conn
	c.armReaper()
	return conn, false, nil
}

func (c *Client) dropRPC(addr string, conn *rpcConn) {
	c.mu.Lock()
	if c.rpcs[addr] == conn {
		delete(c.rpcs, addr)
	}
	c.mu.Unlock()
	_ = conn.client.Close()
}

// reapRPC closes the connections last used before oldest; the caller holds c.mu.
func (c *Client) reapRPC(oldest time.Time) {
	for addr, conn := range c.rpcs {
		if conn.used.Before(oldest) {
			delete(c.rpcs, addr)
			_ = conn.client.Close()
		}
	}
}

// lostAttempt is the daemon to which an attempt without a response was sent.
type lostAttempt struct {
	addr        string
	incarnation uint64
}

// lostAttempts stores a limited number of attempts and evicts the oldest first.
type lostAttempts struct {
	entries map[fence.AttemptID]lostAttempt
	order   []fence.AttemptID
	next    int
}

func newLostAttempts(limit int) lostAttempts {
	return lostAttempts{entries: map[fence.AttemptID]lostAttempt{}, order: make([]fence.AttemptID, limit)}
}

func (l *lostAttempts) add(id fence.AttemptID, entry lostAttempt) {
	if _, known := l.entries[id]; !known {
		delete(l.entries, l.order[l.next])
		l.order[l.next] = id
		l.next = (l.next + 1) % len(l.order)
	}
	l.entries[id] = entry
}

func (l *lostAttempts) get(id fence.AttemptID) (lostAttempt, bool) {
	entry, ok := l.entries[id]
	return entry, ok
}
