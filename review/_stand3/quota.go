package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The tenant and the bounds of its cap. The daemon of the first machine owns the cap of the tenant of this name.
const (
	tenantName              = "tenant-14"
	tenantRate              = 200.0
	tenantBurst             = 200.0
	quotaWindow             = 5 * time.Second
	quotaExcess             = 0.1
	quotaSlack              = 20.0
	loadFactor              = 3 // times the cap
	clientsOfMachine        = 8
	loadTime                = 66 * time.Second
	killEvery               = 2500 * time.Millisecond
	crashes                 = 24
	quotaMachines           = 6
	restartAfterCrash       = time.Second
	allowed                 = (tenantRate*5+tenantBurst)*(1+quotaExcess) + quotaSlack
	firstRequest      int64 = 0xd0000000
)

// quotaRequest is one request of the tenant.
type quotaRequest struct {
	id        string
	machine   string
	sent, ran time.Time
	status    int
}

// quota plays a daemon that crashes and starts again, over and over, while a tenant sends three times its cap.
func quota(rec *record, trouble bool) int {
	w, err := newWorld(rec)
	if err != nil {
		return noRun
	}
	defer w.close()
	w.caps, restartDelay = true, restartAfterCrash
	var mu sync.Mutex
	requests := map[string]*quotaRequest{}
	for i := range quotaMachines {
		m := w.add([]string{"rw-central-a", "rw-central-b", "rw-central-c"}[i%3], "intake")
		s, err := startServer(m, "i-"+m.name, 60)
		if err != nil {
			return noRun
		}
		s.run = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
			mu.Lock()
			defer mu.Unlock()
			if q := requests[r.Header.Get(headerRequest)]; q != nil && q.ran.IsZero() {
				q.ran = time.Now()
			}
			return false
		}
	}
	w.store.Put("op", "config", []byte(quotaConfiguration()))
	if !w.startAll() {
		return noRun
	}
	var next atomic.Int64
	var all sync.WaitGroup
	began := time.Now()
	end := began.Add(loadTime)
	gap := time.Duration(float64(clientsOfMachine*quotaMachines) / (loadFactor * tenantRate) * float64(time.Second))
	for _, m := range w.machines {
		for range clientsOfMachine {
			all.Go(func() {
				c := &client{m: m, extra: "Authorization: Bearer key-1\r\n"}
				defer c.close()
				for time.Now().Before(end) {
					q := &quotaRequest{id: fmt.Sprintf("%016x", firstRequest+next.Add(1)), machine: m.name, sent: time.Now()}
					mu.Lock()
					requests[q.id] = q
					mu.Unlock()
					a := c.send("GET", "/get/x", q.id, time.Second, 0)
					mu.Lock()
					q.status = a.status
					mu.Unlock()
					time.Sleep(gap - time.Since(q.sent))
				}
			})
		}
	}
	if trouble {
		time.Sleep(time.Second)
		for range crashes {
			w.machines[0].signal(syscall.SIGKILL)
			time.Sleep(killEvery)
		}
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	return judgeQuota(rec, requests, began)
}

// judgeQuota looks for the window with the most requests that were both sent and run in it.
func judgeQuota(rec *record, requests map[string]*quotaRequest, began time.Time) int {
	var ran []*quotaRequest
	statuses := map[int]int{}
	for _, q := range requests {
		statuses[q.status]++
		if !q.ran.IsZero() {
			ran = append(ran, q)
		}
	}
	slices.SortFunc(ran, func(a, b *quotaRequest) int { return a.ran.Compare(b.ran) })
	most := map[int]int{}
	var worst []*quotaRequest
	for first, last := 0, 0; last < len(ran); last++ {
		for ran[last].ran.Sub(ran[first].sent) > quotaWindow {
			first++
		}
		second := int(ran[last].ran.Sub(began).Seconds())
		most[second] = max(most[second], last-first+1)
		if last-first+1 > len(worst) {
			worst = ran[first : last+1]
		}
	}
	rec.add("sent %d, ran %d, answers by status (0: none): %v", len(requests), len(ran), statuses)
	for second := range int(loadTime.Seconds()) + 1 {
		if most[second] > 0 {
			rec.quiet("windows that end in second %d of the load: at most %d requests sent and run, %.0f allowed", second, most[second], allowed)
		}
	}
	if len(worst) == 0 {
		return noRun
	}
	rec.add("worst window of 5 s: %d requests sent and run, %.0f allowed", len(worst), allowed)
	for _, q := range worst {
		rec.quiet("in that window: %s at %s, sent at %.3f s, ran at %.3f s, answer %d", q.id, q.machine, q.sent.Sub(began).Seconds(), q.ran.Sub(began).Seconds(), q.status)
	}
	if float64(len(worst)) > allowed {
		return broken
	}
	return held
}

func quotaConfiguration() string {
	return fmt.Sprintf(`{"version":"r3","routes":{"columns":["name","host","prefix","kind","timeoutS","targetLatencyS","priority","service","maxAttempts","weightedServices"],"rows":[%s]},`+
		`"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[["intake","/health",440,"h1",false]]},`+
		`"tenants":{"columns":["name","apiKeys","ratePerS","burst"],"rows":[[%q,["key-1"],%g,%g]]},`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`,
		route("r-get", "/get/", "safe", "intake", 2, 1), tenantName, tenantRate, tenantBurst)
}
