package usagecap

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// JoinGrace is the time after its start from which a daemon owns accounts and lends. By then all daemons know it,
	// so that they change to the new owner at the same time.
	JoinGrace = 3 * time.Second
	// PauseHold is the time for which a daemon lends nothing after a pause of at least MinPause, in which another
	// daemon may have become the owner. It learns of that with the acks of its first probes.
	PauseHold = 2 * time.Second
	// MinPause is shorter than the time in which the other members declare a daemon dead.
	MinPause = 2 * time.Second
	// partitionHold is the time for which a daemon that owns accounts because a domain became unreachable lends
	// nothing: the other side may detect the partition that much later and lends at the full rate until then. A
	// domain probes each other one once a second, so that by its timeouts a side of one machine knows of the partition of
	// all other domains 0.4 to 2.2 s after it. In the model of pkg/membership with larger domains, the first daemon of a side
	// and the last one of the other were 1.2 to 2.4 s apart; what is left of that is within half of the tolerance.
	partitionHold = 2 * time.Second
	// partitionTime is the time within which an owner has reduced its share after a partition.
	partitionTime = 2500 * time.Millisecond
	// riseHold is the time for which a larger share is not used, since an owner on the other side of a partition
	// that has ended may learn of it later, by 0.9 s at most in that model.
	riseHold = 1500 * time.Millisecond
)

// Presence is the state of a member.
type Presence uint8

// The states of a member.
const (
	Live Presence = iota
	Suspect
	// Unreachable is a member of a domain that cannot be reached.
	Unreachable
	Dead
	// Left is a member that left in order; it does not count.
	Left
)

// Member is a daemon as seen by membership.
type Member struct {
	Instance string
	Addr     netip.AddrPort
	Presence Presence
	// Since is the time at which the member became unreachable or dead or left.
	Since Instant
	// StartedWall is the start of the daemon by its own wall clock.
	StartedWall time.Duration
}

// Fleet is an immutable view of the members from which the owners of accounts follow.
type Fleet struct {
	self  uint64
	live  []candidate
	past  []pastOwner
	share float64
	// lone is the share of a single daemon, 0 if this daemon knows of no other one.
	lone float64
	// ready is the time from which this daemon may lend; owns reports whether it had passed.
	ready Instant
	owns  bool
	// young holds the members that become candidates, the next one first.
	young []youngMember
}

type youngMember struct {
	candidate
	due time.Duration // by the wall clock
}

type candidate struct {
	hash uint64
	addr netip.AddrPort
}

type pastOwner struct {
	hash  uint64
	until Instant
}

// NewFleet returns the fleet as seen by the daemon self, which may lend from ready on. known is a lower bound of the
// number of daemons, such as from the directory. A daemon has no share while that is 0 and it has no other member.
func NewFleet(now Instant, self string, ready Instant, members []Member, known int) *Fleet {
	f := &Fleet{self: Hash(self), ready: ready, owns: now.reached(ready)}
	reachable, total := 1, 1
	for i := range members {
		m := &members[i]
		if m.Instance == self {
			continue
		}
		if m.Presence != Left {
			total++
		}
		if m.Presence == Live {
			reachable++
		}
		f.add(now, m)
	}
	slices.SortFunc(f.young, func(a, b youngMember) int { return cmp.Compare(a.due, b.due) })
	if all := max(total, known); all > 1 || known > 0 {
		f.share = float64(reachable) / float64(all)
		if all > 1 {
			f.lone = 1 / float64(all)
		}
	}
	return f
}

func (f *Fleet) add(now Instant, m *Member) {
	hash := Hash(m.Instance)
	switch m.Presence {
	case Live, Suspect:
		due := m.StartedWall + JoinGrace
		// A start that lies far in the future comes from a clock that is set wrong and is not considered.
		if left := due - now.Wall; left <= 0 || left > 2*JoinGrace {
			f.live = append(f.live, candidate{hash, m.Addr})
			return
		}
		f.young = append(f.young, youngMember{candidate{hash, m.Addr}, due})
		// An earlier process of this instance may have lent until then.
		f.past = append(f.past, pastOwner{hash, Instant{now.Mono - now.Wall + m.StartedWall, m.StartedWall}})
	case Unreachable:
		f.past = append(f.past, pastOwner{hash, m.Since.Add(partitionHold)})
	default:
		f.past = append(f.past, pastOwner{hash, m.Since})
	}
}

// due reports whether another member, or this daemon, has become a candidate.
func (f *Fleet) due(now Instant) bool {
	return len(f.young) > 0 && now.Wall >= f.young[0].due || !f.owns && now.reached(f.ready)
}

// grown returns the fleet with the members that have become candidates. The list of candidates may share its memory
// with that of f, so that only the newest fleet may grow. Without the exact time of the change, the former and the
// next owner of an account would both lend until their views are renewed.
func (f *Fleet) grown(now Instant) *Fleet {
	c := *f
	c.owns = now.reached(f.ready)
	for len(c.young) > 0 && now.Wall >= c.young[0].due {
		c.live = append(c.live, c.young[0].candidate)
		c.young = c.young[1:]
	}
	return &c
}

// Share returns the fraction of the members that this daemon sees.
func (f *Fleet) Share() float64 { return f.share }

// Lone returns the fraction of a single daemon, 0 if this daemon knows of no other one.
func (f *Fleet) Lone() float64 { return f.lone }

// Owner returns the address of the daemon that owns the account with the given hash of its name, and its hash. self
// reports that it is this daemon.
func (f *Fleet) Owner(account uint64) (addr netip.AddrPort, owner uint64, self bool) {
	var best uint64
	owner, self = f.self, true
	if f.owns {
		best = mix(f.self ^ account)
	}
	for i := range f.live {
		if score := mix(f.live[i].hash ^ account); score > best {
			best, addr, owner, self = score, f.live[i].addr, f.live[i].hash, false
		}
	}
	return addr, owner, self
}

// Tenure returns whether this daemon may lend the tokens of an account, and since when.
func (f *Fleet) Tenure(account uint64, share float64) Tenure {
	if _, _, self := f.Owner(account); !self {
		return Tenure{}
	}
	if !f.owns {
		// Until another daemon owns accounts, as after a restart of all, a daemon uses the share of a single one
		// from its start on. The owners of a living fleet do not use that share, since they do not count this daemon.
		return Tenure{Own: f.lone > 0, Since: f.ready.Add(-JoinGrace), Share: f.lone}
	}
	own, since := mix(f.self^account), f.ready
	for _, p := range f.past {
		if mix(p.hash^account) > own && p.until.Wall > since.Wall {
			since = p.until
		}
	}
	return Tenure{Own: true, Since: since, Share: share}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ShareFilter delays larger shares by riseHold; the first one and smaller ones apply at once.
type ShareFilter struct {
	share, pending float64
	pendingAt      Instant
	rising         bool
	primed         bool
}

// Update returns the share to use, given the one that the daemon sees now.
func (s *ShareFilter) Update(now Instant, seen float64) float64 {
	switch {
	case !s.primed || seen <= s.share:
		s.primed = true
		s.share, s.rising = seen, false
	case !s.rising:
		s.rising, s.pending, s.pendingAt = true, seen, now
	default:
		s.pending = min(s.pending, seen)
		if now.leastSince(s.pendingAt) >= riseHold {
			s.share, s.rising = s.pending, false
		}
	}
	return s.share
}
