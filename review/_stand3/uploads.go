package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const host = "review.example"

// configuration returns a configuration with one service and its routes as a table.
func configuration(version int, service string, routes ...string) string {
	return fmt.Sprintf(`{"version":"r%d","routes":{"columns":["name","host","prefix","kind","timeoutS","targetLatencyS","priority","service","maxAttempts","weightedServices"],"rows":[%s]},`+
		`"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[["%s","/health",110,"h1",false]]},`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`, version, strings.Join(routes, ","), service)
}

func route(name, prefix, kind, service string, timeoutS, targetS float64) string {
	return fmt.Sprintf(`["%s","%s","%s","%s",%g,%g,1,"%s",2,null]`, name, host, prefix, kind, timeoutS, targetS, service)
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	stamp  string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, stamp %q, %.60q", a.status, a.stamp, a.body)
}

// send sends a request with a body in chunks on a new connection, as a client on the machine. perSecond is the rate of
// the body in bytes per second, 0 for no limit; size may be 0.
func send(m *machine, path, id string, deadline time.Duration, size, perSecond int) answer {
	conn, err := net.DialTimeout("tcp", m.ip+":"+m.outbound, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return answer{err: err}
	}
	defer conn.Close()
	began := time.Now()
	_ = conn.SetDeadline(began.Add(deadline))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nTransfer-Encoding: chunked\r\n\r\n", path, host, headerRequest, id, headerDeadline, deadline.Milliseconds())
	block := make([]byte, 64<<10)
	for sent := 0; sent < size; {
		n := min(len(block), size-sent)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", n, block[:n]); err != nil {
			break // an early answer may still be read
		}
		sent += n
		if perSecond > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(perSecond) * float64(time.Second)))))
		}
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), stamp: resp.Header.Get(headerStamp), err: err}
}

const (
	// savesKept is the number of clients that save small pages on kept connections, mediumClients that of those that
	// save pages with pictures on new ones. With the large uploads they are the 30 clients of a zone.
	savesKept, mediumClients = 16, 12
	// largeBytes is below maxBodyBytes.
	largeBytes, mediumBytes, smallBytes = 67_000_000, 250_000, 4_000
	// uploadRate is the rate of a large upload in bytes per second; two take a fifth of the link.
	uploadRate = 12 << 20
	// uploadRounds is how often the large uploads are made, and roundTime the time for each.
	uploadRounds, roundTime = 6, 7 * time.Second
)

// uploads plays a burst of clients that send large bodies in chunks, all within maxBodyBytes: two at a time where there
// is usually one.
func uploads(rec *record, trouble bool) int {
	large := 1
	if trouble {
		large = 2
	}
	w, err := newWorld(rec)
	if err != nil {
		return noRun
	}
	defer w.close()
	restartDelay = time.Second
	for _, zone := range []string{"lj-a", "lj-b", "lj-c"} {
		m := w.add(zone, "pages")
		s, err := startServer(m, "i-"+m.name, 12)
		if err != nil {
			return noRun
		}
		s.run = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
			switch r.URL.Path {
			case "/save/page":
				time.Sleep(290 * time.Millisecond)
			case "/save/pictures":
				time.Sleep(880 * time.Millisecond)
			}
			return false
		}
	}
	w.store.Put("op", "config", []byte(configuration(3, "pages", route("r-save", "/save/", "unsafe", "pages", 6, 4))))
	if !w.startAll() {
		return noRun
	}
	var all sync.WaitGroup
	var next atomic.Int64
	newID := func() string { return fmt.Sprintf("%016x", 0xa000+next.Add(1)) }
	m := w.machines[0]
	end := time.Now().Add(uploadRounds * roundTime)
	var mu sync.Mutex
	var cut []string
	for range mediumClients {
		all.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				a := send(m, "/save/pictures", id, 6*time.Second, mediumBytes, 0)
				rec.quiet("%s on a new connection, %d bytes in chunks: %s", id, mediumBytes, a)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for range savesKept {
		all.Go(func() {
			c := &client{m: m}
			defer c.close()
			for time.Now().Before(end) {
				id, kept := newID(), c.conn != nil
				a := c.send("POST", "/save/page", id, 2*time.Second, smallBytes)
				rec.quiet("%s on a kept connection (%t), %d bytes: %s", id, kept, smallBytes, a)
				if kept && a.err != nil && !a.timedOut() {
					mu.Lock()
					cut = append(cut, id)
					mu.Unlock()
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for round := range uploadRounds {
		for range large {
			all.Go(func() {
				id := newID()
				a := send(m, "/save/upload", id, 6*time.Second, largeBytes, uploadRate)
				rec.add("round %d, %s on a new connection, %d bytes in chunks: %s", round+1, id, largeBytes, a)
			})
		}
		time.Sleep(roundTime)
	}
	all.Wait()
	lost := 0
	for _, id := range cut {
		if w.ran(id) > 0 {
			lost++
			rec.add("%s was passed on to a server and ran, and its kept connection was closed without an answer", id)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	rec.add("the daemon had at most %.0f MiB of memory and was ended for it %d times; %d requests of kept connections ran and got no answer", m.peakMB, m.killed, lost)
	if lost > 3 {
		return broken
	}
	return held
}

// startAll starts all daemons and waits until they are ready and know each other.
func (w *world) startAll() bool {
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			w.rec.add("%v", err)
			return false
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		w.rec.add("%v", err)
		return false
	}
	time.Sleep(4 * time.Second)
	return true
}

// ran returns how often a request has run.
func (w *world) ran(id string) int {
	n := 0
	for _, m := range w.machines {
		if m.srv != nil {
			n += m.srv.ran(id)
		}
	}
	return n
}

// client is a client that keeps its connection.
type client struct {
	m    *machine
	conn net.Conn
	// extra holds further header lines.
	extra string
	in    *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// timedOut reports whether the client itself gave up.
func (a answer) timedOut() bool {
	var timeout net.Error
	return errors.As(a.err, &timeout) && timeout.Timeout()
}

// send sends a request with a body of the given size on the kept connection, or on a new one if there is none.
func (c *client) send(method, path, id string, deadline time.Duration, size int) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.m.ip+":"+c.m.outbound, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			return answer{err: err}
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n%s\r\n", method, path, host, headerRequest, id, headerDeadline, deadline.Milliseconds(), size, c.extra)
	if _, err := c.conn.Write(append([]byte(head), make([]byte, size)...)); err != nil {
		c.close()
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return answer{status: resp.StatusCode, body: string(body), stamp: resp.Header.Get(headerStamp), err: err}
}
