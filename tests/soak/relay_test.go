package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relay forwards TCP connections to a target and injects faults on demand. With the zero values of
// its switches it forwards everything.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]struct{}
	// refuse resets new connections, cut drops the data of new ones in the given directions.
	refuse bool
	cut    directions
	delay  atomic.Int64 // nanoseconds
}

// directions selects the two directions of a connection: towards the target and back.
type directions [2]bool

var bothDirections = directions{true, true}

// link is one relayed connection. Data in a direction whose drop is set is discarded until the
// connection ends, because a stream cannot continue after a part of it is lost.
type link struct {
	ends [2]net.Conn
	drop [2]atomic.Bool
}

// newRelay listens on address and forwards connections to target.
func newRelay(address, target string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, links: map[*link]struct{}{}}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(conn net.Conn) {
	r.mu.Lock()
	refuse, cut := r.refuse, r.cut
	r.mu.Unlock()
	if refuse {
		reset(conn)
		return
	}
	server, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	l := &link{ends: [2]net.Conn{conn, server}}
	for dir, drop := range cut {
		l.drop[dir].Store(drop)
	}
	r.mu.Lock()
	r.links[l] = struct{}{}
	r.mu.Unlock()
	var pumps sync.WaitGroup
	for dir := range l.ends {
		pumps.Go(func() { r.pump(l, dir) })
	}
	pumps.Wait()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// pump forwards the bytes of one direction until the connection ends. If the direction drops data,
// the end of the connection is not forwarded either.
func (r *relay) pump(l *link, dir int) {
	from, to := l.ends[dir], l.ends[1-dir]
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.drop[dir].Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			time.Sleep(time.Duration(r.delay.Load()))
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// reset closes conn so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection closes normally, which is good enough
	}
	_ = conn.Close()
}

// resetAll resets the open connections.
func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		for _, conn := range l.ends {
			reset(conn)
		}
	}
}

// dropData drops all further data of the open connections in dirs; new connections work.
func (r *relay) dropData(dirs directions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		for dir, drop := range dirs {
			if drop {
				l.drop[dir].Store(true)
			}
		}
	}
}

// setCut drops the data of open and new connections in dirs; with none set, new connections work
// again.
func (r *relay) setCut(dirs directions) {
	r.mu.Lock()
	r.cut = dirs
	r.mu.Unlock()
	r.dropData(dirs)
}

func (r *relay) setRefuse(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = refuse
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.resetAll()
}
