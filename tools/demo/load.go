package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/verdict"
	"kingcupwood.example/kingcupwood/tools/fleet"
)

const (
	// loadInterval separates two requests of a load.
	loadInterval = 5 * time.Millisecond
	// saveEvery is the number of requests for each save among them.
	saveEvery = 4
)

// tally counts what callers saw during a load.
type tally struct {
	mu                          sync.Mutex
	ran, notRun, unknown, broke int
	saves                       []string
	firstFault                  string
}

func (t *tally) add(save bool, id string, a fleet.Answer, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if save {
		t.saves = append(t.saves, id)
	}
	switch {
	case err != nil:
		t.broke++
		t.fault("%s: %v", id, err)
	case a.Verdict == verdict.Ran && a.Status == http.StatusOK:
		t.ran++
	case a.Verdict == verdict.NotRun:
		t.notRun++
		t.fault("%s: status %d, not run: %s", id, a.Status, a.Body)
	default:
		t.unknown++
		t.fault("%s: status %d, %s: %s", id, a.Status, a.Verdict, a.Body)
	}
}

func (t *tally) fault(format string, args ...any) {
	if t.firstFault == "" {
		t.firstFault = fmt.Sprintf(format, args...)
	}
}

// String implements fmt.Stringer.
func (t *tally) String() string {
	text := fmt.Sprintf("%d ran, %d not run, %d unknown, %d broken", t.ran, t.notRun, t.unknown, t.broke)
	if t.firstFault != "" {
		text += "; first: " + t.firstFault
	}
	return text
}

// load sends views and saves through entries until stop is closed.
func load(ctx context.Context, name string, entries []*fleet.Instance, stop <-chan struct{}) *tally {
	t := &tally{}
	var sent sync.WaitGroup
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			sent.Wait()
			return t
		case <-ticker.C:
		}
		id, save := fmt.Sprintf("%s-%d", name, n), n%saveEvery == 0
		entry := entries[n%len(entries)]
		sent.Go(func() {
			method := http.MethodGet
			if save {
				method = http.MethodPost
			}
			a, err := fleet.Call(ctx, entry.Callers, "pages", method, "/pages/"+id, header(id, ""), nil)
			t.add(save, id, a, err)
		})
	}
}

// during runs action in the middle of a load and returns what the callers saw.
func during(ctx context.Context, name string, entries []*fleet.Instance, action func() error) (*tally, error) {
	stop, done := make(chan struct{}), make(chan *tally, 1)
	go func() { done <- load(ctx, name, entries, stop) }()
	time.Sleep(500 * time.Millisecond)
	err := action()
	time.Sleep(time.Second)
	close(stop)
	return <-done, err
}

func (d *demo) drain(ctx context.Context) (string, error) {
	leaving := d.fleet.Instances[1]
	// Callers use the other daemons; the leaving one still serves its backend server.
	entries := append(d.fleet.Instances[:1:1], d.fleet.Instances[2:]...)
	before := d.processorWaits()
	t, err := during(ctx, "drain", entries, leaving.Stop)
	if err != nil {
		return "", err
	}
	if t.ran == 0 || t.notRun+t.unknown+t.broke > 0 {
		return "", errors.Errorf("%s; %s", t, d.longestWait(before))
	}
	return t.String(), d.noRepeatedRuns(ctx, t.saves)
}

// processorWaits returns how long the threads of each running process have waited for a processor.
func (d *demo) processorWaits() map[string]time.Duration {
	waits := map[string]time.Duration{}
	for _, i := range d.fleet.Instances {
		for _, p := range []*fleet.Process{i.DaemonProcess, i.BackendProcess} {
			if wait, err := p.ProcessorWait(); err == nil && p.Running() {
				waits[p.Name] = wait
			}
		}
	}
	return waits
}

// longestWait names the process whose threads have waited longest since before. The total covers the whole step, so
// that it is only a hint at a busy machine.
func (d *demo) longestWait(before map[string]time.Duration) string {
	longest, name := time.Duration(0), ""
	for process, wait := range d.processorWaits() {
		if grown := wait - before[process]; grown > longest {
			longest, name = grown, process
		}
	}
	return fmt.Sprintf("%s waited for a processor for %d ms in total", name, longest.Milliseconds())
}

func (d *demo) kill(ctx context.Context) (string, error) {
	victim := d.fleet.Instances[0]
	t, err := during(ctx, "kill", d.fleet.Instances[2:], func() error {
		victim.Kill()
		return nil
	})
	if err != nil {
		return "", err
	}
	if t.ran == 0 || t.broke > 0 {
		return "", errors.New(t.String())
	}
	return t.String(), d.noRepeatedRuns(ctx, t.saves)
}
