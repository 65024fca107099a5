// Package membership implements the SWIM membership protocol as a state machine: ticks and received
// packets produce packets to send and a view of all endpoint records. It performs no I/O, starts no
// goroutines and takes the time as an argument, so that tests can run many instances in virtual
// time.
//
// A State is not safe for concurrent use, except for View.
package membership

import (
	"net/netip"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Protocol constants. Traffic and CPU use depend on all of them together; the design page states
// the bounds.
const (
	// MaxPacketBytes keeps a packet below the common MTU of 1500 bytes, so that it is not
	// fragmented.
	MaxPacketBytes = 1200
	// TickInterval is the interval at which Tick is expected to be called.
	TickInterval = 100 * time.Millisecond
	// ProbeInterval is the interval between probes of members of the local failure domain.
	ProbeInterval = time.Second
	// ProbeTimeout is how long a direct probe waits for its ack. It must exceed the largest
	// round-trip time between regions.
	ProbeTimeout = 400 * time.Millisecond
	// DeadRetention is how long the record of a dead member is kept, so that delayed packets that
	// report it alive are recognized as outdated.
	DeadRetention = 10 * time.Minute
	// PublishInterval is the upper bound of the minimum interval between two views. Building a view
	// copies the record map, so the minimum interval is publishPerMember for each member, up to
	// this bound.
	PublishInterval  = 250 * time.Millisecond
	publishPerMember = 250 * time.Microsecond

	// remoteInterval is the longest interval between a daemon's probes of other failure domains, domainInterval the
	// one at which the members of a small domain together probe each other domain. The time until both sides of a
	// partition know of it, and pkg/usagecap waits for that, would else grow as the domains get smaller.
	remoteInterval = 3 * ProbeInterval
	domainInterval = ProbeInterval
	// remoteShift is the number of turns after which each member moves on to a different sequence
	// of remote domains.
	remoteShift = 20
	// indirectProbes is the number of members that receive a request to probe a member that did not
	// answer.
	indirectProbes = 3
	// unreachableAfter is the number of distinct members of a domain that must fail in a row before
	// the domain is marked unreachable.
	unreachableAfter = 3
	// otherDomainChecks is the number of other domains checked when one is found unreachable. If
	// the local domain is the isolated one, all others are found unreachable within a few steps.
	otherDomainChecks = 4
	// hintFanout is the number of members that immediately receive a change of reachability or a
	// leave.
	hintFanout = 8
	// versionFanout is the number of members of the local domain that immediately receive a new
	// version in force, in addition to one of another domain. At 0.27 versions/s this costs about
	// 100 bytes/s. With probes alone, daemons below dead lease holders did not receive the version
	// within 5 s.
	versionFanout = 3
	// recordFanout is the number of members of each remote domain to which a daemon immediately
	// sends a change of its record; deathFanout is the same for the death of a member of its own
	// domain. Probes between domains alone would take several rounds of remoteInterval.
	recordFanout = 2
	deathFanout  = 1
	// recheckDelay is how long hints about a domain are ignored after it has answered.
	recheckDelay = 2 * time.Second
	// maxTickGap is the gap between ticks above which this daemon assumes that it was paused:
	// packets may have been in the socket buffer for longer than ProbeTimeout.
	maxTickGap = 300 * time.Millisecond
	// maxHealth bounds the multiplier of the timeouts to 1+maxHealth.
	maxHealth = 7
	// suspicionFactor times log10 of the size of the domain is the suspicion timeout in probe
	// intervals.
	suspicionFactor = 3
	// transmitBase plus transmitFactor times log10 of the number of members is the number of times
	// that each member transmits an update. A member misses an update with probability
	// exp(-transmissions); anti-entropy repairs that.
	transmitFactor = 3
	transmitBase   = 4
	// maxQueued bounds the queue of updates to send; anti-entropy repairs dropped ones.
	maxQueued = 2048
	// maxRelays bounds the concurrent indirect probes on behalf of other members.
	maxRelays = 64
	// maxAhead bounds the list of peers known to hold a higher configuration version.
	maxAhead = 8
	// deadPingRate is the number of pings per second that all members together send to each dead
	// member.
	deadPingRate = 3
	// maxGossipedMerges is the number of changed records of one anti-entropy exchange that are
	// gossiped. Larger sets are not, because they would delay new changes.
	maxGossipedMerges = 32
	// maxForwardedJoins is the number of changed records of one exchange up to which they are
	// forwarded to their own domains, as after the join of a daemon. joinForwarders is the expected
	// number of members of each domain that do so.
	maxForwardedJoins = 4
	joinForwarders    = 3
	// maxFieldBytes bounds each text field of a record, so that every record fits in a packet.
	maxFieldBytes = 64
)

// Config is the configuration of a State.
type Config struct {
	// Local is the record of this instance: identity, failure domain, incarnation (start time in
	// milliseconds) and addresses.
	Local endpoint.Record
	// Reserve is the number of bytes of MaxPacketBytes left free in each packet for data that the
	// transport adds, such as an authentication code.
	Reserve int
}

// Packet is a datagram to be sent to a member.
type Packet struct {
	To   netip.AddrPort
	Data []byte
}

// Status is the state of a member as seen by this daemon.
type Status uint8

// The states of a member.
const (
	Alive Status = iota
	Suspect
	Dead
)

// String returns the name of s.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}
