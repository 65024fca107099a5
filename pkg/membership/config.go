// Package membership is a SWIM state machine: it turns ticks and received packets into packets to
// send and into a view of all endpoint records. It performs no I/O, starts no goroutines and takes
// the time as an argument, so that many instances can be run in virtual time.
//
// A State must be used by one goroutine at a time; only View may be called concurrently.
package membership

import (
	"net/netip"
	"time"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Protocol constants. The traffic and CPU bounds of the design page apply to their product.
const (
	// MaxPacketBytes keeps a packet below the usual MTU, so that it is never fragmented.
	MaxPacketBytes = 1200
	// TickInterval is the interval at which Tick is expected to be called.
	TickInterval = 100 * time.Millisecond
	// ProbeInterval separates two probes of members of the own failure domain.
	ProbeInterval = time.Second
	// ProbeTimeout is how long a direct probe waits for its ack. It must exceed the largest
	// round-trip time between regions.
	ProbeTimeout = 400 * time.Millisecond
	// DeadRetention is how long the record of a dead member is kept, so that late packets that
	// still call it alive are recognized as outdated.
	DeadRetention = 10 * time.Minute
	// PublishInterval is the longest of the shortest times between two views. Building one costs a copy of
	// the record map, so the time is publishPerMember for each member up to that.
	PublishInterval  = 250 * time.Millisecond
	publishPerMember = 250 * time.Microsecond

	// remoteInterval separates two probes of a daemon into other failure domains.
	remoteInterval = 3 * ProbeInterval
	// remoteShift is the number of turns after which the members exchange the domains that they probe.
	remoteShift = 20
	// indirectProbes is the number of members asked to probe one that did not answer.
	indirectProbes = 3
	// unreachableAfter is the number of distinct members of a domain that must fail in a row.
	unreachableAfter = 3
	// spreadChecks is the number of other domains checked when one is found unreachable. If it is
	// this domain that was cut off, all others are found within a few steps.
	spreadChecks = 4
	// hintFanout is the number of members told at once about a change of reachability or a leave.
	hintFanout = 8
	// versionFanout is the number of members of the own domain told at once about a new version in
	// force, besides one of another domain. At 0.27 versions/s it costs about 100 bytes/s. With
	// probes alone, daemons below dead lease holders did not follow within 5 s.
	versionFanout = 3
	// recordFanout is the number of members of each other domain that a daemon tells at once about a change of
	// its record, and deathFanout of those that it tells about the death of a member of its own domain.
	// The probes between domains alone take several rounds of remoteInterval.
	recordFanout = 2
	deathFanout  = 1
	// recheckPause is how long a domain that just answered is not checked again on a hint.
	recheckPause = 2 * time.Second
	// lateTick is the gap between ticks above which this daemon considers itself paused: packets
	// may have waited in the socket for longer than ProbeTimeout.
	lateTick = 300 * time.Millisecond
	// maxHealth bounds the multiplier of the timeouts to 1+maxHealth.
	maxHealth = 7
	// suspicionFactor multiplies log10 of the size of the domain; in probe intervals.
	suspicionFactor = 3
	// transmitFactor multiplies log10 of the number of members; with transmitBase added it is the
	// number of transmissions of an update by each member. A member misses an update with
	// probability exp(-transmissions); anti-entropy repairs that.
	transmitFactor = 3
	transmitBase   = 4
	// maxQueued bounds the updates that wait to be sent; anti-entropy repairs what is dropped.
	maxQueued = 2048
	// maxRelays bounds the indirect probes run for others at a time.
	maxRelays = 64
	// maxAhead bounds the list of peers known to hold a higher configuration version.
	maxAhead = 8
	// greetRate is the number of pings per second that all members together send to a dead one.
	greetRate = 3
	// mergeGossip is the number of changed records of one anti-entropy exchange that are passed
	// on with the probes. More than these would crowd out new changes.
	mergeGossip = 32
	// introductions is the number of changed records of one exchange up to which their own domains are told,
	// as after the join of a daemon, introducers the number of members of each domain that do so.
	introductions = 4
	introducers   = 3
	// maxFieldBytes bounds each text field of a record, so that every record fits in a packet.
	maxFieldBytes = 64
)

// Config is the configuration of a State.
type Config struct {
	// Local is the record of this instance: identity, failure domain, incarnation (start time in
	// milliseconds) and addresses.
	Local endpoint.Record
	// Reserve is the number of bytes of MaxPacketBytes that packets leave free, for what the sender of
	// the packets adds to them.
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
