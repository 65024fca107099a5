// Package tests starts the processes of a small deployment, injects failures under load, and checks
// the invariants of the design through the external interfaces of the processes.
package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/standin/platform"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	// setupLimit is the timeout for starting a deployment and for waiting for a change. It is far
	// above the expected durations, so that a busy machine does not fail a test.
	setupLimit = 60 * time.Second
	// startTries is the maximum number of attempts to start a deployment. An attempt fails if
	// another process takes one of the chosen ports.
	startTries = 3
	servers    = 4
	// parallelFleets is the maximum number of deployments that run concurrently. It limits the
	// number of processes.
	parallelFleets = 8
)

// binary is the path of the program under test.
var binary string

var (
	// fleetSem is the semaphore that limits the concurrent deployments.
	fleetSem = make(chan struct{}, parallelFleets)
	// launchMu serialises the choice of ports.
	launchMu sync.Mutex
)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "kingcupwood-tests-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "kingcupwood")
	if output, err := exec.Command("go", "build", "-o", binary, "../cmd/kingcupwood").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// deployment is a fleet whose instances run the service pages.
type deployment struct {
	*fleet.Fleet
	t *testing.T
	// deadline of both kinds, in the syntax of an answer file.
	deadline string
	// version is the configuration version that is expected to be in force.
	version snapshot.Version
}

// deploy starts a platform and four instances of pages in three failure domains, and accepts the
// answers for pages. All processes are terminated at the end of the test.
func deploy(t *testing.T, deadline string, server ...string) *deployment {
	t.Helper()
	t.Parallel()
	fleetSem <- struct{}{}
	t.Cleanup(func() { <-fleetSem })
	d := &deployment{t: t, deadline: deadline}
	var err error
	for range startTries {
		if d.Fleet, err = start(t, server); err == nil {
			d.revise()
			return d
		}
	}
	t.Fatalf("start: %v", err)
	return nil
}

func start(t *testing.T, server []string) (*fleet.Fleet, error) {
	f, err := launch(t, server)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), setupLimit/startTries)
	defer cancel()
	return f, fleet.WaitReady(ctx, f.Instances, "pages", servers)
}

// launch starts the processes and returns once they listen, so that the next deployment does not
// choose the same ports.
func launch(t *testing.T, server []string) (*fleet.Fleet, error) {
	launchMu.Lock()
	defer launchMu.Unlock()
	f, err := fleet.New(binary, t.TempDir())
	if err != nil {
		return nil, err
	}
	t.Cleanup(f.Close)
	extra := map[string][]string{"work": {"service-times = /pages/=5ms"}, "backend": server}
	for n := range servers {
		config := fleet.ServerConfig{Service: "pages", Slots: 12, Connections: 100, Extra: extra}
		if _, err := f.Add(fmt.Sprint("pages-", n), fmt.Sprint("lj-", n%3), config); err != nil {
			return nil, err
		}
	}
	if err := f.Start(); err != nil {
		return nil, err
	}
	addrs := []netip.AddrPort{f.Platform}
	for _, i := range f.Instances {
		addrs = append(addrs, i.Admin, i.Backend)
	}
	return f, waitListening(addrs)
}

func waitListening(addrs []netip.AddrPort) error {
	deadline := time.Now().Add(setupLimit / startTries)
	for _, addr := range addrs {
		for {
			conn, err := net.Dial("tcp", addr.String())
			if err == nil {
				_ = conn.Close()
				break
			}
			if time.Now().After(deadline) {
				return err
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

const answers = `[service]
name = pages
team = wiki
capacity-slots = 12
capacity-connections = 100
servers = 4
[kind save]
match = POST /pages/
rank = 1
idempotent = no
deadline = %[1]s
expected-rate = 400/s
service-time = 5ms
worth = %[2]d
objective = 99%%
[kind view]
match = GET /pages/
rank = 2
idempotent = yes
deadline = %[1]s
expected-rate = 800/s
service-time = 5ms
worth = 1
objective = 99%%
`

// draft submits answers that differ from those in force and returns the hash of the draft.
func (d *deployment) draft() string {
	d.t.Helper()
	file := filepath.Join(d.Dir, "pages.ini")
	if err := os.WriteFile(file, fmt.Appendf(nil, answers, d.deadline, 10+d.version), 0o600); err != nil {
		d.t.Fatal(err)
	}
	hash, err := d.Submit(file)
	if err != nil {
		d.t.Fatal(err)
	}
	return hash
}

// revise submits and accepts new answers and waits until they are in force on all running daemons.
func (d *deployment) revise() {
	d.t.Helper()
	if output, err := d.Accept("pages", d.draft(), int(d.version)); err != nil {
		d.t.Fatalf("accept: %v: %s", err, output)
	}
	d.version++
	d.converge()
}

// converge waits until the current version is in force on all running daemons.
func (d *deployment) converge() {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), setupLimit)
	defer cancel()
	if _, err := fleet.WaitVersion(ctx, d.live(), d.version); err != nil {
		d.t.Fatalf("version %d is not in force everywhere: %v", d.version, err)
	}
}

// waitServing waits until the daemon of i serves callers, and checks that it uses the current
// version. Unlike converge, it works during a platform outage: it does not use the administration
// API, which needs the platform to check credentials.
func (d *deployment) waitServing(i *fleet.Instance) {
	d.t.Helper()
	deadline := time.Now().Add(setupLimit)
	for {
		a, err := fleet.Call(d.t.Context(), i.Callers, "pages", http.MethodGet, "/pages/wait", nil, nil)
		if err == nil && a.Status == http.StatusOK {
			if a.Version != d.version {
				d.t.Errorf("%s serves callers with version %d, want %d", i.Name, a.Version, d.version)
			}
			return
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("%s does not serve callers: response %+v, error %v", i.Name, a, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// live returns the instances whose daemon process is running.
func (d *deployment) live() []*fleet.Instance {
	var list []*fleet.Instance
	for _, i := range d.Instances {
		if i.DaemonProcess.Running() {
			list = append(list, i)
		}
	}
	return list
}

// waitState waits until the daemon of i lists its own instance in the given state.
func (d *deployment) waitState(i *fleet.Instance, state string) {
	d.t.Helper()
	deadline := time.Now().Add(setupLimit)
	for {
		if message, err := i.AdminClient().Endpoints(d.t.Context()); err == nil {
			for _, e := range message.Endpoints {
				if string(e.Instance) == i.Name && e.State == state {
					return
				}
			}
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("%s did not reach state %s", i.Name, state)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// inject adds a fault to a store of the stand-in platform.
func (d *deployment) inject(store platform.Store, kind platform.FaultKind, operations platform.Operations, delay time.Duration) {
	d.t.Helper()
	body, err := json.Marshal(platform.Fault{Store: store, Kind: kind, Operations: operations, DelayMS: delay.Milliseconds()})
	if err != nil {
		d.t.Fatal(err)
	}
	d.administerFaults(http.MethodPost, body)
}

func (d *deployment) clearFaults() { d.administerFaults(http.MethodDelete, nil) }

func (d *deployment) administerFaults(method string, body []byte) {
	d.t.Helper()
	url := "http://" + d.Platform.String() + platform.FaultsPath
	req, err := http.NewRequestWithContext(d.t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	resp, err := fleet.HTTP.Do(req)
	if err != nil {
		d.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		d.t.Fatalf("fault endpoint returned status %s", resp.Status)
	}
}
