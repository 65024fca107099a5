// Command harness plays one case of the review: it starts daemons as processes with the run line and
// the template of deploy/, and has stand-ins for the platform's store, the servers and the clients.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kingcupwood.example/kingcupwood/platform/standin"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// memoryMB is limits.memoryMb of the site file.
const memoryMB = 284

// world is a small deployment on loopback.
type world struct {
	dir       string // of the settings and logs
	record    *os.File
	began     time.Time
	mu        sync.Mutex // guards record
	store     *standin.Store
	storeAddr string
	prefix    string // first three bytes of the machines' addresses
	machines  []*machine
	ids       atomic.Int64
	requests  sync.Map // id to *request
	jobs      sync.WaitGroup
	http      *http.Client
}

func newWorld(recordPath string) *world {
	record, err := os.Create(recordPath)
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	pid := os.Getpid()
	w := &world{
		dir: dir, record: record, began: time.Now(), store: &standin.Store{},
		prefix: fmt.Sprintf("127.%d.%d", 20+pid/250%200, pid%250),
		http:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	return w
}

// cannot ends a case that cannot run.
type cannot struct{ err error }

func check(err error) {
	if err != nil {
		panic(cannot{err})
	}
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case has started.
func (w *world) close() {
	w.jobs.Wait()
	for _, m := range w.machines {
		m.kill()
	}
	w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// route is a row of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeoutS, targetS           float64
	priority                    int
}

const host = "wiki.example"

// configure writes the configuration as the operator does.
func (w *world) configure(version int, services []string, routes []route) {
	var rows, list [][]any
	for _, r := range routes {
		rows = append(rows, []any{r.name, host, r.prefix, r.kind, r.timeoutS, r.targetS, r.priority, r.service, 2, nil})
	}
	for _, s := range services {
		list = append(list, []any{s, "/health", 110, "h1", false})
	}
	data, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "service", "maxAttempts", "weightedServices"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConnections", "protocol", "tls"}, "rows": list},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	check(err)
	w.store.Put("op", "config", data)
	w.logf("operator: configuration r%d confirmed", version)
}

// machine is one machine with a daemon and its server.
type machine struct {
	w                        *world
	name, zone, service      string
	ip                       string
	settings                 string
	fields                   map[string]string
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	killed                   bool
	ended                    chan struct{} // closed when the daemon has ended
	server                   *server
	outbound, control, ready string
	// pool holds the kept connections of the clients on the machine.
	pool *http.Client
	// kills counts the ends for memory over the limit.
	kills int
	// peakMB is the largest resident size of the daemon.
	peakMB atomic.Int64
}

// addMachine writes the settings of a machine; nothing is started.
func (w *world) addMachine(name, zone, service string) *machine {
	n := len(w.machines) + 1
	m := &machine{w: w, name: name, zone: zone, service: service, ip: fmt.Sprintf("%s.%d", w.prefix, n),
		pool: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
	last := 7000 // below the ports that the kernel gives to outgoing connections
	port := func() string {
		for {
			last++
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, last))
			if err == nil {
				_ = l.Close()
				return strconv.Itoa(last)
			}
			if last > 8000 {
				check(err)
			}
		}
	}
	m.outbound, m.control, m.ready = m.ip+":"+port(), m.ip+":"+port(), m.ip+":"+port()
	m.fields = map[string]string{
		"node": name, "zone": zone, "limits.linkMbps": "1000.0", "ip": m.ip, "service": service,
		"listen.outbound": m.outbound, "listen.control": m.control, "listen.ready": m.ready, "listen.inbound": m.ip + ":" + port(),
		"portRange.0": port(), "portRange.1": port(),
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "58", "bounds.budgetWindowS": "10", "bounds.configApplyS": "2",
		"platform.address": w.storeAddr,
	}
	template, err := os.ReadFile("deploy/daemon.ini")
	check(err)
	text, err := fleet.RenderTemplate(string(template), m.fields)
	check(err)
	m.settings = filepath.Join(w.dir, name+".ini")
	check(os.WriteFile(m.settings, []byte(text), 0o600))
	w.machines = append(w.machines, m)
	return m
}

// runLine returns the command of the deploy file.
func runLine() []string {
	data, err := os.ReadFile("deploy/system.toml")
	check(err)
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	check(fmt.Errorf("deploy/system.toml has no run line"))
	return nil
}

// start starts the daemon with the command of the deploy file, whose settings path is that of m.
func (m *machine) start() {
	words := runLine()
	for i, word := range words {
		if word == "/etc/kingcupwood/node.conf" {
			words[i] = m.settings
		}
	}
	logFile, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPWOOD_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	check(cmd.Start())
	_ = logFile.Close()
	m.mu.Lock()
	ended := make(chan struct{})
	m.cmd, m.killed, m.ended = cmd, false, ended
	m.mu.Unlock()
	m.w.logf("%s: daemon started, pid %d", m.name, cmd.Process.Pid)
	go func() {
		defer close(ended)
		err := cmd.Wait()
		m.mu.Lock()
		own := !m.killed
		m.mu.Unlock()
		if own {
			m.w.logf("%s: daemon ENDED BY ITSELF: %v", m.name, err)
		}
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		if s == syscall.SIGKILL || s == syscall.SIGTERM {
			m.killed = true
		}
		_ = m.cmd.Process.Signal(s)
	}
}

// stopAndStart sends SIGTERM, and SIGKILL after grace, and starts the daemon again when it has ended.
func (m *machine) stopAndStart(grace time.Duration) {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	m.w.logf("%s: SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	m.w.jobs.Go(func() {
		select {
		case <-ended:
			m.w.logf("%s: daemon has ended", m.name)
		case <-time.After(grace):
			m.kill()
			<-ended
		}
		m.start()
	})
}

