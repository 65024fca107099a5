package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// recovery is recoveryS of the site; requests sent later than that after the machines are back are judged.
	recovery = 15 * time.Second
	// judged is how long after the return of the machines clients go on.
	judged = 28 * time.Second
	// otherAfter is the time from the return of the machines to the heartbeats of the other writer.
	otherAfter = 2 * time.Second
)

// other kills all daemons. After their return, one heartbeat of another writer, which states no start, arrives at each.
func other(rec *record, trouble bool) int {
	w, err := newWorld(rec)
	if err != nil {
		return noRun
	}
	defer w.close()
	for _, zone := range []string{"lj-a", "lj-b", "lj-c"} {
		m := w.add(zone, "pages")
		if _, err := startServer(m, "i-"+m.name, 12); err != nil {
			return noRun
		}
	}
	w.store.Put("op", "config", []byte(configuration(3, "pages", route("r-view", "/view/", "safe", "pages", 1.5, 0.5))))
	if !w.startAll() {
		return noRun
	}
	load := &viewLoad{rec: rec, w: w}
	before := load.play(5 * time.Second)
	if trouble {
		restartDelay = time.Second
		for _, m := range w.machines {
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay + 200*time.Millisecond)
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		rec.add("%v", err)
		return noRun
	}
	back := time.Now()
	rec.add("all daemons are back and ready")
	var writer sync.WaitGroup
	writer.Go(func() {
		time.Sleep(otherAfter)
		for _, m := range w.machines {
			if !trouble {
				continue
			}
			body := strings.Replace(m.srv.beatBody("draining"), fmt.Sprintf(`"born":%d,`, m.srv.born), "", 1)
			rec.add("%s: heartbeat of another writer for %s: %s: acknowledged %t", m.name, m.srv.id, body, m.srv.call("PUT", body))
		}
	})
	load.play(recovery - time.Since(back))
	after := load.play(judged - time.Since(back))
	writer.Wait()
	rec.add("served before the fault: %s; later than %s after the return: %s", before, recovery, after)
	switch {
	case before.share() < 0.25:
		return noRun
	case after.share() < 0.25:
		return broken
	}
	return held
}

// served counts requests.
type served struct{ sent, answered int }

func (s served) share() float64 { return float64(s.answered) / float64(max(s.sent, 1)) }

// String implements fmt.Stringer.
func (s served) String() string { return fmt.Sprintf("%d of %d", s.answered, s.sent) }

// viewLoad sends requests to all machines.
type viewLoad struct {
	rec  *record
	w    *world
	next int
}

// play sends requests for some time and returns how many were answered with success.
func (l *viewLoad) play(length time.Duration) served {
	var mu sync.Mutex
	var all sync.WaitGroup
	var total served
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range l.w.machines {
			l.next++
			id := fmt.Sprintf("%016x", 0xb0000+l.next)
			all.Go(func() {
				a := send(m, "GET", "/view/x", id, 1500*time.Millisecond, 0, false)
				l.rec.quiet("%s to %s: %s; ran %d times", id, m.name, a, l.w.ran(id))
				mu.Lock()
				defer mu.Unlock()
				total.sent++
				if a.err == nil && a.status == 200 && a.stamp != "" {
					total.answered++
				}
			})
		}
	}
	all.Wait()
	return total
}
