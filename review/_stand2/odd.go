package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["odd-heartbeat"] = oddHeartbeats }

const (
	// recoveryTime is recoveryS of the site file, countTime the time after it in which requests count.
	recoveryTime = 15 * time.Second
	countTime    = 10 * time.Second
	// oddSequence is the seq of the heartbeats of the other writer.
	oddSequence = 1_000_000
)

// oddHeartbeats: all daemons are killed and start again, as in a final fault. Then each gets one heartbeat of another
// writer, which names a service that there is not. The servers go on as before.
func oddHeartbeats(d *deployment, trouble bool) string {
	newMesh(d)
	began := time.Now()
	run := func(length time.Duration) (served, all int) {
		d.mu.Lock()
		clear(d.statuses)
		d.mu.Unlock()
		var clients sync.WaitGroup
		for _, m := range d.machines {
			m.runClients(&clients, "pages", time.Now().Add(length))
		}
		clients.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, status := range d.statuses {
			if status == http.StatusOK {
				served++
			}
		}
		return served, len(d.statuses)
	}
	servedBefore, allBefore := run(settleTime)
	d.rec.log("before the final fault, %d of %d requests are served", servedBefore, allBefore)
	for _, m := range d.machines {
		m.process.Kill()
	}
	d.rec.log("all daemons are killed, %s after the first request", time.Since(began).Round(time.Millisecond))
	time.Sleep(time.Second)
	for _, m := range d.machines {
		m.start()
	}
	back := time.Now()
	for _, m := range d.machines {
		m.awaitReady(readyLimit)
	}
	time.Sleep(2 * beatInterval) // each server has sent a heartbeat
	if trouble {
		for _, s := range d.servers {
			s.tell(s.m.control, http.MethodPut, fmt.Appendf(nil,
				`{"address":%q,"info":{"service":"nosuch1","version":"v1","zone":%q,"slots":12},"status":{"state":"ready","seq":%d,"coldLeftS":0},"born":%d}`,
				s.address, s.m.zone, oddSequence, s.born))
		}
		d.rec.log("each daemon has got one heartbeat of another writer")
	}
	time.Sleep(time.Until(back.Add(recoveryTime)))
	served, all := run(countTime)
	d.rec.log("later than recoveryS after the daemons are back, %d of %d requests are served", served, all)
	if 4*servedBefore >= allBefore && 4*served < all {
		return fmt.Sprintf("RECOVER: %d of %d requests are served later than recoveryS after the machines are back, %d of %d before the final fault",
			served, all, servedBefore, allBefore)
	}
	return ""
}
