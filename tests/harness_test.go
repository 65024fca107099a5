// Package tests starts the processes of a small deployment, makes some of them fail under load, and
// checks the invariants of the design from the outside.
package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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
	// setupLimit bounds the start of a deployment and every wait for a change. It is far above what
	// they take, so that a busy machine does not decide a test.
	setupLimit = 60 * time.Second
	// startTries is the number of times that a deployment is started, since another process may take
	// one of its ports.
	startTries = 3
	servers    = 4
	// parallelFleets bounds the processes that run at once.
	parallelFleets = 4
)

// binary is the program under test.
var binary string

// running holds a place for each deployment, starting serialises the choice of ports.
var (
	running  = make(chan struct{}, parallelFleets)
	starting sync.Mutex
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

// deployment is a fleet that serves pages.
type deployment struct {
	*fleet.Fleet
	t *testing.T
	// deadline of both kinds, in the form of the answers.
	deadline string
	version  snapshot.Version
}

// deploy starts a platform and four instances of pages in three failure domains, and accepts the
// answers of pages. All processes end with the test.
func deploy(t *testing.T, deadline string, server ...string) *deployment {
	t.Helper()
	t.Parallel()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
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
	starting.Lock()
	defer starting.Unlock()
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
	ctx, cancel := context.WithTimeout(t.Context(), setupLimit/startTries)
	defer cancel()
	return f, fleet.WaitReady(ctx, f.Instances, "pages", servers)
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

// draft submits answers that differ from the ones in force and returns the hash.
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

// revise accepts new answers and waits until they are in force on all running daemons.
func (d *deployment) revise() {
	d.t.Helper()
	if output, err := d.Accept("pages", d.draft(), int(d.version)); err != nil {
		d.t.Fatalf("accept: %v: %s", err, output)
	}
	d.version++
	d.converge()
}

func (d *deployment) converge() {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), setupLimit)
	defer cancel()
	if _, err := fleet.WaitVersion(ctx, d.live(), d.version); err != nil {
		d.t.Fatalf("version %d is not in force everywhere: %v", d.version, err)
	}
}

// waitServing waits until the daemon of i serves callers with the current version. In contrast to
// converge it works without the platform, which the administration API needs for the credentials.
func (d *deployment) waitServing(i *fleet.Instance) {
	d.t.Helper()
	deadline := time.Now().Add(setupLimit)
	for {
		a, err := fleet.Call(d.t.Context(), i.Callers, "pages", http.MethodGet, "/pages/wait", nil, nil)
		if err == nil && a.Status == http.StatusOK {
			if a.Version != d.version {
				d.t.Errorf("%s serves with version %d, want %d", i.Name, a.Version, d.version)
			}
			return
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("%s does not serve: %+v %v", i.Name, a, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// live returns the instances whose daemon runs.
func (d *deployment) live() []*fleet.Instance {
	var list []*fleet.Instance
	for _, i := range d.Instances {
		if i.DaemonProcess.Running() {
			list = append(list, i)
		}
	}
	return list
}

// waitState waits until the daemon of i knows its own instance in the given state.
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
			d.t.Fatalf("%s does not become %s", i.Name, state)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// inject adds a fault to a store of the platform.
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
		d.t.Fatalf("fault endpoint: %s", resp.Status)
	}
}
