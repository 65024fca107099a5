package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// joinGrace is the time for which a server that became ready owns no keys. During it the other
// daemons learn of the server and hand over the outcomes of its keys.
const joinGrace = 2 * time.Second

// Owner returns the record of the daemon that owns key at the time now; see Owners.
func Owner(v *endpoint.View, service, key string, now time.Time) (endpoint.Record, bool) {
	owners := Owners(v, service, key, now)
	if len(owners) == 0 {
		return endpoint.Record{}, false
	}
	return owners[0], true
}

// Owners returns the current and upcoming owners of key in order of time: the first one owns it
// now, and each later one takes over when its server has been ready for joinGrace. All of them need
// the outcome of the key.
//
// An owner has the highest rendezvous hash among the instances of service with a server that is
// draining, or has been ready for joinGrace; if there is none, it is the instance that became ready
// first. A draining instance remains an owner until it is gone, because it hands over its keys only
// after its last request has ended.
func Owners(v *endpoint.View, service, key string, now time.Time) []endpoint.Record {
	return ownersAmong(ownerCandidates(v, service), key, now)
}

// ownersAmong returns the owners of key among list, which is in the order of ownerCandidates.
func ownersAmong(list []endpoint.Record, key string, now time.Time) []endpoint.Record {
	settled := now.Add(-joinGrace).UnixMilli()
	var owners []endpoint.Record
	var best *endpoint.Record
	var bestScore uint64
	for i := range list {
		r := &list[i]
		joining := r.ReadySinceMS > settled
		if joining && len(owners) == 0 && best != nil {
			owners = append(owners, *best)
		}
		score := xxhash.Sum64String(string(r.Instance) + "\x00" + key)
		if best != nil && score <= bestScore {
			continue
		}
		best, bestScore = r, score
		if joining {
			owners = append(owners, *best)
		}
	}
	if len(owners) == 0 && best != nil {
		owners = append(owners, *best)
	}
	return owners
}

// ownerCandidates returns the instances that can own keys of service, in the order in which they
// became ready.
func ownerCandidates(v *endpoint.View, service string) []endpoint.Record {
	list := make([]endpoint.Record, 0, len(v.ByService[service]))
	for _, r := range v.ByService[service] {
		if (r.State == endpoint.Ready || r.State == endpoint.Draining) && !v.Unreachable[r.Domain] {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b endpoint.Record) int {
		return cmp.Or(cmp.Compare(a.ReadySinceMS, b.ReadySinceMS), cmp.Compare(a.Instance, b.Instance))
	})
	return list
}
