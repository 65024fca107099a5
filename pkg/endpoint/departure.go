package endpoint

import (
	"slices"
	"time"
)

// Departure is the end of the service of one backend server process, as confirmed to that process. No
// later message may make the process ready again.
type Departure struct {
	// ServerID and StartedMS identify the process. StartedMS is its start as Unix time in milliseconds,
	// zero if unknown. The zero Departure has no ServerID and stands for none.
	ServerID  string `json:"server_id"`
	StartedMS int64  `json:"started_ms,omitempty"`
	// At is the time of the confirmation.
	At time.Time `json:"at"`
}

// Covers reports whether a message of the process with this ID and start time comes from the process
// that has departed. Without a start time it cannot be told from it; a process that started after the
// confirmation is another one with the same ID.
func (d Departure) Covers(serverID string, startedMS int64) bool {
	return d.ServerID != "" && d.ServerID == serverID && startedMS <= d.lastStartMS()
}

// lastStartMS is the latest start of a process that d covers, as Unix time in milliseconds.
func (d Departure) lastStartMS() int64 {
	if d.StartedMS == 0 {
		return d.At.UnixMilli()
	}
	return d.StartedMS
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

// Include reports whether each departure of others is covered by one of l.
func (l Departures) Include(others Departures) bool {
	return !slices.ContainsFunc(others, func(d Departure) bool { return !l.Covers(d.ServerID, d.lastStartMS()) })
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
		if !all[i+1:].Covers(d.ServerID, d.lastStartMS()) && all.Last().At.Sub(d.At) <= DepartureRetention {
			merged = append(merged, d)
		}
	}
	return merged[max(0, len(merged)-MaxDepartures):]
}
