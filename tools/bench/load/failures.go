package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	// lastRuns is the time after the kill of a daemon in which its backend server may still start
	// what it has received. The report of its runs is read after that, since it ends with the process.
	lastRuns = 100 * time.Millisecond
	// stopLimit bounds the graceful stop of a process.
	stopLimit = 30 * time.Second
)

func isVictim(d *deployment, i *fleet.Instance) bool { return i == d.victim() }

func isLost(_ *deployment, i *fleet.Instance) bool { return i.Domain == lostDomain }

func startLate(_ context.Context, r *run) error {
	return r.deployment.fleet.StartBackend(r.deployment.late)
}

func killVictim(ctx context.Context, r *run) error { return r.kill(ctx, r.deployment.victim()) }

func killDomain(ctx context.Context, r *run) error {
	var lost []*fleet.Instance
	for _, i := range r.deployment.fleet.Instances {
		if i.Domain == lostDomain {
			lost = append(lost, i)
		}
	}
	return r.kill(ctx, lost...)
}

// kill ends all daemons first, then the backend servers after their runs are collected.
func (r *run) kill(ctx context.Context, instances ...*fleet.Instance) error {
	for _, i := range instances {
		i.DaemonProcess.Kill()
	}
	time.Sleep(lastRuns)
	for _, i := range instances {
		if err := r.collectFrom(ctx, i); err != nil {
			return err
		}
		i.BackendProcess.Kill()
	}
	return nil
}

func freezeVictim(_ context.Context, r *run) error {
	i := r.deployment.victim()
	processes := []*fleet.Process{i.DaemonProcess, i.BackendProcess}
	for _, p := range processes {
		if err := p.Freeze(); err != nil {
			return err
		}
	}
	time.Sleep(frozenTime)
	for _, p := range processes {
		if err := p.Resume(); err != nil {
			return err
		}
	}
	return nil
}

func drainVictim(ctx context.Context, r *run) error {
	i := r.deployment.victim()
	if err := i.DaemonProcess.Stop(stopLimit); err != nil {
		return err
	}
	if err := r.collectFrom(ctx, i); err != nil {
		return err
	}
	return i.BackendProcess.Stop(stopLimit)
}

// diagnose prints the state of admission control and the counters of every daemon.
func (r *run) diagnose(ctx context.Context) error {
	if r.policy != policyRanked {
		return nil
	}
	for _, i := range r.deployment.fleet.Instances {
		if !i.DaemonProcess.Running() {
			continue
		}
		var vars struct {
			Kingcupwood struct {
				Backend struct {
					State string  `json:"state"`
					Slots int     `json:"slots_in_use_limit"`
					Load  float64 `json:"load"`
				} `json:"backend"`
				Callers map[string]int `json:"callers"`
			} `json:"kingcupwood"`
		}
		if err := i.Vars(ctx, &vars); err != nil {
			return errors.Wrap(err, "diagnose")
		}
		v := vars.Kingcupwood
		fmt.Fprintf(os.Stderr, "%-12s %s %-8s limit %2d load %5.2f %v\n", i.Name, i.Domain, v.Backend.State, v.Backend.Slots, v.Backend.Load, v.Callers)
	}
	return nil
}
