package selection

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/rollout"
)

// table is an immutable snapshot of the endpoints that this daemon uses.
type table struct {
	sets map[string]*set
}

// set holds the endpoints of one service. The field all is the concatenation of the other groups.
type set struct {
	local       []*member // own failure domain
	remote      []*member // other reachable domains
	unreachable []*member // last resort
	all         []*member
	// division is set on the set of the old version during a roll-out.
	division *division
	// alone holds the set itself.
	alone []*set
}

// statsKey identifies an endpoint across updates. A server that becomes ready again starts with
// empty statistics.
type statsKey struct {
	service      string
	instance     endpoint.InstanceID
	readySinceMS int64
}

// retained holds the statistics that are carried over from one table to the next: of endpoints, of
// services and of the kinds of each service.
type retained struct {
	stats    map[statsKey]*stats
	services map[string]*serviceStats
	kinds    map[string]*kindTable
	shares   map[shareKey]*share
}

// carryOver copies the value of key from one map to the other, or adds an empty one.
func carryOver[K comparable, V any](from, to map[K]*V, key K) *V {
	value := from[key]
	if value == nil {
		value = new(V)
	}
	to[key] = value
	return value
}

func keyOf(r endpoint.Record) statsKey {
	return statsKey{service: r.Service, instance: r.Instance, readySinceMS: r.ReadySinceMS}
}

// buildTable builds the table for v. old holds the statistics of the previous table; the second
// result holds those that the new table uses.
func buildTable(cfg Config, v *endpoint.View, traffic map[string]rollout.Traffic, old retained, now int64, rng func() uint64) (*table, retained) {
	t := &table{sets: make(map[string]*set, len(v.ByService))}
	kept := retained{
		stats: map[statsKey]*stats{}, services: map[string]*serviceStats{}, kinds: map[string]*kindTable{},
		shares: map[shareKey]*share{},
	}
	for service, records := range v.ByService {
		flow, distinguished := traffic[service]
		if !distinguished {
			t.add(service, buildSet(cfg, v, service, records, old, kept, now))
			continue
		}
		base, target := divide(&flow, records)
		s := buildSet(cfg, v, service, base, old, kept, now)
		if flow.Target != "" {
			t := buildSet(cfg, v, service, target, old, kept, now)
			s.division = &division{
				target: t, traffic: flow, share: keepShare(old, kept, shareKey{service, flow.Order}, rng),
				targetFirst: []*set{t, s}, baseFirst: []*set{s, t},
			}
		}
		t.add(service, s)
	}
	return t, kept
}

// add adds the set of a service if it has any endpoint.
func (t *table) add(service string, s *set) {
	if s.size() > 0 {
		t.sets[service] = s
	}
}

// buildSet builds the set of those records of a service that are ready.
func buildSet(cfg Config, v *endpoint.View, service string, records []endpoint.Record, old, kept retained, now int64) *set {
	s := &set{}
	s.alone = []*set{s}
	groups := readyByDomain(records)
	svc, kinds := carryOver(old.services, kept.services, service), carryOver(old.kinds, kept.kinds, service)
	// Domains are sorted so that runs with a fixed seed are repeatable.
	for _, domain := range slices.Sorted(maps.Keys(groups)) {
		for _, r := range subset(cfg, groups[domain]) {
			st := carryOver(old.stats, kept.stats, keyOf(r.Record))
			st.firstSeen.CompareAndSwap(0, now)
			m := newMember(r.Record, st, svc, kinds)
			if r.Instance != cfg.Instance {
				m.linkBytesPerSecond = float64(r.LinkBytesPerSecond)
			}
			s.add(m, domain == cfg.Domain, v.Unreachable[domain])
		}
	}
	s.all = slices.Concat(s.local, s.remote, s.unreachable)
	return s
}

func (s *set) add(m *member, local, unreachable bool) {
	switch {
	case local:
		s.local = append(s.local, m)
	case unreachable:
		s.unreachable = append(s.unreachable, m)
	default:
		s.remote = append(s.remote, m)
	}
}

func readyByDomain(records []endpoint.Record) map[string][]endpoint.Record {
	groups := map[string][]endpoint.Record{}
	for _, r := range records {
		if r.State == endpoint.Ready {
			groups[r.Domain] = append(groups[r.Domain], r)
		}
	}
	return groups
}

// scored is a record with its rendezvous hash for this daemon.
type scored struct {
	endpoint.Record
	score uint64
}

// subset returns the endpoints with the highest rendezvous hashes. When one endpoint is added or
// removed, at most one member of the subset changes.
func subset(cfg Config, group []endpoint.Record) []scored {
	list := make([]scored, len(group))
	for i, r := range group {
		list[i] = scored{Record: r, score: rendezvous(cfg.Instance, r.Instance)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	return list[:min(len(list), cfg.Subset)]
}

func rendezvous(daemon, instance endpoint.InstanceID) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(daemon))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(instance))
	return h.Sum64()
}
