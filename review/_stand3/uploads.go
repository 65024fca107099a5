package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
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

// send sends a request on a new connection, as a client on the machine.
func send(m *machine, method, path, id string, deadline time.Duration, size int, chunked bool) answer {
	conn, err := net.DialTimeout("tcp", m.ip+":"+m.outbound, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	out := bufio.NewWriterSize(conn, 64<<10)
	fmt.Fprintf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, headerRequest, id, headerDeadline, deadline.Milliseconds())
	block := make([]byte, 32<<10)
	switch {
	case size == 0:
		fmt.Fprint(out, "\r\n")
	case chunked:
		fmt.Fprint(out, "Transfer-Encoding: chunked\r\n\r\n")
		for left := size; left > 0; {
			n := min(left, len(block))
			fmt.Fprintf(out, "%x\r\n", n)
			_, _ = out.Write(block[:n])
			fmt.Fprint(out, "\r\n")
			left -= n
		}
		fmt.Fprint(out, "0\r\n\r\n")
	default:
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n", size)
		for left := size; left > 0; {
			n := min(left, len(block))
			_, _ = out.Write(block[:n])
			left -= n
		}
	}
	_ = out.Flush() // an early answer may still be read after an error
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), stamp: resp.Header.Get(headerStamp), err: err}
}

const (
	// savesKept is the number of clients of a machine that save small pages on kept connections.
	savesKept = 16
	// largeBytes is below maxBodyBytes, mediumBytes is that of a page with pictures.
	largeBytes, mediumBytes, smallBytes = 63_200_000, 250_000, 4_000
	// uploadTime is how long the clients go on.
	uploadTime = 25 * time.Second
)

// uploads plays a burst of clients whose bodies are all within maxBodyBytes: usualLarge and usualMedium clients
// upload at each of two machines, and 2 and 2.5 times as many in the burst.
func uploads(rec *record, trouble bool) int {
	const usualLarge, usualMedium = 1, 120
	large, medium := usualLarge, usualMedium
	if trouble {
		large, medium = 2*usualLarge, usualMedium*5/2
	}
	w, err := newWorld(rec)
	if err != nil {
		return noRun
	}
	defer w.close()
	for _, zone := range []string{"lj-a", "lj-b", "lj-c"} {
		m := w.add(zone, "pages")
		s, err := startServer(m, "i-"+m.name, 12)
		if err != nil {
			return noRun
		}
		s.run = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
			if r.URL.Path == "/save/page" {
				time.Sleep(290 * time.Millisecond)
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
	end := time.Now().Add(uploadTime)
	var mu sync.Mutex
	cut := map[string]*machine{}
	totals := tally{}
	for _, m := range w.machines[:2] {
		upload := func(size int, pause time.Duration) {
			for time.Now().Before(end) {
				id := fmt.Sprintf("%016x", 0xa000+next.Add(1))
				totals.add(m, size, send(m, "POST", "/save/upload", id, 6*time.Second, size, true))
				time.Sleep(pause)
			}
		}
		for range large {
			all.Go(func() { upload(largeBytes, 0) })
		}
		for range medium {
			all.Go(func() { upload(mediumBytes, 200*time.Millisecond) })
		}
		for range savesKept {
			all.Go(func() {
				c := &client{m: m}
				defer c.close()
				for time.Now().Before(end) {
					id := fmt.Sprintf("%016x", 0xa000+next.Add(1))
					kept := c.conn != nil
					a := c.send("POST", "/save/page", id, 2*time.Second, smallBytes)
					totals.add(m, smallBytes, a)
					if kept && a.err != nil && !a.timedOut() {
						mu.Lock()
						cut[id] = m
						mu.Unlock()
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	all.Wait()
	time.Sleep(time.Second)
	lost := map[*machine]int{}
	for id, m := range cut {
		if w.ran(id) > 0 {
			lost[m]++
			rec.quiet("%s was passed on to a server and ran, and its connection was closed by %s without an answer", id, m.name)
		}
	}
	totals.write(rec)
	code := held
	for _, m := range w.machines {
		m.mu.Lock()
		rec.add("%s: at most %.0f MiB of memory of its own, ended for it %d times; %d requests of kept connections ran and got no answer", m.name, m.peakMB, m.killed, lost[m])
		m.mu.Unlock()
		if lost[m] > 3 {
			code = broken
		}
	}
	return code
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

// tally counts answers by machine, size of the request and outcome.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(m *machine, size int, a answer) {
	outcome := fmt.Sprintf("status %d", a.status)
	switch {
	case a.timedOut():
		outcome = "no answer in time"
	case a.err != nil:
		outcome = "no connection, or closed without a complete answer"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[fmt.Sprintf("%s: sent with %d bytes: %s", m.name, size, outcome)]++
}

func (t *tally) write(rec *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(t.counts)) {
		rec.quiet("%s: %d", key, t.counts[key])
	}
}