func (m *machine) kill() { m.signal(syscall.SIGKILL) }

// guardMemory does what the platform does: it kills a process that exceeds memoryMb and starts it again
// after a short delay. Resident memory is counted, without the bytes that wait in sockets.
func (m *machine) guardMemory(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		pid := m.cmd.Process.Pid
		m.mu.Unlock()
		mb := residentMB(pid)
		m.peakMB.Store(max(m.peakMB.Load(), mb))
		if mb <= memoryMB {
			continue
		}
		m.kills++
		m.w.logf("%s: daemon pid %d has %d MiB, over the %d MiB of memoryMb, and is killed", m.name, pid, mb, memoryMB)
		m.kill()
		time.Sleep(time.Second)
		if ctx.Err() == nil {
			m.start()
		}
	}
}

func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb / 1024
		}
	}
	return 0
}

// isReady asks as the platform does.
func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/v1/readiness", nil)
	resp, err := m.w.http.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady(limit time.Duration, machines ...*machine) {
	end := time.Now().Add(limit)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(end) {
				check(fmt.Errorf("%s is not ready", m.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// request is one client attempt.
type request struct {
	id, method, path string
	kept             bool // send it on a kept connection of the machine's clients, if there is one
	body             io.Reader
	size             int64
	deadline         time.Duration

	sent            time.Time
	reused          bool // sent on a connection that has served a request
	status          int  // 0: the connection ended without an answer
	ended           bool // the connection ended without an answer
	stamp           string
	bytes           int
	mu              sync.Mutex
	runs            []string
	ranAt, brokenAt time.Time // of the last run
}

func (w *world) newRequest(method, path string, deadline time.Duration) *request {
	r := &request{id: fmt.Sprintf("%016x", 0x1000+w.ids.Add(1)), method: method, path: path, deadline: deadline}
	w.requests.Store(r.id, r)
	return r
}

// send sends r to the daemon of m as a client on its machine and waits for the answer.
func (w *world) send(m *machine, r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+m.outbound+r.path, r.body)
	check(err)
	if r.size > 0 {
		req.ContentLength = r.size
	}
	req.Host = host
	req.Header.Set("Kingcupwood-Request-Id", r.id)
	req.Header.Set("Kingcupwood-Request-Deadline", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	client := w.http
	if r.kept {
		client = m.pool
		req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { r.reused = info.Reused }}))
		req.GetBody = nil // no repeat by the client library
	}
	r.sent = time.Now()
	w.logf("client: sent %s %s %s to %s", r.id, r.method, r.path, m.name)
	resp, err := client.Do(req)
	if err != nil {
		r.ended = ctx.Err() == nil // the daemon has ended the connection
		w.logf("client: %s has no answer: %v", r.id, err)
		return
	}
	n, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		w.logf("client: %s has a broken answer: %v", r.id, err)
		return
	}
	r.status, r.stamp, r.bytes = resp.StatusCode, resp.Header.Get("Kingcupwood-Server-Stamp"), int(n)
	w.logf("client: %s answered %d stamp=%q bytes=%d", r.id, r.status, r.stamp, r.bytes)
}
