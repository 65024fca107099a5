package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cases holds the cases by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(d *deployment, trouble bool) string{
	"unknown-id": func(d *deployment, trouble bool) string { return leaveAfterCrash(d, trouble, "i-second") },
	"same-id":    func(d *deployment, trouble bool) string { return leaveAfterCrash(d, trouble, "i-first") },
	"outage":     leaveBeforeOutage,
}

const (
	readyLimit = 15 * time.Second
	// settleTime is the calm time before the first event.
	settleTime = 5 * time.Second
	// lateness is how late the one late heartbeat arrives.
	lateness = 3 * time.Second
	// lingerTime is how long a server that has left serves on, until it ends.
	lingerTime = 5500 * time.Millisecond
)

// newMesh starts two services on nine machines of three zones, as many as at the site zpwg-mesh. The first machine
// is the only one of its zone with a server of pages, which has eight servers.
func newMesh(d *deployment) (first *server) {
	d.store.Put("op", "config", configuration(7, "pages", "finder"))
	for n, zone := range []string{"za", "za", "zb", "zb", "zb", "zb", "zc", "zc", "zc"} {
		service := "pages"
		if n == 1 {
			service = "finder"
		}
		d.add(fmt.Sprintf("m%d", n+1), zone, service).start()
	}
	for n, m := range d.machines {
		m.awaitReady(readyLimit)
		id := "i-first"
		if n > 0 {
			id = "i-" + m.name
		}
		s := newServer(m, id)
		s.announce()
		d.servers = append(d.servers, s)
		if n == 0 {
			first = s
		}
	}
	time.Sleep(settleTime)
	return first
}

// leaveAfterCrash: a server crashes and starts again under the given ID. The first heartbeat of the new lifetime is
// late; before it arrives, the server leaves and the daemon confirms that. Without the trouble, the first lifetime
// leaves while one of its heartbeats is late.
func leaveAfterCrash(d *deployment, trouble bool, id string) string {
	leaving := newMesh(d)
	m := d.machines[0]
	slow := newRelay(fmt.Sprintf("%s:%d", m.ip, portSlowControl), m.control)
	slow.hold.Store(int64(lateness))
	var clients sync.WaitGroup
	end := time.Now().Add(lateness + lingerTime + settleTime)
	for _, other := range d.machines[1:] {
		other.runClients(&clients, "pages", end)
	}
	time.Sleep(time.Second)
	if trouble {
		leaving.crash()
		time.Sleep(500 * time.Millisecond)
		leaving = newServer(m, id)
	}
	late := leaving.beat()
	go leaving.tell(slowControl(m), http.MethodPut, late)
	time.Sleep(beatTimeout + 200*time.Millisecond)
	confirmed := leaving.leave()
	d.rec.log("the leaving of %s, born %d, is confirmed", leaving.id, leaving.born)
	time.Sleep(lingerTime)
	leaving.crash()
	clients.Wait()
	return d.drainBroken(leaving, confirmed.Add(drainTime), d.machines[1:]...)
}

func slowControl(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, portSlowControl) }

// drainBroken returns what broke the rule DRAIN if a server has run requests after the given time that clients of
// the given machines sent.
func (d *deployment) drainBroken(s *server, from time.Time, machines ...*machine) string {
	var late []run
	for _, r := range s.runsSince(from) {
		for _, m := range machines {
			if strings.HasPrefix(r.id, m.name+"-") {
				late = append(late, r)
			}
		}
	}
	if len(late) == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached %s later than drainS after its leaving was confirmed; %d saves among them that it had begun got no answer of it",
		len(late), s.id, d.unsuccessful(late))
}

// leaveBeforeOutage: a server leaves and the daemon confirms that. The daemon is killed and starts again while the
// store turns its machine away; then a heartbeat arrives that the server had sent before it left. Without the
// trouble, that heartbeat is as late. Only requests count that clients of the same machine sent, from stableS after
// the start on.
func leaveBeforeOutage(d *deployment, trouble bool) string {
	const (
		downTime = 500 * time.Millisecond
		outage   = 8 * time.Second
		lateness = 4500 * time.Millisecond
		// lingerTime is longer here, as the daemon is in touch again only stableS after its start.
		lingerTime = 8 * time.Second
	)
	leaving := newMesh(d)
	m := d.machines[0]
	var clients sync.WaitGroup
	end := time.Now().Add(lateness + lingerTime + settleTime)
	for _, each := range d.machines {
		each.runClients(&clients, "pages", end)
	}
	time.Sleep(time.Second)
	late := leaving.beat()
	time.AfterFunc(lateness, func() { leaving.tell(m.control, http.MethodPut, late) })
	confirmed := leaving.leave()
	d.rec.log("the leaving of %s is confirmed", leaving.id)
	from := confirmed.Add(drainTime)
	if trouble {
		m.process.Kill()
		m.storeBusy.Store(true)
		d.rec.log("daemon of m1 is killed, the store turns m1 away")
		time.AfterFunc(outage, func() { m.storeBusy.Store(false); d.rec.log("the store serves m1 again") })
		time.Sleep(downTime)
		m.start()
		if again := time.Now().Add(stableTime); again.After(from) {
			from = again
		}
	}
	time.Sleep(lingerTime)
	leaving.crash()
	clients.Wait()
	return d.drainBroken(leaving, from, m)
}
