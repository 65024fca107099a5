package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/pkg/usagecap"
)

func init() { cases["quota"] = quotaInCut }

// The usage cap of the tenant, and the bounds of the rule QUOTA.
const (
	ratePerS    = 300
	burst       = 300
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
)

const (
	tenantKey = "nr26tta828m82thhkmgj"
	// usualLoad is what the tenant usually asks for, as a share of its rate; hotTimes is how many times as much it
	// asks for while it is hot, for hotTime.
	usualLoad = 0.7
	hotTimes  = 7.5
	hotTime   = 6500 * time.Millisecond
	cutTime   = 5500 * time.Millisecond
	// probeTurn is the interval at which a daemon probes other zones. The cut begins cutPhase after a turn.
	probeTurn = 3 * time.Second
	cutPhase  = 500 * time.Millisecond
	// sendersPerMachine share the requests of the clients of one machine.
	sendersPerMachine = 50
)

// tenantOwnedBy returns the name of a tenant whose cap is kept by the daemon of m.
func tenantOwnedBy(d *deployment, m *machine) string {
	var others []usagecap.Member
	for _, other := range d.machines {
		if other != m {
			others = append(others, usagecap.Member{Instance: other.name, Addr: netip.MustParseAddrPort(fmt.Sprintf("%s:%d", other.ip, portPeer))})
		}
	}
	now := usagecap.Instant{Mono: time.Hour, Wall: time.Hour}
	fleet := usagecap.NewFleet(now, m.name, usagecap.Instant{}, others, len(d.machines))
	for n := 0; ; n++ {
		name := fmt.Sprintf("pulo%d", 780+n)
		if _, _, own := fleet.Owner(usagecap.Hash(name)); own {
			return name
		}
	}
}

// quotaInCut: a tenant becomes hot as the zone with the daemon that keeps its usage cap is cut off.
func quotaInCut(d *deployment, trouble bool) string {
	d.bounds = map[string]string{"bounds.quotaWindowS": "5", "bounds.quotaExcess": "0.1", "bounds.quotaSlack": "20"}
	for n, zone := range []string{"za", "zb", "zc"} {
		d.add(fmt.Sprintf("m%d", n+1), zone, "pages")
	}
	l := newLinks(d)
	tenant := tenantOwnedBy(d, d.machines[0])
	text := strings.TrimSuffix(string(configuration(7, "pages")), "}")
	d.store.Put("op", "config", fmt.Appendf(nil, `%s,"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[[%q,[%q],1,%d,%d]]}}`,
		text, tenant, tenantKey, ratePerS, burst))
	var servers []*server
	for _, m := range d.machines {
		m.start()
	}
	for _, m := range d.machines {
		m.awaitReady(readyLimit)
		s := newServer(m, "i-"+m.name)
		s.work = 0
		s.announce()
		servers = append(servers, s)
	}
	time.Sleep(2 * settleTime)

	var load atomic.Value // requests per second at each machine
	load.Store(usualLoad * ratePerS / float64(len(d.machines)))
	sent := &sync.Map{}
	var clients sync.WaitGroup
	var stop atomic.Bool
	for _, m := range d.machines {
		for c := range sendersPerMachine {
			clients.Go(func() { m.sendKeyed(c, &load, sent, &stop) })
		}
	}
	time.Sleep(2 * settleTime)
	now := time.Now()
	time.Sleep(now.Truncate(probeTurn).Add(probeTurn + cutPhase).Sub(now))
	if trouble {
		l.cutZone.Store("za")
		d.rec.log("zone za is cut off from the others")
		time.AfterFunc(cutTime, func() { l.cutZone.Store(""); d.rec.log("the links of zone za are back") })
	}
	time.Sleep(100 * time.Millisecond)
	load.Store(usualLoad * hotTimes * ratePerS / float64(len(d.machines)))
	d.rec.log("the tenant becomes hot")
	time.Sleep(hotTime)
	load.Store(usualLoad * ratePerS / float64(len(d.machines)))
	time.Sleep(settleTime)
	stop.Store(true)
	clients.Wait()
	return d.quotaBroken(servers, sent)
}

// sendKeyed sends requests of the tenant to the daemon of m over a kept connection until stop is set.
func (m *machine) sendKeyed(sender int, load *atomic.Value, sent *sync.Map, stop *atomic.Bool) {
	client := &http.Client{Timeout: timeBudget, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	next := time.Now().Add(time.Duration(sender) * 17 * time.Millisecond)
	for n := 0; !stop.Load(); n++ {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(sendersPerMachine / load.Load().(float64) * float64(time.Second)))
		if next.Before(time.Now()) {
			next = time.Now()
		}
		id := fmt.Sprintf("%s-%d-%d", m.name, sender, n)
		r, err := http.NewRequest(http.MethodGet, "http://"+m.outbound+"/pages/view/page", nil)
		check(err)
		r.Host = host
		r.Header.Set(headerRequest, id)
		r.Header.Set("Authorization", "Bearer "+tenantKey)
		r.Header.Set("Kingcupwood-Request-Deadline", fmt.Sprint(timeBudget.Milliseconds()))
		sent.Store(id, time.Now())
		status := 0
		if response, err := client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			status = response.StatusCode
		}
		m.d.rec.log("client of %s got %d for %s", m.name, status, id)
	}
}

// quotaBroken returns what broke the rule QUOTA: in some window, more requests were both sent and reached a server
// that ran them than the rule allows.
func (d *deployment) quotaBroken(servers []*server, sent *sync.Map) string {
	type passed struct{ sent, ran time.Time }
	var all []passed
	for _, s := range servers {
		for _, r := range s.runsSince(time.Time{}) {
			if at, ok := sent.Load(r.id); ok {
				all = append(all, passed{at.(time.Time), r.at})
			}
		}
	}
	slices.SortFunc(all, func(a, b passed) int { return a.sent.Compare(b.sent) })
	allowed := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack
	most, start := 0, time.Time{}
	for i, first := range all {
		end, count := first.sent.Add(quotaWindow), 0
		for _, p := range all[i:] {
			if p.sent.After(end) {
				break
			}
			if !p.ran.After(end) {
				count++
			}
		}
		if count > most {
			most, start = count, first.sent
		}
	}
	d.rec.log("%d requests ran; at most %d in a window of %s, from %.3f on; %.0f are allowed", len(all), most, quotaWindow, start.Sub(d.rec.began).Seconds(), allowed)
	if float64(most) <= allowed {
		return ""
	}
	return fmt.Sprintf("QUOTA: %d requests of the tenant were sent and ran in %s; %.0f are allowed", most, quotaWindow, allowed)
}
