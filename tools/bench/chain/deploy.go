// Package chain measures a chain of calls as deep as the design allows: every service calls the next
// one through its daemon. It compares the chain with backend servers that call each other directly, and
// counts the runs of each request while the end of the chain fails.
package chain

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/caller"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	depth       = caller.MaxDepth
	domains     = 3
	slots       = 12
	connections = 100
	serviceTime = 2 * time.Millisecond
	// deadlineStep is the difference between the deadlines of a service and of the one it calls.
	deadlineStep = 200 * time.Millisecond
	// connectionHeadroom raises the connection limit of the stand-ins, which direct callers share with
	// the daemon.
	connectionHeadroom = 2
)

// Paths of the two kinds: work ends with the last service, loop calls the first service again.
const (
	workPath = "/work"
	loopPath = "/loop"
)

const answers = `[service]
name = %[1]s
team = bench
capacity-slots = %[2]d
capacity-connections = %[3]d
servers = 1
depends-on = %[4]s

[kind work]
match = GET /work
rank = 1
idempotent = yes
deadline = %[5]s
expected-rate = 50/s
service-time = %[6]s
worth = 1
objective = 99%%
%[7]s

[kind loop]
match = GET /loop
rank = 2
idempotent = yes
deadline = %[5]s
expected-rate = 5/s
service-time = %[6]s
worth = 1
objective = 90%%
`

// deployment holds one instance for each service of the chain, and the backend servers of the direct
// chain, which have no daemon.
type deployment struct {
	*fleet.Fleet
	chain, direct []*fleet.Instance
}

// service returns the name of the service at level n, counted from 0.
func service(n int) string { return fmt.Sprintf("level%02d", n+1) }

func deploy(ctx context.Context, f *fleet.Fleet) (*deployment, error) {
	d := &deployment{Fleet: f}
	for n := range depth {
		i, err := f.Add(service(n), fmt.Sprint("d", n%domains), serverAt(n, netip.AddrPort{}))
		if err != nil {
			return nil, err
		}
		d.chain = append(d.chain, i)
	}
	if err := f.Start(); err != nil {
		return nil, err
	}
	if err := d.startDirect(); err != nil {
		return nil, err
	}
	for n := range depth {
		if err := fleet.WaitReady(ctx, d.chain, service(n), 1); err != nil {
			return nil, errors.Wrapf(err, "wait for %s", service(n))
		}
	}
	return d, d.accept(ctx)
}

// serverAt describes the backend server at level n. calls is the address for calls to the next
// service; none stands for the daemon of the instance.
func serverAt(n int, calls netip.AddrPort) fleet.ServerConfig {
	next := service((n + 1) % depth)
	rules := fmt.Sprintf("%s=%s%s", loopPath, next, loopPath)
	if n+1 < depth {
		rules += fmt.Sprintf(", %s=%s%s", workPath, next, workPath)
	}
	work := []string{"service-time = " + serviceTime.String(), "calls = " + rules}
	return fleet.ServerConfig{
		Service: service(n), Slots: slots, Connections: connectionHeadroom * connections, Calls: calls,
		Extra: map[string][]string{"work": work},
	}
}

// startDirect starts the direct chain from its end, since each server needs the address of the next.
func (d *deployment) startDirect() error {
	d.direct = make([]*fleet.Instance, depth)
	var next netip.AddrPort
	for n := depth - 1; n >= 0; n-- {
		i, err := d.Add("direct-"+service(n), "d0", serverAt(n, next))
		if err != nil {
			return err
		}
		if err := d.StartBackend(i); err != nil {
			return err
		}
		d.direct[n], next = i, i.Backend
	}
	return nil
}

// accept puts the answers of all services in force, the last service of the chain first.
func (d *deployment) accept(ctx context.Context) error {
	for n := depth - 1; n >= 0; n-- {
		file := filepath.Join(d.Dir, service(n)+".ini")
		if err := os.WriteFile(file, answersAt(n), 0o600); err != nil {
			return err
		}
		draft, err := d.Submit(file)
		if err != nil {
			return err
		}
		if output, err := d.Accept(service(n), draft, depth-1-n); err != nil {
			return errors.Wrapf(err, "accept %s: %s", service(n), output)
		}
	}
	_, err := fleet.WaitVersion(ctx, d.chain, depth)
	return errors.Wrap(err, "wait for the configuration")
}

func answersAt(n int) []byte {
	levels := depth - n
	dependsOn, calls := "", ""
	if n+1 < depth {
		dependsOn, calls = service(n+1), fmt.Sprintf("calls = %s/work", service(n+1))
	}
	return fmt.Appendf(nil, answers, service(n), slots, connections, dependsOn,
		time.Duration(levels)*deadlineStep, time.Duration(levels)*serviceTime, calls)
}
