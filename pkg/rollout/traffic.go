package rollout

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Traffic states which servers of a service get its requests. The zero value does not distinguish
// versions.
type Traffic struct {
	// Base is the version of the service. Servers of unknown version count as servers of Base.
	Base string
	// Target is the version to which requests move, empty without a roll-out.
	Target string
	// Share is the share of the requests that Target gets, at most FullShare.
	Share int
	// Order is the number of the order.
	Order uint64
	// Judged means that the target has been judged good. Before that it gets no more than Share, even if
	// no server of Base is available, and only some of its servers get requests.
	Judged bool
	// OnlyTarget means that the daemons beside servers of Base refuse requests.
	OnlyTarget bool
}

// Traffic returns the traffic for a roll-out. base is the version of the service if e does not state it.
func (e Entry) Traffic(base string) Traffic {
	if e.From != "" {
		base = e.From
	}
	switch e.Phase {
	case Completed:
		return Traffic{Base: e.Target}
	case RolledBack:
		return Traffic{Base: base}
	}
	return Traffic{
		Base: base, Target: e.Target, Share: e.Share, Order: e.Order,
		Judged: e.Phase >= Ramp, OnlyTarget: e.Phase == Handover,
	}
}

// IsTarget reports whether a server of the version gets the share of the target.
func (t *Traffic) IsTarget(version string) bool {
	return t.Target != "" && version == t.Target && version != t.Base
}

// IsBase reports whether a server of the version gets the other requests. This includes servers of
// unknown version, whose daemons may be of an earlier release.
func (t *Traffic) IsBase(version string) bool {
	return t.Base == "" && !t.IsTarget(version) || version == "" || version == t.Base
}

// Permits reports whether the daemon beside a server of the version accepts requests for it.
func (t *Traffic) Permits(version string) bool {
	return t.IsTarget(version) || t.IsBase(version) && !t.OnlyTarget
}

// Canaries returns those of the ready target servers that get requests: all of them after the judgement,
// and before it as many as then carry about the same load as the servers of the old version, so that
// faults under load show. All daemons choose the same ones.
func (t *Traffic) Canaries(target []endpoint.Record, oldSlots int) []endpoint.Record {
	if t.Judged || len(target) == 0 {
		return target
	}
	list := slices.Clone(target)
	score := func(r endpoint.Record) uint64 { return xxhash.Sum64String(t.Target + "\x00" + string(r.Instance)) }
	slices.SortFunc(list, func(a, b endpoint.Record) int {
		if x, y := score(a), score(b); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	needed := float64(t.Share) / float64(max(FullShare-t.Share, 1)) * float64(oldSlots)
	slots := 0.0
	for n, r := range list {
		own := float64(max(r.Slots, 1))
		// A server is added if the load is then nearer to that of the old servers.
		if n > 0 && needed < slots+own/2 {
			return list[:n]
		}
		slots += own
	}
	return list
}

// CanaryShare returns the share of the target before the judgement, in steps of 1/FullShare. exposure is
// the largest share that a bad version may get, beyond slack requests. Each daemon divides its requests
// by itself and may be off by one request, so the margin is larger if the slack does not cover one
// request of each daemon. oldServers is the number of servers of the old version.
func CanaryShare(exposure float64, slack, daemons, oldServers int) int {
	const margin, largeMargin = 0.95, 0.8
	limit := exposure * margin
	if daemons > slack {
		limit = exposure * largeMargin
	}
	// The largest number of target servers that the limit gives the load of an old server; at least one
	// gets less than that load.
	if servers := math.Floor(limit / (1 - min(limit, 0.99)) * float64(oldServers)); servers >= 1 {
		limit = min(limit, servers/(servers+float64(oldServers)))
	}
	return int(limit * FullShare)
}
