package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"kingcupwood.example/kingcupwood/platform/standin"
)

// memoryLimitMB is limits.memoryMb of the settings on the pages; a process that exceeds it is killed.
const memoryLimitMB = 284

// world is a small deployment on loopback: a store, and machines with a daemon and a server each.
type world struct {
	dir       string
	store     standin.Store
	storeHTTP *http.Server
	storeAddr string
	machines  []*machine
	// block is the second byte of all addresses.
	block int
	// caps adds the bounds of usage caps to the settings.
	caps  bool
	rec   *record
	began time.Time
}

// restartDelay is the time after which the platform starts a process again that has ended.
var restartDelay = 300 * time.Millisecond

// machine is one machine of the deployment.
type machine struct {
	w                                                   *world
	name, zone, service, ip                             string
	outbound, control, ready, inbound, portLow, portTop string
	srv                                                 *server

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	peakMB  float64
	killed  int // times the platform killed it for its memory
	ends    []string
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, rec: rec, began: time.Now()}
	// The addresses are those of a block that no other case uses at the same time.
	var l net.Listener
	for w.block = 20 + os.Getpid()%200; ; w.block = 20 + (w.block+1)%200 {
		if l, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:8142", w.block)); err == nil {
			break
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	w.storeAddr = l.Addr().String()
	w.storeHTTP = &http.Server{Handler: &w.store}
	go func() { _ = w.storeHTTP.Serve(l) }()
	return w, nil
}

// add adds a machine; start starts its daemon.
func (w *world) add(zone, service string) *machine {
	n := len(w.machines) + 1
	ip := fmt.Sprintf("127.%d.%d.1", w.block, n)
	m := &machine{w: w, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, service: service, ip: ip}
	m.outbound, m.control, m.ready, m.inbound = "8147", "8144", "8141", "8146"
	m.portLow, m.portTop = "7380", "7395"
	w.machines = append(w.machines, m)
	return m
}

var section = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)

// render fills in deploy/daemon.ini as the platform does. The deployment has no usage caps and no roll-outs.
func (m *machine) render() (string, error) {
	data, err := os.ReadFile("deploy/daemon.ini")
	if err != nil {
		return "", err
	}
	text := section.ReplaceAllStringFunc(string(data), func(part string) string {
		found := section.FindStringSubmatch(part)
		if m.w.caps && strings.HasPrefix(found[1], "bounds.quota") {
			return found[2]
		}
		return ""
	})
	values := map[string]string{
		"node": m.name, "zone": m.zone, "ip": m.ip, "service": m.service, "limits.linkMbps": "1000.0",
		"listen.outbound": m.ip + ":" + m.outbound, "listen.control": m.ip + ":" + m.control, "listen.ready": m.ip + ":" + m.ready,
		"listen.inbound": m.ip + ":" + m.inbound, "portRange.0": m.portLow, "portRange.1": m.portTop,
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "58", "bounds.budgetWindowS": "10", "bounds.quotaWindowS": "5", "bounds.quotaExcess": "0.1", "bounds.quotaSlack": "20", "bounds.configApplyS": "2",
		"platform.address": m.w.storeAddr,
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if i := strings.Index(text, "{{"); i >= 0 {
		return "", fmt.Errorf("deploy/daemon.ini has a placeholder that is not known here: %.40s", text[i:])
	}
	// The port for metrics is fixed in the template, which is safe on an address of its own.
	path := filepath.Join(m.w.dir, m.name+".ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the daemon by the run line of the deploy file and restarts it when it ends, as the platform does.
func (m *machine) start() error {
	path, err := m.render()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/kingcupwood", "daemon", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPWOOD_NODE_FILE=" + path}
	if err := startProcess(cmd); err != nil {
		return err
	}
	m.mu.Lock()
	m.cmd, m.exited = cmd, make(chan struct{})
	exited := m.exited
	m.mu.Unlock()
	go m.watchMemory(cmd, exited)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(exited)
		m.mu.Lock()
		stopped := m.stopped
		m.ends = append(m.ends, fmt.Sprintf("%.2f s: %v", time.Since(m.w.began).Seconds(), err))
		m.mu.Unlock()
		if !stopped {
			m.w.rec.add("%s: its daemon ended (%v) and starts again", m.name, err)
			time.Sleep(restartDelay)
			if err := m.start(); err != nil {
				m.w.rec.add("%s: no restart: %v", m.name, err)
			}
		}
	}()
	return nil
}

// watchMemory kills the daemon when its resident memory exceeds the limit of its machine.
func (m *machine) watchMemory(cmd *exec.Cmd, exited chan struct{}) {
	file := fmt.Sprintf("/proc/%d/status", cmd.Process.Pid)
	for {
		select {
		case <-exited:
			return
		case <-time.After(2 * time.Millisecond):
		}
		used := residentMB(file)
		m.mu.Lock()
		m.peakMB = max(m.peakMB, used)
		over := used > memoryLimitMB
		if over {
			m.killed++
		}
		m.mu.Unlock()
		if over {
			m.w.rec.add("%s: its daemon has %.1f MiB of resident memory, over memoryMb=%d: killed", m.name, used, memoryLimitMB)
			_ = cmd.Process.Kill()
			return
		}
	}
}

func residentMB(file string) float64 {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	_, rest, found := bytes.Cut(data, []byte("VmRSS:"))
	if !found {
		return 0
	}
	fields := bytes.Fields(rest)
	kb, _ := strconv.Atoi(string(fields[0]))
	return float64(kb) / 1024
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// isReady asks the daemon as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ip + ":" + m.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(w.machines) {
			return nil
		}
	}
	return fmt.Errorf("not all daemons are ready after %s", limit)
}

// close ends all processes and removes the folder.
func (w *world) close() {
	for _, m := range w.machines {
		m.mu.Lock()
		m.stopped = true
		cmd, exited := m.cmd, m.exited
		m.mu.Unlock()
		if m.srv != nil {
			m.srv.close()
		}
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-exited
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = w.storeHTTP.Shutdown(ctx)
	_ = w.storeHTTP.Close()
	_ = os.RemoveAll(w.dir)
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// quiet is add without the output on the terminal.
func (r *record) quiet(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// processes holds the processes that this one has started, and ending is set when no further one may start.
var (
	processMu sync.Mutex
	processes []*os.Process
	ending    bool
)

func startProcess(cmd *exec.Cmd) error {
	processMu.Lock()
	defer processMu.Unlock()
	if ending {
		return errors.New("the case is ending")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	processes = append(processes, cmd.Process)
	return nil
}

// endProcesses ends all processes that still run.
func endProcesses() {
	processMu.Lock()
	defer processMu.Unlock()
	ending = true
	for _, p := range processes {
		_ = p.Kill() // an error means that it has ended and was waited for
	}
}
