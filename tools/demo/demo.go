package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
	"kingcupwood.example/kingcupwood/standin/backend"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

// Sizes of the Association.
const (
	pagesServers  = 4
	finderServers = 5
	slots         = 12
	connections   = 100
)

// convergenceLimit is the time in which a change must be in force on every daemon.
const convergenceLimit = 5 * time.Second

var domains = []string{"lj-1", "lj-2", "lj-3"}

// demo runs the steps and counts the checks.
type demo struct {
	fleet          *fleet.Fleet
	passed, failed int
}

// step is one part of the demo.
type step struct {
	name string
	run  func(ctx context.Context) (detail string, err error)
	// required means that no later step works without this one.
	required bool
}

func (d *demo) steps() []step {
	return []step{
		{"make keys, start the platform, 9 daemons and 9 backend servers in 3 failure domains", d.start, true},
		{"check, submit and accept the answers of both services", d.accept, true},
		{"views and saves through every daemon", d.traffic, true},
		{"a save submitted 3 times with one idempotency key runs once", d.idempotency, false},
		{"revise an answer and see it in force on every daemon", d.revise, false},
		{"an accept on an outdated version is refused", d.conflict, false},
		{"drain one instance under load without a failed request", d.drain, false},
		{"kill one instance under load; no save runs twice", d.kill, false},
		{"withdraw the revision", d.withdraw, false},
		{"service-level report", d.report, false},
	}
}

func (d *demo) run(ctx context.Context) {
	for _, s := range d.steps() {
		started := time.Now()
		detail, err := s.run(ctx)
		if err != nil {
			d.failed++
			fmt.Printf("FAILED  %s: %v\n", s.name, err)
			if s.required {
				return
			}
			continue
		}
		d.passed++
		fmt.Printf("ok      %s (%.1f s) %s\n", s.name, time.Since(started).Seconds(), detail)
	}
}

func (d *demo) start(ctx context.Context) (string, error) {
	work := map[string][]string{"work": {"service-times = /pages/=15ms, /preview/=40ms, /search=25ms, /attachments/=6ms"}}
	for n := range pagesServers + finderServers {
		server := fleet.ServerConfig{Service: "pages", Slots: slots, Connections: connections, Extra: work}
		if n >= pagesServers {
			server.Service = "finder"
		}
		if _, err := d.fleet.Add(fmt.Sprintf("%s-%d", server.Service, n), domains[n%len(domains)], server); err != nil {
			return "", err
		}
	}
	if err := d.fleet.Secure(); err != nil {
		return "", err
	}
	if err := d.fleet.Start(); err != nil {
		return "", err
	}
	if err := fleet.WaitReady(ctx, d.fleet.Instances, "pages", pagesServers); err != nil {
		return "", errors.Wrap(err, "pages")
	}
	return "", errors.Wrap(fleet.WaitReady(ctx, d.fleet.Instances, "finder", finderServers), "finder")
}

func (d *demo) accept(ctx context.Context) (string, error) {
	// The answers of pages name finder as a dependency, so finder comes first.
	files := []string{"examples/association/finder.ini", "examples/association/pages.ini"}
	if _, err := d.fleet.Run(append([]string{"answers", "check"}, files...)...); err != nil {
		return "", err
	}
	for seen, file := range files {
		if err := d.submitAndAccept(file, seen); err != nil {
			return "", err
		}
	}
	return d.converged(ctx, d.fleet.Instances, 2)
}

// submitAndAccept accepts an answer file on the version that the operator has seen.
func (d *demo) submitAndAccept(file string, seen int) error {
	draft, err := d.fleet.Submit(file)
	if err != nil {
		return err
	}
	service := strings.TrimSuffix(filepath.Base(file), ".ini")
	_, err = d.fleet.Accept(service, draft, seen)
	return err
}

func (d *demo) converged(ctx context.Context, instances []*fleet.Instance, v snapshot.Version) (string, error) {
	limit, cancel := context.WithTimeout(ctx, convergenceLimit)
	defer cancel()
	took, err := fleet.WaitVersion(limit, instances, v)
	if err != nil {
		return "", errors.Wrapf(err, "version %d", v)
	}
	return fmt.Sprintf("version %d in force everywhere after %d ms", v, took.Milliseconds()), nil
}

