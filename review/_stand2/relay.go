package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relay forwards TCP connections to a target.
type relay struct {
	target string
	// hold is how long the bytes towards the target are kept back, in nanoseconds.
	hold atomic.Int64
}

func newRelay(address, target string) *relay {
	listener, err := net.Listen("tcp", address)
	check(err)
	r := &relay{target: target}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *relay) serve(c net.Conn) {
	defer c.Close()
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	var pumps sync.WaitGroup
	pumps.Go(func() { r.pump(c, to, true) })
	pumps.Go(func() { r.pump(to, c, false) })
	pumps.Wait()
}

// pump forwards one direction. The end of a connection is forwarded behind the bytes before it.
func (r *relay) pump(from, to net.Conn, forward bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && forward {
			time.Sleep(time.Duration(r.hold.Load()))
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = half.CloseWrite()
			}
			return
		}
	}
}
