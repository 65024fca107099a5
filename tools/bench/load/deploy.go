package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	// startLimit bounds the start of a deployment on a busy machine.
	startLimit = time.Minute
	// startPoll separates two tries to reach a process that is starting.
	startPoll = 20 * time.Millisecond
)

// deployment is the processes of one experiment.
type deployment struct {
	fleet  *fleet.Fleet
	user   *user
	policy string
	// servers holds the instances of each service.
	servers map[string][]*fleet.Instance
	// late is an instance whose backend server is not started yet, or nil.
	late *fleet.Instance
}

// deploy starts the processes of r. With slow, the service times of the affected server are longer;
// with cold, it is not started. The affected server is the second one of the last service.
func deploy(ctx context.Context, o options, r *run) (*deployment, error) {
	dir, err := os.MkdirTemp("", "kingcupwood-load-")
	if err != nil {
		return nil, err
	}
	f, err := fleet.New(o.binary, dir)
	if err != nil {
		return nil, err
	}
	d := &deployment{fleet: f, user: r.user, policy: r.policy, servers: map[string][]*fleet.Instance{}}
	if err := d.add(r.experiment); err != nil {
		return d, err
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if r.policy == policyRanked {
		return d, d.startProduct(ctx)
	}
	return d, d.startBaseline(ctx, o.answers, r.scale)
}

func (d *deployment) add(e experiment) error {
	n := 0
	for _, s := range d.user.services {
		for k := range s.Servers {
			slowness := 1
			if e.slow && s == d.affectedService() && k == affected {
				slowness = slowFactor
			}
			i, err := d.fleet.Add(fmt.Sprintf("%s-%d", s.Name, k+1), domains[n%len(domains)], d.user.serverConfig(s, slowness))
			if err != nil {
				return err
			}
			d.servers[s.Name] = append(d.servers[s.Name], i)
			n++
		}
	}
	if e.cold {
		d.late = d.victim()
	}
	return nil
}

// affected is the index of the server to which a failure happens.
const affected = 1

// affectedService is the one whose server a failure happens to: the one with the non-idempotent kind.
func (d *deployment) affectedService() *snapshot.Service {
	return d.user.services[len(d.user.services)-1]
}

func (d *deployment) victim() *fleet.Instance { return d.servers[d.affectedService().Name][affected] }

func (d *deployment) startProduct(ctx context.Context) error {
	if err := d.fleet.StartPlatform(); err != nil {
		return err
	}
	for _, i := range d.fleet.Instances {
		if err := d.fleet.StartDaemon(i); err != nil {
			return err
		}
	}
	if err := d.startBackends(); err != nil {
		return err
	}
	if err := d.fleet.WriteAdministration(); err != nil {
		return err
	}
	for _, s := range d.user.services {
		if err := fleet.WaitReady(ctx, d.fleet.Instances, s.Name, d.expected(s)); err != nil {
			return errors.Wrapf(err, "wait for the servers of %s", s.Name)
		}
	}
	return d.accept(ctx)
}

// expected returns the number of servers of s that are started at first.
func (d *deployment) expected(s *snapshot.Service) int {
	if d.late != nil && s == d.affectedService() {
		return s.Servers - 1
	}
	return s.Servers
}

func (d *deployment) startBackends() error {
	for _, i := range d.fleet.Instances {
		if i == d.late {
			continue
		}
		if err := d.fleet.StartBackend(i); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) accept(ctx context.Context) error {
	for n, s := range d.user.services {
		file := filepath.Join(d.fleet.Dir, s.Name+"-answers.ini")
		if err := os.WriteFile(file, answerFile(s), 0o600); err != nil {
			return err
		}
		draft, err := d.fleet.Submit(file)
		if err != nil {
			return err
		}
		if _, err := d.fleet.Accept(s.Name, draft, n); err != nil {
			return err
		}
	}
	_, err := fleet.WaitVersion(ctx, d.fleet.Instances, snapshot.Version(len(d.user.services)))
	return errors.Wrap(err, "wait for the configuration")
}

func (d *deployment) startBaseline(ctx context.Context, answers string, scale float64) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var peers []string
	for _, i := range d.fleet.Instances {
		peers = append(peers, i.Server.Service+"="+i.Callers.String())
	}
	for _, i := range d.fleet.Instances {
		err := d.fleet.StartInstead(i, self, "--baseline", d.policy, "--baseline-service", i.Server.Service,
			"--baseline-listen", i.Callers.String(), "--baseline-backend", i.Backend.String(),
			"--baseline-slots", fmt.Sprint(i.Server.Slots), "--baseline-peers", strings.Join(peers, ","),
			"--answers", answers, "--scale", fmt.Sprint(scale))
		if err != nil {
			return err
		}
	}
	if err := d.startBackends(); err != nil {
		return err
	}
	for _, i := range d.fleet.Instances {
		if err := waitListening(ctx, i.Callers); err != nil {
			return err
		}
		if i == d.late {
			continue
		}
		if err := waitListening(ctx, i.Backend); err != nil {
			return err
		}
	}
	return nil
}

func waitListening(ctx context.Context, addr netip.AddrPort) error {
	for {
		conn, err := net.Dial("tcp", addr.String())
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "wait for %v", addr)
		case <-time.After(startPoll):
		}
	}
}

// close ends all processes. It removes settings and logs unless keep is set.
func (d *deployment) close(keep bool) {
	d.fleet.Close()
	if keep {
		fmt.Fprintln(os.Stderr, "settings and logs:", d.fleet.Dir)
		return
	}
	_ = os.RemoveAll(d.fleet.Dir) // only leaves files in the temporary directory
}
