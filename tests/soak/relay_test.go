package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relay passes TCP connections on to a target and harms them on demand. The zero values of its switches
// pass everything.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]struct{}
	// refuse resets new connections, cut silences new ones in the given directions.
	refuse bool
	cut    directions
	delay  atomic.Int64 // nanoseconds
}

// directions selects the two directions of a connection: towards the target and back.
type directions [2]bool

var bothDirections = directions{true, true}

// link is one relayed connection. A silent direction swallows what is sent, as nothing can be sent again
// in a stream of which a part is lost.
type link struct {
	ends   [2]net.Conn
	silent [2]atomic.Bool
}

// newRelay listens on address and passes connections on to target.
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
	for dir, silent := range cut {
		l.silent[dir].Store(silent)
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

// pump passes the bytes of one direction on until the connection ends. The end does not pass a silent
// direction.
func (r *relay) pump(l *link, dir int) {
	from, to := l.ends[dir], l.ends[1-dir]
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.silent[dir].Load() {
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
		_ = tcp.SetLinger(0) // a close without a reset serves as well
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

// silence silences the open connections for good; new ones work.
func (r *relay) silence(dirs directions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		for dir, silent := range dirs {
			if silent {
				l.silent[dir].Store(true)
			}
		}
	}
}

// setCut silences the open and the new connections in dirs; without any, new connections work again.
func (r *relay) setCut(dirs directions) {
	r.mu.Lock()
	r.cut = dirs
	r.mu.Unlock()
	r.silence(dirs)
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
