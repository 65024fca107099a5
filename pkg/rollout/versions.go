package rollout

import (
	"math"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// replacedAfter is the time without any server of the version of a service after which another version
// takes its place. Otherwise a service whose servers were all replaced without an order would never get
// requests again. It is longer than a restart of a server takes.
const replacedAfter = 10 * time.Second

// startSpread is the time within which the servers of a service that start together become ready.
const startSpread = 5 * time.Second

// Versions tracks the version of each service and the roll-outs that a daemon knows. It keeps the last
// state of a roll-out when its coordinator is gone. It is not safe for concurrent use.
type Versions struct{ services map[string]*serviceVersions }

// serviceVersions is what Versions knows of a service.
type serviceVersions struct {
	// base is the version of the service, empty while unknown. fixed means that it no longer follows the
	// majority of the servers.
	base  string
	fixed bool
	entry Entry
	// closed is the number of the last order that no longer counts.
	closed uint64
	// missing is when the last server of base disappeared, zero if there is one.
	missing time.Time
}

func (v *Versions) of(service string) *serviceVersions {
	if v.services == nil {
		v.services = map[string]*serviceVersions{}
	}
	s := v.services[service]
	if s == nil {
		s = &serviceVersions{}
		v.services[service] = s
	}
	return s
}

// Learn takes over an entry and reports whether it is news.
func (v *Versions) Learn(e Entry) bool {
	if !e.valid() {
		return false
	}
	s := v.of(e.Service)
	if e.Order <= s.closed || !e.Replaces(s.entry) {
		return false
	}
	s.entry = e
	s.apply()
	return true
}

// apply takes the version of the service from the entry.
func (s *serviceVersions) apply() {
	switch {
	case s.entry.Phase == Completed:
		s.base, s.fixed = s.entry.Target, true
	case s.entry.From != "":
		s.base, s.fixed = s.entry.From, true
	case s.base == s.entry.Target:
		s.base, s.fixed = "", false
	}
	s.missing = time.Time{}
}

// Entry returns the last entry of a service, the zero value if there is none.
func (v *Versions) Entry(service string) Entry {
	if s := v.services[service]; s != nil {
		return s.entry
	}
	return Entry{}
}

// Base returns the version of a service, empty if it is unknown.
func (v *Versions) Base(service string) string {
	if s := v.services[service]; s != nil {
		return s.base
	}
	return ""
}

// Update takes the versions of services from their servers. While settled is false, the records may be
// incomplete, and the versions follow the majority of the ready servers.
func (v *Versions) Update(now time.Time, byService map[string][]endpoint.Record, settled bool) {
	for service, records := range byService {
		if s := v.services[service]; s != nil || hasVersion(records) {
			v.of(service).update(now, records, settled)
		}
	}
}

func hasVersion(records []endpoint.Record) bool {
	for i := range records {
		if records[i].Version != "" {
			return true
		}
	}
	return false
}

func (s *serviceVersions) update(now time.Time, records []endpoint.Record, settled bool) {
	if !s.fixed {
		if base := majority(records, s.entry.Target); base != "" {
			s.base, s.fixed = base, settled
		}
		return
	}
	if s.isRunning() || anyOf(records, s.base) {
		s.missing = time.Time{}
		return
	}
	if s.missing.IsZero() {
		s.missing = now
	}
	if now.Sub(s.missing) < replacedAfter {
		return
	}
	if base := majority(records, ""); base != "" {
		s.closed = max(s.closed, s.entry.Order)
		s.base, s.missing = base, time.Time{}
		s.entry = Entry{}
	}
}

// isRunning reports whether a roll-out is in progress.
func (s *serviceVersions) isRunning() bool { return s.entry.Order > 0 && !s.entry.Phase.Final() }

// anyOf reports whether there is a server of the version, or one of unknown version, in any state.
func anyOf(records []endpoint.Record, version string) bool {
	for i := range records {
		if v := records[i].Version; v == "" || v == version {
			return true
		}
	}
	return false
}

// majority returns the version of most of the ready servers other than except that became ready with the
// first one, in a tie the version of the server that was ready first. The servers of a new version are started beside those of the old one, perhaps more of them.
func majority(records []endpoint.Record, except string) string {
	eligible := func(r *endpoint.Record) bool {
		return r.State == endpoint.Ready && r.Version != "" && r.Version != except
	}
	first := int64(math.MaxInt64)
	for i := range records {
		if r := &records[i]; eligible(r) {
			first = min(first, r.ReadySinceMS)
		}
	}
	counts, since := map[string]int{}, map[string]int64{}
	for i := range records {
		r := &records[i]
		if !eligible(r) || r.ReadySinceMS-first > startSpread.Milliseconds() {
			continue
		}
		if counts[r.Version]++; counts[r.Version] == 1 || r.ReadySinceMS < since[r.Version] {
			since[r.Version] = r.ReadySinceMS
		}
	}
	best := ""
	for version, n := range counts {
		older := since[version] < since[best] || since[version] == since[best] && version < best
		if n > counts[best] || n == counts[best] && older {
			best = version
		}
	}
	return best
}

// Traffic returns the traffic of each service whose servers are distinguished by version.
func (v *Versions) Traffic() map[string]Traffic {
	all := make(map[string]Traffic, len(v.services))
	for service, s := range v.services {
		if s.entry.Order > 0 {
			all[service] = s.entry.Traffic(s.base)
		} else if s.base != "" {
			all[service] = Traffic{Base: s.base}
		}
	}
	return all
}
