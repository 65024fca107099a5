package endpoint

import "time"

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
	if d.ServerID == "" || d.ServerID != serverID {
		return false
	}
	last := d.StartedMS
	if last == 0 {
		last = d.At.UnixMilli()
	}
	return startedMS <= last
}