func (d *demo) traffic(ctx context.Context) (string, error) {
	const viewsPerDaemon = 20
	for n, i := range d.fleet.Instances {
		for k := range viewsPerDaemon {
			id := fmt.Sprintf("traffic-%d-%d", n, k)
			if err := expectRan(ctx, i, http.MethodGet, "/pages/"+id, id, ""); err != nil {
				return "", err
			}
		}
		if err := expectRan(ctx, i, http.MethodPost, "/pages/"+i.Name, "save-"+i.Name, ""); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d requests", len(d.fleet.Instances)*(viewsPerDaemon+1)), nil
}

// expectRan sends a request for pages through i and checks that a complete response came back.
func expectRan(ctx context.Context, i *fleet.Instance, method, path, id, key string) error {
	a, err := fleet.Call(ctx, i.Callers, "pages", method, path, header(id, key), []byte("text of "+id))
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK || a.Verdict != verdict.Ran {
		return errors.Errorf("%s %s by %s: status %d, verdict %s: %s", method, path, i.Name, a.Status, a.Verdict, a.Body)
	}
	return nil
}

func header(id, key string) http.Header {
	h := http.Header{}
	h.Set(backend.RequestIDHeader, id)
	if key != "" {
		h.Set("Idempotency-Key", key)
	}
	return h
}

func (d *demo) idempotency(ctx context.Context) (string, error) {
	const submissions = 3
	for _, i := range d.fleet.Instances[:submissions] {
		// All submissions are the same request, so they have one body.
		if err := expectRan(ctx, i, http.MethodPost, "/pages/once", "once", "key-1"); err != nil {
			return "", err
		}
	}
	return "", d.noRepeatedRuns(ctx, []string{"once"})
}

// noRepeatedRuns checks that none of the requests has run twice on the backend servers that are
// still there.
func (d *demo) noRepeatedRuns(ctx context.Context, ids []string) error {
	runs := map[string]int{}
	for _, i := range d.fleet.Instances {
		if !i.BackendProcess.Running() {
			continue
		}
		report, err := i.Runs(ctx)
		if err != nil {
			return err
		}
		for id, n := range report.Runs {
			runs[id] += n
		}
	}
	for _, id := range ids {
		if runs[id] > 1 {
			return errors.Errorf("request %s has run %d times", id, runs[id])
		}
	}
	return nil
}

func (d *demo) revise(ctx context.Context) (string, error) {
	text, err := os.ReadFile("examples/association/pages.ini")
	if err != nil {
		return "", err
	}
	file := filepath.Join(d.fleet.Dir, "pages.ini")
	revised := strings.Replace(string(text), "deadline = 500ms", "deadline = 450ms", 1)
	if err := os.WriteFile(file, []byte(revised), 0o600); err != nil {
		return "", err
	}
	if err := d.submitAndAccept(file, 2); err != nil {
		return "", err
	}
	return d.converged(ctx, d.fleet.Instances, 3)
}

func (d *demo) conflict(context.Context) (string, error) {
	draft, err := d.fleet.Submit("examples/association/pages.ini")
	if err != nil {
		return "", err
	}
	output, err := d.fleet.Accept("pages", draft, 2)
	if err == nil {
		return "", errors.Errorf("accepted on an outdated version: %s", output)
	}
	return "", nil
}

func (d *demo) withdraw(ctx context.Context) (string, error) {
	if _, err := d.fleet.RunAdministration("config", "withdraw", "pages", "--to", "1", "--seen", "3"); err != nil {
		return "", err
	}
	var running []*fleet.Instance
	for _, i := range d.fleet.Instances {
		if i.DaemonProcess.Running() {
			running = append(running, i)
		}
	}
	return d.converged(ctx, running, 4)
}

func (d *demo) report(context.Context) (string, error) {
	output, err := d.fleet.RunAdministration("report")
	if err != nil {
		return "", err
	}
	if !strings.Contains(output, "save") {
		return "", errors.Errorf("the report has no line for saves: %s", output)
	}
	return "\n" + output, nil
}
