package endpoint

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Departure is the end of the service of one backend server process, as confirmed to that process. No
// message that the process sent before makes it ready again.
type Departure struct {
	// ServerID and StartedMS identify the process. StartedMS is its start as Unix time in milliseconds if the
	// process itself has stated it, zero if the message that told of the departure names the ID only. The zero
	// Departure has no ServerID and stands for none.
	ServerID  string `json:"server_id"`
	StartedMS int64  `json:"started_ms,omitempty"`
	// At is the time of the confirmation.
	At time.Time `json:"at"`
}

// Covers reports whether a message of the process with this ID and start time comes from a process that has
// departed. Processes may follow each other under one ID: a departure that states a start covers that process and
// the earlier ones, and one that names the ID only covers all that started before the confirmation. A message
// without a start time cannot be told from theirs.
func (d Departure) Covers(serverID string, startedMS int64) bool {
	return d.ServerID != "" && d.ServerID == serverID && startedMS <= d.LastStartMS()
}

// NamesOnlyID reports whether the departure may be that of another process under the same ID.
func (d Departure) NamesOnlyID() bool { return d.StartedMS == 0 }

// LastStartMS is the latest start of a process that d covers, as Unix time in milliseconds.
func (d Departure) LastStartMS() int64 {
	if d.NamesOnlyID() {
		return d.At.UnixMilli()
	}
	return d.StartedMS
}

// DepartureMark is the short form of a Departure in the record of an instance, which other daemons remember.
type DepartureMark struct {
	// Server is the hash of the ID of the server, zero in the mark of no departure.
	Server uint64
	// LastStartMS is Departure.LastStartMS.
	LastStartMS int64
}

// Mark returns the short form of d.
func (d Departure) Mark() DepartureMark {
	if d.ServerID == "" {
		return DepartureMark{}
	}
	return DepartureMark{Server: xxhash.Sum64String(d.ServerID), LastStartMS: d.LastStartMS()}
}

// Covers is Departure.Covers, up to collisions of the hash.
func (m DepartureMark) Covers(serverID string, startedMS int64) bool {
	return m.Server != 0 && m.Server == xxhash.Sum64String(serverID) && startedMS <= m.LastStartMS
}

// replaces reports whether d makes an earlier departure redundant. One that states a start is kept beside one
// that does not, as it holds whatever becomes of the other.
func (d Departure) replaces(earlier Departure) bool {
	return d.Covers(earlier.ServerID, earlier.LastStartMS()) && (earlier.NamesOnlyID() || !d.NamesOnlyID())
}

const (
	// DepartureRetention is the time for which a departure matters: messages of its server arrive within
	// seconds.
	DepartureRetention = 10 * time.Minute
	// MaxDepartures bounds Departures. An instance runs one backend server at a time, so that few of them
	// leave while messages of an earlier one may still arrive.
	MaxDepartures = 8
)

// Departures are the departures of the backend servers on one instance that still matter, the oldest first.
type Departures []Departure

// Covers reports whether one of the departures covers the process with this ID and start time.
func (l Departures) Covers(serverID string, startedMS int64) bool {
	return slices.ContainsFunc(l, func(d Departure) bool { return d.Covers(serverID, startedMS) })
}

// CoversExactly is like Covers, without the departures that name only an ID.
func (l Departures) CoversExactly(serverID string, startedMS int64) bool {
	return slices.ContainsFunc(l, func(d Departure) bool { return !d.NamesOnlyID() && d.Covers(serverID, startedMS) })
}

// Except returns the departures without effect on the process with this ID and start time: those that name only its
// ID become departures of earlier processes.
func (l Departures) Except(serverID string, startedMS int64) Departures {
	rest := slices.Clone(l)
	for i, d := range rest {
		if d.NamesOnlyID() && d.Covers(serverID, startedMS) {
			rest[i].StartedMS = startedMS - 1
		}
	}
	return rest
}

// Include reports whether each departure of others is covered by one of l.
func (l Departures) Include(others Departures) bool {
	return !slices.ContainsFunc(others, func(d Departure) bool { return !l.Covers(d.ServerID, d.LastStartMS()) })
}

// Last returns the last departure, the zero value if there is none.
func (l Departures) Last() Departure {
	if len(l) == 0 {
		return Departure{}
	}
	return l[len(l)-1]
}

// Merge returns the departures of both lists without those that a later one replaces, that are older than
// DepartureRetention before the last one, or that exceed MaxDepartures.
func (l Departures) Merge(others Departures) Departures {
	all := slices.Concat(l, others)
	all = slices.DeleteFunc(all, func(d Departure) bool { return d.ServerID == "" })
	slices.SortStableFunc(all, func(a, b Departure) int { return a.At.Compare(b.At) })
	var merged Departures
	for i, d := range all {
		replaced := slices.ContainsFunc(all[i+1:], func(later Departure) bool { return later.replaces(d) })
		if !replaced && all.Last().At.Sub(d.At) <= DepartureRetention {
			merged = append(merged, d)
		}
	}
	return merged[max(0, len(merged)-MaxDepartures):]
}
