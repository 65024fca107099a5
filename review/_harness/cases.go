package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

// bounds of the site file.
const (
	drainS    = 2 * time.Second
	stableS   = 3 * time.Second
	recoveryS = 15 * time.Second
)

// attachList is the route of that name of the site.
var attachList = route{name: "attach-list", prefix: "/attach/", kind: "safe", service: "finder", timeoutS: 4, targetS: 4, priority: 2}

// load sends perS requests a second in turn through the machines for the given time, and returns them
// when all are answered.
func (w *world) load(perS float64, length time.Duration, next func() *request, machines ...*machine) []*request {
	var sent []*request
	var running sync.WaitGroup
	began := time.Now()
	for n := 0; ; n++ {
		at := began.Add(time.Duration(float64(n) / perS * float64(time.Second)))
		if at.Sub(began) >= length {
			break
		}
		time.Sleep(time.Until(at))
		r := next()
		sent = append(sent, r)
		running.Go(func() { w.send(machines[n%len(machines)], r) })
	}
	running.Wait()
	return sent
}

func served(list []*request) (n int) {
	for _, r := range list {
		if r.status/100 == 2 {
			n++
		}
	}
	return n
}

// leaveForgotten: a daemon that has acknowledged a DELETE is killed and started again, and a heartbeat
// of before arrives late.
func leaveForgotten(w *world, trouble bool) bool {
	a, b, c := w.addMachine("sidecar-lj-a-1", "lj-a", "finder"), w.addMachine("sidecar-lj-b-1", "lj-b", "finder"), w.addMachine("sidecar-lj-c-1", "lj-c", "pages")
	w.configure(7, []string{"finder", "pages"}, []route{attachList})
	for _, m := range w.machines {
		m.start()
		m.startServer(12, 48, 100*time.Millisecond)
	}
	w.awaitReady(15*time.Second, a, b, c)
	time.Sleep(4 * time.Second)
	late := a.server.heartbeat() // sent before the DELETE, arrives late
	sentAt := time.Now()
	w.logf("server %s sends a heartbeat that will arrive late", a.server.id)
	if !a.server.leave() {
		check(fmt.Errorf("the leaving was not confirmed"))
	}
	if trouble {
		a.kill()
		w.logf("%s: daemon killed", a.name)
		time.Sleep(300 * time.Millisecond)
		a.start()
		w.awaitReady(10*time.Second, a)
	}
	time.Sleep(time.Until(sentAt.Add(2500 * time.Millisecond)))
	w.logf("the heartbeat arrives %.1f s late, acknowledged: %v", time.Since(sentAt).Seconds(), a.server.beat(late))
	// The server serves on for some seconds.
	next := func() *request { return w.newRequest("GET", "/attach/1", 6*time.Second) }
	w.load(20, 6*time.Second, next, b, c)
	began := a.server.leftAt
	if trouble {
		began = began.Add(time.Second + stableS) // before that, the restarted machine is out of touch
	}
	n := 0
	for _, l := range a.server.lateArrivals(drainS) {
		w.logf("DRAIN: %s reached %s %.3f s after the confirmation", l.id, a.server.id, l.at.Sub(a.server.leftAt).Seconds())
		if l.at.After(began) {
			n++
		}
	}
	fmt.Printf("%d requests reached the server later than drainS after the confirmation, sent on by a machine in touch\n", n)
	return n > 0
}

// rollingStop: two machines get SIGTERM one second apart, the one with the server first, while requests
// run that were taken by the other.
func rollingStop(w *world, trouble bool) bool {
	const (
		work  = 5 * time.Second
		gap   = time.Second
		grace = 6 * time.Second
	)
	save := route{name: "long-save", prefix: "/save/", kind: "unsafe", service: "pages", timeoutS: 6, targetS: 6, priority: 1}
	r1, r2, in := w.addMachine("sidecar-lj-a-1", "lj-a", "pages"), w.addMachine("sidecar-lj-b-1", "lj-b", "pages"), w.addMachine("sidecar-lj-c-1", "lj-c", "finder")
	w.configure(7, []string{"finder", "pages"}, []route{save})
	for _, m := range w.machines {
		m.start()
		m.startServer(12, 48, work)
	}
	w.awaitReady(15*time.Second, r1, r2, in)
	time.Sleep(stableS + time.Second)
	var stopping time.Time // of the machine that takes the requests
	go func() {
		if !trouble {
			return
		}
		for _, m := range []*machine{r1, in} {
			m.stopAndStart(grace)
			if m == in {
				stopping = time.Now()
				return
			}
			time.Sleep(gap)
		}
	}()
	sent := w.load(16, 1200*time.Millisecond, func() *request { return w.newRequest("POST", "/save/1", 6*time.Second) }, in)
	n := 0
	for _, r := range sent {
		if r.stamp != "" || r.brokenAt.IsZero() {
			continue
		}
		end, cut := r.ranAt.Add(work).Sub(stopping), r.brokenAt.Sub(stopping)
		w.logf("%s: sent %.3f s after the SIGTERM of %s, broken off at %.3f s, its run would have ended at %.3f s, status %d",
			r.id, r.sent.Sub(stopping).Seconds(), in.name, cut.Seconds(), end.Seconds(), r.status)
		// Runs that would have lasted into the last sixth of graceS don't count.
		if end < grace*5/6 {
			w.logf("LOST: %s", r.id)
			n++
		}
	}
	fmt.Printf("%d of %d requests were broken off and would have ended before the last sixth of graceS\n", n, len(sent))
	return n > 0
}

// staleDirectory: machines are removed for good without SIGTERM and others come in their place; then
// the processes on all machines are killed.
func staleDirectory(w *world, trouble bool) bool {
	const removed, services = 70, 8
	var names []string
	var routes []route
	for n := range services {
		names = append(names, fmt.Sprintf("service-%d", n))
		routes = append(routes, route{name: fmt.Sprintf("r-%d", n), prefix: fmt.Sprintf("/s%d/", n), kind: "safe", service: names[n], timeoutS: 1.5, targetS: 0.5})
	}
	w.configure(7, names, routes)
	zones := []string{"lj-a", "lj-b", "lj-c"}
	var gone, live []*machine
	for n := range removed {
		gone = append(gone, w.addMachine(fmt.Sprintf("sidecar-lj-a-%d", n+1), "lj-a", names[n%services]))
	}
	for n := range services {
		zone := zones[n%3]
		live = append(live, w.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, removed+n+1), zone, names[n]))
	}
	begin := func(m *machine) {
		m.start()
		m.startServer(12, 48, 20*time.Millisecond)
	}
	for _, m := range live {
		begin(m)
	}
	w.awaitReady(15*time.Second, live...)
	// What takes a day is played in half a minute: each machine that fails lives for some seconds.
	const batch = 14
	for from := 0; from < removed; from += batch {
		list := gone[from : from+batch]
		for _, m := range list {
			begin(m)
		}
		w.awaitReady(30*time.Second, list...)
		time.Sleep(time.Second)
		for _, m := range list {
			m.server.end()
			if trouble {
				m.kill()
			} else {
				m.signal(syscall.SIGTERM) // they are removed in an orderly way
			}
		}
		w.logf("%s to %s are removed for good", list[0].name, list[batch-1].name)
	}
	time.Sleep(9 * time.Second)
	n := 0
	next := func() *request { // the requests of each machine go to all services in turn
		n++
		return w.newRequest("GET", fmt.Sprintf("/s%d/1", (n+n/services)%services), 1500*time.Millisecond)
	}
	before := w.load(40, 4*time.Second, next, live...)
	w.logf("before the final fault: served %d of %d", served(before), len(before))
	for _, m := range live {
		m.kill()
	}
	w.logf("the processes on all machines are killed")
	time.Sleep(time.Second)
	for _, m := range live {
		m.start()
	}
	time.Sleep(recoveryS + time.Second)
	after := w.load(40, 5*time.Second, next, live...)
	w.logf("later than recoveryS after the machines are back: served %d of %d", served(after), len(after))
	fmt.Printf("served before %d of %d, after %d of %d\n", served(before), len(before), served(after), len(after))
	return served(before)*4 >= len(before) && served(after)*4 < len(after)
}

// largeBodies: clients send bodies within maxBodyBytes at the same time as others send small ones.
func largeBodies(w *world, trouble bool) bool {
	save := route{name: "page-save", prefix: "/save/", kind: "unsafe", service: "pages", timeoutS: 8, targetS: 2, priority: 1}
	a, b, c := w.addMachine("sidecar-lj-a-1", "lj-a", "finder"), w.addMachine("sidecar-lj-b-1", "lj-b", "pages"), w.addMachine("sidecar-lj-c-1", "lj-c", "pages")
	w.configure(7, []string{"finder", "pages"}, []route{save})
	for _, m := range w.machines {
		m.start()
		m.startServer(12, 48, 290*time.Millisecond)
	}
	w.awaitReady(15*time.Second, a, b, c)
	time.Sleep(stableS + time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var guards sync.WaitGroup
	for _, m := range w.machines {
		guards.Go(func() { m.guardMemory(ctx) })
	}
	size := int64(24000) // the largest body of the site's requests
	if trouble {
		size = 60 << 20
	}
	// At most half of the link of 1,000 Mbit/s is used.
	const bodies, bytesPerSecond = 5, 12 << 20
	var large sync.WaitGroup
	for range bodies {
		large.Go(func() {
			time.Sleep(4 * time.Second)
			r := w.newRequest("POST", "/save/large", 8*time.Second)
			r.body, r.size = io.LimitReader(&paced{bytesPerSecond: bytesPerSecond}, size), size
			w.send(a, r)
		})
	}
	small := w.load(25, 10*time.Second, func() *request {
		r := w.newRequest("POST", "/save/1", 2*time.Second)
		r.kept, r.size = true, 4000
		r.body = io.LimitReader(zeros{}, r.size)
		return r
	}, a)
	large.Wait()
	cancel()
	guards.Wait()
	lost := 0
	for _, r := range small {
		if len(r.runs) > 0 && r.reused && r.ended {
			lost++
			w.logf("LOST: %s was passed on from a kept connection and run by %v; the connection ended without an answer", r.id, r.runs)
		}
	}
	for _, m := range w.machines {
		w.logf("%s: peak %d MiB of %d, killed %d times", m.name, m.peakMB.Load(), memoryMB, m.kills)
	}
	fmt.Printf("peak %d MiB of %d, %d requests lost\n", a.peakMB.Load(), memoryMB, lost)
	return lost > 3
}

// paced is a body that is sent at a limited rate.
type paced struct {
	bytesPerSecond int
	began          time.Time
	sent           int
}

func (p *paced) Read(b []byte) (int, error) {
	if p.began.IsZero() {
		p.began = time.Now()
	}
	b = b[:min(len(b), 64<<10)]
	p.sent += len(b)
	time.Sleep(time.Until(p.began.Add(time.Duration(float64(p.sent) / float64(p.bytesPerSecond) * float64(time.Second)))))
	return zeros{}.Read(b)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'z'
	}
	return len(p), nil
}
